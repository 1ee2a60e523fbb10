//! A connection on which responses can be sent a second time, some time after the first.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Selects the responses of one connection that are sent twice.
#[derive(Clone, Debug, Default)]
pub(super) struct ResponseRepeater(Arc<Mutex<Option<Duration>>>);

impl ResponseRepeater {
    /// Sends the next response on the connection once more after this delay.
    pub(super) fn repeat_next(&self, delay: Duration) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(delay);
    }

    fn delay(&self) -> Option<Duration> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_delay(&self) -> Option<Duration> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

/// Bytes to send once a time has come.
#[derive(Debug)]
struct DueBytes {
    at: Pin<Box<Sleep>>,
    bytes: Vec<u8>,
}

/// A stream that repeats the responses that its [`ResponseRepeater`] selects.
#[derive(Debug)]
pub(super) struct RepeatingStream {
    stream: TcpStream,
    repeater: ResponseRepeater,
    /// Bytes of the response that is to be repeated.
    recorded: Vec<u8>,
    due: Option<DueBytes>,
}

impl RepeatingStream {
    pub(super) const fn new(stream: TcpStream, repeater: ResponseRepeater) -> Self {
        Self {
            stream,
            repeater,
            recorded: Vec::new(),
            due: None,
        }
    }

    /// Sends the due bytes once their time has come. They are lost with their connection.
    fn poll_due(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(due) = &mut self.due else {
            return Poll::Ready(());
        };
        ready!(due.at.as_mut().poll(context));
        while !due.bytes.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, &due.bytes));
            let Ok(written) = written else {
                break;
            };
            due.bytes.drain(..written);
        }
        self.due = None;
        Poll::Ready(())
    }
}

impl AsyncRead for RepeatingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let _ = self.poll_due(context);
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for RepeatingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        if self.repeater.delay().is_some() {
            self.recorded.extend_from_slice(&bytes[..written]);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        if !self.recorded.is_empty()
            && let Some(delay) = self.repeater.take_delay()
        {
            let bytes = std::mem::take(&mut self.recorded);
            let at = Box::pin(tokio::time::sleep(delay));
            self.due = Some(DueBytes { at, bytes });
            let _ = self.poll_due(context);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
