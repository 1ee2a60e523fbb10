//! Response bodies, complete or truncated by an injected fault.

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
pub(super) type ResponseBody = Either<CompleteBody, TruncatedBody>;

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
    Either::Right(TruncatedBody {
        declared: bytes.len() as u64,
        remaining: Some(bytes.slice(..bytes.len() / 2)),
    })
}

/// A body that ends with an error before its declared length.
pub(super) struct TruncatedBody {
    declared: u64,
    remaining: Option<Bytes>,
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = ConnectionAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionAborted>>> {
        let next = match self.remaining.take() {
            Some(part) => Ok(Frame::data(part)),
            None => Err(ConnectionAborted),
        };
        Poll::Ready(Some(next))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared)
    }
}
