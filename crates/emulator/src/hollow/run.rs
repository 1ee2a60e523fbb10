//! Starts the hollow daemons of a process and collects their reports.

use std::net::SocketAddr;
use std::time::Instant;

use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use super::HollowSettings;
use super::daemon::{HollowDaemon, Request, Start};
use super::report::{DaemonReport, HollowReport};
use super::streams;

/// Messages over streams that wait for a daemon.
const INBOX_CAPACITY: usize = 256;
/// Requests that wait for a daemon.
const REQUEST_CAPACITY: usize = 4;

/// Hollow daemons at work; dropping it stops them.
#[derive(Debug)]
pub struct RunningHollow {
    started: Instant,
    requests: Vec<mpsc::Sender<Request>>,
    _tasks: JoinSet<()>,
}

impl RunningHollow {
    /// Binds all sockets and starts the daemons.
    ///
    /// # Errors
    /// A text that names the address that can't be bound.
    pub async fn start(settings: &HollowSettings) -> Result<Self, String> {
        let mut tasks = JoinSet::new();
        let mut requests = Vec::with_capacity(usize::from(settings.daemons));
        for index in 0..settings.daemons {
            let address = address_of(settings, index);
            let (datagrams, streams) = bind(address)
                .await
                .map_err(|error| format!("{address}: {error}"))?;
            let (inbox_sender, inbox) = mpsc::channel(INBOX_CAPACITY);
            let (request_sender, request_receiver) = mpsc::channel(REQUEST_CAPACITY);
            let zone = &settings.zones[usize::from(index) % settings.zones.len()];
            let start = Start {
                id: format!("{}-{index:05}", settings.prefix),
                zone: zone.clone(),
                address,
                socket: datagrams,
                inbox,
                requests: request_receiver,
                seed: seed_of(address),
            };
            tasks.spawn(streams::accept(streams, inbox_sender));
            tasks.spawn(HollowDaemon::new(start, settings).run());
            requests.push(request_sender);
        }
        Ok(Self {
            started: Instant::now(),
            requests,
            _tasks: tasks,
        })
    }

    /// Asks every daemon for its report.
    pub async fn report(&self) -> HollowReport {
        let mut waiting = Vec::with_capacity(self.requests.len());
        for requests in &self.requests {
            let (sender, receiver) = oneshot::channel();
            if requests.send(Request::Report(sender)).await.is_ok() {
                waiting.push(receiver);
            }
        }
        let mut reports: Vec<DaemonReport> = Vec::with_capacity(waiting.len());
        for receiver in waiting {
            reports.extend(receiver.await);
        }
        HollowReport::new(self.started.elapsed(), reports)
    }

    /// Tells the first daemon to leave.
    pub async fn leave_first(&self) {
        if let Some(requests) = self.requests.first() {
            // A daemon that has ended has left already.
            let _ = requests.send(Request::Leave).await;
        }
    }
}

fn address_of(settings: &HollowSettings, index: u16) -> SocketAddr {
    let port = settings.listen.port().saturating_add(index);
    SocketAddr::new(settings.listen.ip(), port)
}

async fn bind(address: SocketAddr) -> std::io::Result<(UdpSocket, TcpListener)> {
    let datagrams = UdpSocket::bind(address).await?;
    let streams = TcpListener::bind(address).await?;
    Ok((datagrams, streams))
}

/// A seed that differs between all addresses of a deployment.
fn seed_of(address: SocketAddr) -> u64 {
    let host = match address.ip() {
        std::net::IpAddr::V4(ip) => u64::from(ip.to_bits()),
        std::net::IpAddr::V6(ip) => {
            u64::from_be_bytes(ip.octets()[8..].try_into().unwrap_or([0; 8]))
        }
    };
    host << 16 | u64::from(address.port())
}
