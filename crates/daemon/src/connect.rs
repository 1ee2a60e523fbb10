//! Opening TCP connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;

/// Opens a connection without delayed small writes.
///
/// # Errors
/// What the operating system reported, or [`io::ErrorKind::TimedOut`].
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(timeout, connecting).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
