//! Accepting connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::events::{Event, Quoted, log_event};
use crate::metrics::Metrics;

/// Pause after a failed accept, so that a lack of file descriptors does not keep a core busy.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// A bound listener and its address.
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

    /// Hands each accepted connection to `serve` until `stop`; failed accepts end nothing.
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
                    // A connection that can't be set up this way still works, only slower.
                    let _ = stream.set_nodelay(true);
                    serve(stream);
                }
                Err(error) => {
                    metrics.accept_failed();
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
