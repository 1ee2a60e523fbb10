//! Emulated backends: responses of each kind of load, and heartbeats with a declared number of slots.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::dialect::{Dialect, fill, header_lines};
use super::http_client::{Connection, Message, response};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Slots of a backend that has capacity for every request of the measurement.
pub(super) const AMPLE_SLOTS: u64 = 8_192;
/// Slots during the load that is refused: too few for any of its callers to be served steadily.
pub(super) const SCARCE_SLOTS: u64 = 2;

/// A kind of load, which determines the response and its execution time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Load {
    /// Response of 100 bytes, immediately.
    Small,
    /// Response of 6 KB, immediately.
    Large,
    /// Executions that occupy scarce slots, so that nearly every request is refused.
    Refused,
    /// Response of 6 KB after a short execution.
    Burst,
    /// Execution that lasts while the memory of busy connections is read.
    Busy,
}

impl Load {
    const ALL: [Self; 5] = [
        Self::Small,
        Self::Large,
        Self::Refused,
        Self::Burst,
        Self::Busy,
    ];

    /// First part of the path of a request.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Small => "small",
            Self::Large => "large",
            Self::Refused => "refused",
            Self::Burst => "burst",
            Self::Busy => "busy",
        }
    }

    const fn body_length(self) -> usize {
        match self {
            Self::Small | Self::Refused | Self::Busy => 100,
            Self::Large | Self::Burst => 6 * 1024,
        }
    }

    const fn execution_time(self) -> Duration {
        match self {
            Self::Small | Self::Large => Duration::ZERO,
            Self::Refused | Self::Burst => Duration::from_millis(100),
            Self::Busy => Duration::from_secs(2),
        }
    }

    /// Returns the load of a request path; any other path, such as that of health checks, is answered
    /// as a small one.
    fn of_path(path: &str) -> Self {
        let name = path.split('/').nth(1).unwrap_or_default();
        let found = Self::ALL.into_iter().find(|load| load.name() == name);
        found.unwrap_or(Self::Small)
    }
}

pub(super) struct Backend {
    pub(super) dialect: Arc<Dialect>,
    pub(super) service: &'static str,
    pub(super) address: SocketAddr,
    /// Address of the sidecar for heartbeats.
    pub(super) heartbeats: SocketAddr,
    /// Slots that the heartbeats declare.
    pub(super) slots: Arc<AtomicU64>,
}

impl Backend {
    /// Serves until it is dropped.
    pub(super) async fn serve(self: Arc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let backend = Arc::clone(&self);
            connections.spawn(backend.serve_connection(Connection::new(stream)));
            while connections.try_join_next().is_some() {}
        }
    }

    async fn serve_connection(self: Arc<Self>, mut connection: Connection) {
        while let Some(request) = connection.read().await {
            let load = Load::of_path(request.request_line().1);
            if !load.execution_time().is_zero() {
                tokio::time::sleep(load.execution_time()).await;
            }
            if connection
                .write(&self.respond(load, &request))
                .await
                .is_none()
            {
                return;
            }
        }
    }

    fn respond(&self, load: Load, request: &Message) -> Vec<u8> {
        let dialect = &self.dialect.response;
        let id = request.header(&dialect.id_header).unwrap_or_default();
        let values = [("id", id), ("instance", self.service)];
        let headers = header_lines(&fill(&dialect.headers, &values));
        response(200, &headers, &vec![b'x'; load.body_length()])
    }

    /// Sends heartbeats until it is dropped.
    pub(super) async fn send_heartbeats(self: Arc<Self>) {
        let sequence = AtomicU64::new(0);
        loop {
            // A heartbeat that gets no response is followed by the next one.
            let _acknowledgement = self.send_heartbeat(&sequence).await;
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    async fn send_heartbeat(&self, sequence: &AtomicU64) -> Option<Message> {
        let dialect = &self.dialect.heartbeat;
        let sequence = sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let values = [
            ("instance", self.service),
            ("service", self.service),
            ("backend", &self.address.to_string()),
            ("slots", &self.slots.load(Ordering::Relaxed).to_string()),
            ("sequence", &sequence.to_string()),
        ];
        let (target, body) = (fill(&dialect.target, &values), fill(&dialect.body, &values));
        let length = body.len();
        let request = format!(
            "POST {target} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        );
        let mut connection = Connection::open(self.heartbeats).await.ok()?;
        connection.exchange(&request).await
    }
}
