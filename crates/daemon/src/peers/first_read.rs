//! A stream that signals when it receives its first byte.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// A TCP stream that signals its first received byte. The receiver fails if the stream is dropped
/// before.
#[derive(Debug)]
pub(super) struct FirstReadStream {
    stream: TcpStream,
    first_read: Option<oneshot::Sender<()>>,
}

impl FirstReadStream {
    /// Wraps a stream, and returns it with the receiver of the signal.
    pub(super) fn new(stream: TcpStream) -> (Self, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let wrapped = Self {
            stream,
            first_read: Some(sender),
        };
        (wrapped, receiver)
    }
}

impl AsyncRead for FirstReadStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before
            && let Some(first_read) = self.first_read.take()
        {
            // Sending fails if the receiver stopped waiting.
            let _ = first_read.send(());
        }
        polled
    }
}

impl AsyncWrite for FirstReadStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
