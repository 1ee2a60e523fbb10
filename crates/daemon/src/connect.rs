//! Opening TCP connections.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Longest time that sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(2);
/// Idle time before a keep-alive probe, and the time between two probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection counts as broken.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Opens a connection without delayed small writes, on which a silent peer is noticed.
///
/// # Errors
/// What the operating system reported, or [`io::ErrorKind::TimedOut`].
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(timeout, connecting).await??;
    stream.set_nodelay(true)?;
    notice_silence(&stream);
    Ok(stream)
}

/// Lets the operating system end a connection whose peer went silent. Connections that a listener accepts
/// take the options over from it.
///
/// A socket that takes these options not works all the same, only slower to notice.
pub fn notice_silence(socket: &impl AsFd) {
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    let socket = SockRef::from(socket);
    let _ = socket.set_tcp_keepalive(&keep_alive);
    let _ = socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
}
