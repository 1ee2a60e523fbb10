//! Limit on the bytes that are read while the head of a response is due.
//!
//! The HTTP library limits one head, but reads any number of interim responses before it, and a peer
//! that sends them without end would keep the thread busy.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::MAX_READ_BUFFER;

/// Maximum number of bytes before the head of a response is complete. The first bytes of its body may
/// be read with them.
const MAX_BYTES: usize = 4 * MAX_READ_BUFFER;
/// Number of remaining bytes while no response head is due.
const UNLIMITED: usize = usize::MAX;

/// Number of bytes that a connection may still read.
#[derive(Clone, Debug)]
pub(super) struct HeadLimit(Arc<AtomicUsize>);

impl HeadLimit {
    /// Creates a limit of a connection that has carried no request.
    pub(super) fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }

    /// Limits the bytes from now on: a request is sent.
    pub(super) fn begin(&self) {
        self.0.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit: the head of the response has arrived.
    pub(super) fn lift(&self) {
        self.0.store(UNLIMITED, Ordering::Relaxed);
    }

    /// True if no further byte may be read.
    fn is_exceeded(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn count(&self, bytes: usize) {
        let remaining = self.0.load(Ordering::Relaxed);
        if remaining != UNLIMITED {
            let remaining = remaining.saturating_sub(bytes);
            self.0.store(remaining, Ordering::Relaxed);
        }
    }
}

/// A stream that fails when its limit is exceeded.
#[derive(Debug)]
pub(super) struct LimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> LimitedStream<S> {
    pub(super) const fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded() {
            let text = "too many bytes before the head of the response";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
        }
        let before = buffer.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(context, buffer));
        self.limit.count(buffer.filled().len() - before);
        Poll::Ready(result)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
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
        slices: &[io::IoSlice<'_>],
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
