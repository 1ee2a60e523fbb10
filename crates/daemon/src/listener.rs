//! Binds a TCP listener and accepts its connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::events::{Event, Quoted, log_event};
use crate::metrics::Metrics;

/// Pause after a failed accept; without it a lack of file descriptors would keep a core busy.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// A bound listener and its actual address.
#[derive(Debug)]
pub(crate) struct BoundListener {
    pub(crate) listener: TcpListener,
    pub(crate) address: SocketAddr,
}

impl BoundListener {
    pub(crate) async fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Passes each accepted connection to `serve` until `stop` is cancelled. A failed accept is
    /// logged and counted, and accepting continues.
    pub(crate) async fn accept_until(
        self,
        stop: CancellationToken,
        metrics: &Metrics,
        serve: impl Fn(TcpStream),
    ) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.cancelled() => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    // A connection without this option still works, but small writes are delayed.
                    let _ = stream.set_nodelay(true);
                    serve(stream);
                }
                Err(error) => {
                    metrics.record_accept_error();
                    let address = self.address;
                    log_event!(
                        Event::AcceptFailed,
                        "listener={address} error={}",
                        Quoted(error)
                    );
                    tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                }
            }
        }
    }
}
