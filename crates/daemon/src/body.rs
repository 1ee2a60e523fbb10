//! Bodies of requests and responses that pass through the daemon.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep};

/// Largest request body that is held in memory, in bytes; only a call with such a body can be
/// retried.
pub const MAX_HELD_BODY: usize = 64 * 1024;

/// An error that ended a body before it was complete.
#[derive(Debug, Display)]
pub enum BodyError {
    /// the sender's stream failed: {0}
    Stream(hyper::Error),
    /// the deadline passed before the body was complete
    DeadlinePassed,
    /// the sender aborted the body
    Truncated,
}

impl std::error::Error for BodyError {}

/// The body of a request to a backend or to another daemon.
#[derive(Debug)]
pub enum RequestBody {
    /// The complete body in memory; `None` if it is empty or was sent.
    Held(Option<Bytes>),
    /// The first bytes of a body and the stream with the rest.
    Streamed {
        /// Bytes that were already read from the stream.
        prefix: Option<Bytes>,
        /// The rest of the body.
        rest: Incoming,
    },
    /// A body that arrives through a channel from another task.
    Channel(ChannelBody),
}

/// A request body that arrives in parts through a channel from another task, which reads it from the
/// sender. It is complete only if the task says so: a [`BodySender`] that is dropped breaks it off.
#[derive(Debug)]
pub struct ChannelBody {
    parts: mpsc::Receiver<BodyPart>,
    /// Number of bytes still to be received; `None` if the sender did not state the length.
    remaining: Option<u64>,
    state: ChannelState,
}

/// A message to the recipient of a [`ChannelBody`].
#[derive(Debug)]
enum BodyPart {
    Data(Bytes),
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChannelState {
    Open,
    Complete,
    BrokenOff,
}

impl ChannelBody {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.state != ChannelState::Open {
            return Poll::Ready(None);
        }
        match ready!(self.parts.poll_recv(context)) {
            Some(BodyPart::Data(bytes)) => {
                let length = bytes.len() as u64;
                self.remaining = self.remaining.map(|left| left.saturating_sub(length));
                if self.remaining == Some(0) {
                    self.state = ChannelState::Complete;
                }
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            Some(BodyPart::End) if self.remaining.is_none_or(|left| left == 0) => {
                self.state = ChannelState::Complete;
                Poll::Ready(None)
            }
            Some(BodyPart::End) | None => {
                self.state = ChannelState::BrokenOff;
                Poll::Ready(Some(Err(BodyError::Truncated)))
            }
        }
    }
}

/// Sends the parts of a [`ChannelBody`]. Dropping it before [`Self::finish`] breaks the body off.
#[derive(Debug)]
pub struct BodySender {
    parts: mpsc::Sender<BodyPart>,
    /// Room for the end, so that it need not wait for the recipient.
    end: mpsc::OwnedPermit<BodyPart>,
}

impl BodySender {
    /// Sends the next bytes. Returns false if the recipient receives no more.
    pub async fn send(&self, bytes: Bytes) -> bool {
        self.parts.send(BodyPart::Data(bytes)).await.is_ok()
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        self.end.send(BodyPart::End);
    }
}

impl RequestBody {
    /// Creates a body of which another task sends the parts, at most `capacity` ahead. `length` is
    /// `None` if its sender did not state the length.
    #[must_use]
    pub fn channel(length: Option<u64>, capacity: usize) -> (BodySender, Self) {
        let (sender, parts) = mpsc::channel(capacity + 1);
        let permit = sender.clone().try_reserve_owned();
        let end = permit.expect("a new channel has room");
        let body = ChannelBody {
            parts,
            remaining: length,
            state: match length {
                Some(0) => ChannelState::Complete,
                _ => ChannelState::Open,
            },
        };
        let sender = BodySender { parts: sender, end };
        (sender, Self::Channel(body))
    }

