//! The connections that the kernel has opened for a listener and that were not accepted yet.

use std::io;

use tokio::net::{TcpListener, TcpStream};

/// Closes a listener and returns the connections that were in its accept queue. Closing it with
/// these connections would reset them, and the peer could not tell whether a request that it has
/// sent was executed.
///
/// # Errors
/// The error of the operating system that prevented a socket from being registered. An accept that
/// fails ends the search; a connection that its peer has closed meanwhile is left out.
pub fn take_queued(listener: TcpListener) -> io::Result<Vec<TcpStream>> {
    let listener = listener.into_std()?;
    let mut queued = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                queued.push(TcpStream::from_std(stream)?);
            }
            Err(error) if is_of_one_connection(&error) => {}
            Err(_) => return Ok(queued),
        }
    }
}

/// Returns true if a failed accept concerns one connection, so the next one may succeed.
fn is_of_one_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted
    )
}
