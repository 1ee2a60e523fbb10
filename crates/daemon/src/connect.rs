//! Opens TCP connections with the socket options of this daemon.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Time after which a connection with unacknowledged bytes counts as broken.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_secs(2);
/// Idle time before the first keep-alive probe, and the time between two probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of probes without a reply after which a connection counts as broken.
const KEEP_ALIVE_PROBES: u32 = 2;

/// Opens a connection with `TCP_NODELAY` and detection of an unreachable peer.
///
/// # Errors
/// The error of the operating system, or [`io::ErrorKind::TimedOut`].
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(address);
    let stream = tokio::time::timeout(timeout, connecting).await??;
    stream.set_nodelay(true)?;
    set_keepalive_options(&stream);
    Ok(stream)
}

/// Lets the operating system close a connection whose peer has become unreachable. Connections that
/// a listener accepts inherit these options from it.
///
/// A peer that reads nothing for two seconds also loses its connection: the operating system applies
/// the limit for unacknowledged bytes to a closed window as well.
///
/// Errors are ignored: without these options a socket still works, but detects an unreachable peer
/// later.
pub fn set_keepalive_options(socket: &impl AsFd) {
    set_keepalive_probes(socket);
    let _ = SockRef::from(socket).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
}

/// Like [`set_keepalive_options`], without a limit for unacknowledged bytes. For peers that may read
/// slowly and whose connections are bounded by timeouts of this process.
pub fn set_keepalive_probes(socket: &impl AsFd) {
    let keep_alive = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    let _ = SockRef::from(socket).set_tcp_keepalive(&keep_alive);
}