    /// Creates a body from bytes in memory.
    #[must_use]
    pub fn held(bytes: Bytes) -> Self {
        Self::Held((!bytes.is_empty()).then_some(bytes))
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Held(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed { prefix, rest } => {
                if let Some(bytes) = prefix.take() {
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                let frame = ready!(Pin::new(&mut *rest).poll_frame(context));
                Poll::Ready(match frame {
                    None => missing_bytes(rest).map(Err),
                    Some(result) => Some(result.map_err(BodyError::Stream)),
                })
            }
            Self::Channel(body) => body.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Held(bytes) => bytes.is_none(),
            Self::Streamed { prefix, rest } => prefix.is_none() && rest.is_end_stream(),
            Self::Channel(body) => body.state == ChannelState::Complete,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Held(bytes) => SizeHint::with_exact(length(bytes.as_ref())),
            Self::Streamed { prefix, rest } => prefixed(length(prefix.as_ref()), &rest.size_hint()),
            Self::Channel(body) => body
                .remaining
                .map_or_else(SizeHint::new, SizeHint::with_exact),
        }
    }
}

/// Returns an error if a stream has ended before its stated length. The HTTP library ends a stream
/// without an error if the task that reads its connection is dropped.
fn missing_bytes(stream: &Incoming) -> Option<BodyError> {
    (stream.size_hint().lower() > 0).then_some(BodyError::Truncated)
}

fn prefixed(prefix: u64, rest: &SizeHint) -> SizeHint {
    let mut hint = SizeHint::new();
    hint.set_lower(prefix + rest.lower());
    if let Some(upper) = rest.upper() {
        hint.set_upper(prefix + upper);
    }
    hint
}

fn length(bytes: Option<&Bytes>) -> u64 {
    bytes.map_or(0, |bytes| bytes.len() as u64)
}

/// How the body of a streamed response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The whole body was streamed.
    Complete,
    /// The sender aborted the body, or the deadline passed.
    Failed,
    /// The receiver cancelled the call.
    Abandoned,
}

/// An observer that is notified when the body of a response ends.
pub trait BodyObserver: Send {
    /// Called exactly once, when the body has ended or was dropped.
    fn ended(self: Box<Self>, end: BodyEnd);
}

/// The body of a response to a caller. If the stream is aborted or the deadline passes, the body
/// ends with an error, which keeps the receiver from taking a truncated body for a complete one.
pub struct ResponseBody {
    source: Source,
}

enum Source {
    Buffered(Option<Bytes>),
    IncomingStream(IncomingStream),
    Prefixed(Option<Bytes>, Box<ResponseBody>),
}

struct IncomingStream {
    incoming: Incoming,
    deadline: Pin<Box<Sleep>>,
    observers: Vec<Box<dyn BodyObserver>>,
    /// An error to report at the next poll.
    failure: Option<BodyError>,
}

impl ResponseBody {
    /// Creates a body from bytes that the daemon itself produced.
    #[must_use]
    pub fn from_bytes(bytes: impl Into<Bytes>) -> Self {
        let bytes = Some(bytes.into()).filter(|bytes: &Bytes| !bytes.is_empty());
        Self {
            source: Source::Buffered(bytes),
        }
    }

    /// Creates a body that streams `incoming` and fails at `deadline`.
    #[must_use]
    pub fn streamed(incoming: Incoming, deadline: Instant) -> Self {
        Self {
            source: Source::IncomingStream(IncomingStream {
                incoming,
                deadline: Box::pin(tokio::time::sleep_until(deadline)),
                observers: Vec::new(),
                failure: None,
            }),
        }
    }

    /// Creates a body from a `prefix` that was already read and the rest.
    #[must_use]
    pub fn with_prefix(prefix: Bytes, rest: Self) -> Self {
        Self {
            source: Source::Prefixed(Some(prefix), Box::new(rest)),
        }
    }

    /// Removes a body that the daemon itself produced, for a response that must not have one.
    pub fn remove_local_body(&mut self) {
        if let Source::Buffered(bytes) = &mut self.source {
            *bytes = None;
        }
    }

    /// Registers an observer for the end of the body. A body in memory counts as complete, so its
    /// observer is called immediately.
    pub fn observe(&mut self, observer: Box<dyn BodyObserver>) {
        match &mut self.source {
            Source::Buffered(_) => observer.ended(BodyEnd::Complete),
            Source::IncomingStream(stream) => stream.observers.push(observer),
            Source::Prefixed(_, rest) => rest.observe(observer),
        }
    }
}

impl IncomingStream {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(failure) = self.failure.take() {
            self.end(BodyEnd::Failed);
            return Poll::Ready(Some(Err(failure)));
        }
        match Pin::new(&mut self.incoming).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => Poll::Ready(Some(Ok(frame))),
            Poll::Ready(Some(Err(error))) => self.fail(context, BodyError::Stream(error)),
            Poll::Ready(None) => match missing_bytes(&self.incoming) {
                Some(failure) => self.fail(context, failure),
                None => {
                    self.end(BodyEnd::Complete);
                    Poll::Ready(None)
                }
            },
            Poll::Pending => {
                ready!(self.deadline.as_mut().poll(context));
                self.fail(context, BodyError::DeadlinePassed)
            }
        }
    }

    /// Reports an error at the next poll, after the preceding bytes are flushed: hyper discards
    /// unsent bytes together with the message that it aborts.
    fn fail(
        &mut self,
        context: &mut Context<'_>,
        failure: BodyError,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.failure = Some(failure);
        context.waker().wake_by_ref();
        Poll::Pending
    }

    fn end(&mut self, end: BodyEnd) {
        for observer in self.observers.drain(..) {
            observer.ended(end);
        }
    }
}

impl Drop for IncomingStream {
    fn drop(&mut self) {
        let is_complete = self.failure.is_none() && self.incoming.is_end_stream();
        self.end(if is_complete {
            BodyEnd::Complete
        } else {
            BodyEnd::Abandoned
        });
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut self.source {
            Source::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            Source::IncomingStream(stream) => stream.poll(context),
            Source::Prefixed(prefix, rest) => match prefix.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(rest.as_mut()).poll_frame(context),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Buffered(bytes) => bytes.is_none(),
            Source::IncomingStream(stream) => stream.incoming.is_end_stream(),
            Source::Prefixed(prefix, rest) => prefix.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Buffered(bytes) => SizeHint::with_exact(length(bytes.as_ref())),
            Source::IncomingStream(stream) => stream.incoming.size_hint(),
            Source::Prefixed(prefix, rest) => prefixed(length(prefix.as_ref()), &rest.size_hint()),
        }
    }
}
