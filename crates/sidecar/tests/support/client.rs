//! A caller that uses plain sockets.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use super::{HOST, MAX_WAIT};

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Returns a request id that no other request of this program has. Ids are counted, not drawn, so a
/// run can be played again.
pub fn new_request_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Formats a request in the tests' dialect.
pub fn request(method: &str, path: &str, id: &str, extra: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\ntest-request-id: {id}\r\n\
         test-deadline-ms: 3000\r\n{extra}\r\n"
    )
}

/// A connection of a caller.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub async fn open(address: SocketAddr) -> Self {
        Self {
            stream: TcpStream::connect(address).await.unwrap(),
            buffer: Vec::new(),
        }
    }

    /// Opens a connection with a receive buffer of this size in bytes.
    pub async fn open_with_buffer(address: SocketAddr, size: u32) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(size).unwrap();
        Self {
            stream: socket.connect(address).await.unwrap(),
            buffer: Vec::new(),
        }
    }

    pub async fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).await.unwrap();
    }

    /// Like [`Self::send`]; returns false if the connection is lost.
    pub async fn try_send(&mut self, text: &str) -> bool {
        self.try_send_bytes(text.as_bytes()).await
    }

    /// Like [`Self::try_send`], for any bytes.
    pub async fn try_send_bytes(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Sends nothing more, and still reads. A connection that is lost has ended as well.
    pub async fn end_input(&mut self) {
        let _ = self.stream.shutdown().await;
    }

    /// Reads the next response; `None` if the connection closes before it is complete.
    pub async fn response(&mut self) -> Option<Response> {
        tokio::time::timeout(MAX_WAIT, self.read_response())
            .await
            .expect("no response in time")
    }

    /// True if the other side closes the connection within a second.
    pub async fn is_closed(&mut self) -> bool {
        let mut byte = [0; 1];
        let read = tokio::time::timeout(Duration::from_secs(1), self.stream.read(&mut byte));
        matches!(read.await, Ok(Ok(0) | Err(_)))
    }

    async fn read_response(&mut self) -> Option<Response> {
        let end = loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break end + 4;
            }
            self.fill().await?;
        };
        let head = String::from_utf8(self.buffer.drain(..end).collect()).unwrap();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let mut response = Response {
            status,
            head,
            body: Vec::new(),
        };
        let length = response.header("content-length");
        let length: usize = length.expect("no content length").parse().unwrap();
        while self.buffer.len() < length {
            self.fill().await?;
        }
        response.body = self.buffer.drain(..length).collect();
        Some(response)
    }

    async fn fill(&mut self) -> Option<()> {
        let mut piece = [0; 4_096];
        let length = self.stream.read(&mut piece).await.ok()?;
        if length == 0 {
            return None;
        }
        self.buffer.extend_from_slice(&piece[..length]);
        Some(())
    }
}

/// Sends one request on a new connection.
pub async fn call(address: SocketAddr, text: &str) -> Response {
    let mut connection = Connection::open(address).await;
    connection.send(text).await;
    connection.response().await.expect("no response")
}
