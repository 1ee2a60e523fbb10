//! Response bodies: complete, or truncated or without end by an injected fault.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{Either, Full};

/// connection closed by an injected fault
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) struct ConnectionAborted;

impl std::error::Error for ConnectionAborted {}

/// Body of every response.
pub(super) type ResponseBody = Either<CompleteBody, FaultyBody>;

/// A body that is sent completely.
pub(super) type CompleteBody =
    http_body_util::combinators::MapErr<Full<Bytes>, InfallibleToAborted>;
type InfallibleToAborted = fn(std::convert::Infallible) -> ConnectionAborted;

/// Returns a body that is sent completely.
pub(super) fn complete(bytes: Bytes) -> ResponseBody {
    let never: InfallibleToAborted = |never| match never {};
    Either::Left(http_body_util::BodyExt::map_err(Full::new(bytes), never))
}

/// Returns a body that declares the full length and aborts the connection after half of the bytes.
pub(super) fn truncated(bytes: &Bytes) -> ResponseBody {
    Either::Right(FaultyBody::Truncated {
        declared: bytes.len() as u64,
        remaining: Some(bytes.slice(..bytes.len() / 2)),
    })
}

/// Returns a body that repeats the bytes without end.
pub(super) const fn endless(bytes: Bytes) -> ResponseBody {
    Either::Right(FaultyBody::Endless(bytes))
}

/// A body that does not end as it should.
pub(super) enum FaultyBody {
    /// It ends with an error before its declared length.
    Truncated {
        /// Declared length in bytes.
        declared: u64,
        /// Bytes that are still sent.
        remaining: Option<Bytes>,
    },
    /// It repeats these bytes.
    Endless(Bytes),
}

impl Body for FaultyBody {
    type Data = Bytes;
    type Error = ConnectionAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionAborted>>> {
        let next = match &mut *self {
            Self::Truncated { remaining, .. } => remaining.take().ok_or(ConnectionAborted),
            Self::Endless(bytes) => Ok(bytes.clone()),
        };
        Poll::Ready(Some(next.map(Frame::data)))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Truncated { declared, .. } => SizeHint::with_exact(*declared),
            Self::Endless(_) => SizeHint::new(),
        }
    }
}
