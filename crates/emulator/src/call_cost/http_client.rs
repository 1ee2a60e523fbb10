//! HTTP/1.1 on plain sockets, for the callers, backends and platform of the measurement.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A parsed head, of a request or a response, and its body.
pub(super) struct Message {
    pub(super) head: String,
    pub(super) body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub(super) fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    /// Returns the status of a response.
    pub(super) fn status(&self) -> Option<u16> {
        self.head.split(' ').nth(1)?.parse().ok()
    }

    /// Returns true if the connection stays open after this response.
    pub(super) fn keeps_connection(&self) -> bool {
        let value = self.header("connection").unwrap_or_default();
        !value.eq_ignore_ascii_case("close")
    }

    /// Returns method and target of a request.
    pub(super) fn request_line(&self) -> (&str, &str) {
        let mut words = self.head.split(' ');
        let method = words.next().unwrap_or_default();
        (method, words.next().unwrap_or_default())
    }
}

fn header<'head>(head: &'head str, name: &str) -> Option<&'head str> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// One connection with a buffer for what was read and not yet parsed.
pub(super) struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub(super) fn new(stream: TcpStream) -> Self {
        // If this fails, small writes are only slower.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub(super) async fn open(address: std::net::SocketAddr) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect(address).await?))
    }

    /// Sends a request and returns the response; `None` if the connection ended before.
    pub(super) async fn exchange(&mut self, request: &str) -> Option<Message> {
        self.write(request.as_bytes()).await?;
        self.read().await
    }

    pub(super) async fn write(&mut self, bytes: &[u8]) -> Option<()> {
        self.stream.write_all(bytes).await.ok()
    }

    /// Reads one message; `None` at the end of the connection. A body must have a `Content-Length`.
    pub(super) async fn read(&mut self) -> Option<Message> {
        loop {
            if let Some(message) = self.take_message() {
                return Some(message);
            }
            let mut piece = [0; 8_192];
            let length = self.stream.read(&mut piece).await.ok()?;
            if length == 0 {
                return None;
            }
            self.buffer.extend_from_slice(&piece[..length]);
        }
    }

    fn take_message(&mut self) -> Option<Message> {
        let end = self
            .buffer
            .windows(4)
            .position(|part| part == b"\r\n\r\n")?
            + 4;
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        let length = header(&head, "content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or_default();
        let body = self.buffer.get(end..end + length)?.to_vec();
        self.buffer.drain(..end + length);
        Some(Message { head, body })
    }
}

/// Returns a response with these header lines and this body.
pub(super) fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let mut bytes =
        format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
