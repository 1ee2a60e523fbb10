//! Responses with invalid framing, which an HTTP library would not produce.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::backend::BackendStub;

/// Serves one request for a path under `/raw` and closes the connection.
pub async fn serve(mut stream: TcpStream, stub: &BackendStub) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0_u8; 1];
        if stream.read(&mut byte).await.unwrap_or(0) == 0 {
            return;
        }
        head.push(byte[0]);
    }
    let text = String::from_utf8_lossy(&head);
    let path = text.split(' ').nth(1).unwrap_or_default();
    stub.record_execution(path);
    let response: &[u8] = match path {
        "/raw/garbage" => b"this is not HTTP\r\n\r\n",
        "/raw/no-length" => b"HTTP/1.1 200 OK\r\n\r\nmaybe complete",
        "/raw/short" | "/raw/short-immediately" => {
            b"HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nonly this"
        }
        "/raw/close" => b"",
        _ => b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok",
    };
    let _ = stream.write_all(response).await;
    if path == "/raw/short" {
        stub.truncate.notified().await;
    }
}
