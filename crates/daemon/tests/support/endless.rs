//! A peer that sends bytes without end, as fast as the link allows, until its connections close.
#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test binary uses only some of the helpers"
)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::io::{AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

static PIECE: [u8; 64 * 1024] = [b'x'; 64 * 1024];
const INTERIM: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

/// Part of a response that does not end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndlessPart {
    /// A header of a response.
    Head,
    /// Interim responses before a response.
    Interim,
    /// Bytes that are no response.
    Junk,
    /// The body of a response with this head, which has no length.
    Body(&'static str),
}

impl EndlessPart {
    fn first_bytes(self) -> String {
        match self {
            Self::Head => "HTTP/1.1 200 OK\r\nx-endless: ".to_owned(),
            Self::Interim => String::new(),
            Self::Junk => "no response ".to_owned(),
            Self::Body(head) => format!("{head}\r\n"),
        }
    }

    fn piece(self) -> Vec<u8> {
        match self {
            Self::Interim => INTERIM.repeat(PIECE.len() / INTERIM.len()),
            _ => PIECE.to_vec(),
        }
    }
}

/// A running peer.
#[derive(Debug)]
pub struct EndlessPeer {
    pub address: SocketAddr,
    open: Arc<AtomicUsize>,
    sent: Arc<AtomicUsize>,
}

impl EndlessPeer {
    /// Starts a peer that responds to each request without end.
    pub async fn start(part: EndlessPart) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (open, sent) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let counters = (Arc::clone(&open), Arc::clone(&sent));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (open, sent) = (Arc::clone(&counters.0), Arc::clone(&counters.1));
                tokio::spawn(async move {
                    open.fetch_add(1, Ordering::SeqCst);
                    send_without_end(stream, part, &sent).await;
                    open.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        Self {
            address,
            open,
            sent,
        }
    }

    /// Returns the number of connections that are still open.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes sent so far.
    pub fn sent(&self) -> usize {
        self.sent.load(Ordering::SeqCst)
    }
}

async fn send_without_end(mut stream: TcpStream, part: EndlessPart, sent: &AtomicUsize) {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await;
    write_without_end(&mut stream, part, sent).await;
}

/// Writes a response without end until the connection is lost; counts the bytes in `sent`.
pub async fn write_without_end(
    stream: &mut (impl AsyncWrite + Unpin),
    part: EndlessPart,
    sent: &AtomicUsize,
) {
    let first = part.first_bytes();
    let piece = part.piece();
    let mut next: &[u8] = first.as_bytes();
    while stream.write_all(next).await.is_ok() {
        sent.fetch_add(next.len(), Ordering::SeqCst);
        next = &piece;
    }
}
