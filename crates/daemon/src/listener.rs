//! Binds a TCP listener and accepts its connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::accept_queue::take_queued;
use crate::events::{Event, Quoted, log_event};
use crate::metrics::Metrics;

#[cfg(test)]
mod tests;

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

    /// Passes each accepted connection to `serve` until `stop` is cancelled, then those that were in
    /// the accept queue. A failed accept is logged and counted, and accepting continues.
    pub(crate) async fn accept_until(
        self,
        stop: CancellationToken,
        metrics: &Metrics,
        serve: impl Fn(TcpStream),
    ) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.cancelled() => break,
            };
            match accepted {
                Ok((stream, _)) => serve_accepted(stream, &serve),
                Err(error) => {
                    record_failure(self.address, metrics, error);
                    tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                }
            }
        }
        match take_queued(self.listener) {
            Ok(queued) => {
                for stream in queued {
                    serve_accepted(stream, &serve);
                }
            }
            Err(error) => record_failure(self.address, metrics, error),
        }
    }
}

fn serve_accepted(stream: TcpStream, serve: &impl Fn(TcpStream)) {
    // A connection without this option still works, but small writes are delayed.
    let _ = stream.set_nodelay(true);
    serve(stream);
}

fn record_failure(listener: SocketAddr, metrics: &Metrics, error: io::Error) {
    metrics.record_accept_error();
    log_event!(
        Event::AcceptFailed,
        "listener={listener} error={}",
        Quoted(error)
    );
}
