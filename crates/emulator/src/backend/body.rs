//! Answer bodies, whole or cut by fault.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use displaydoc::Display;
use http_body::{Body, Frame, SizeHint};
use http_body_util::{Either, Full};

/// The connection was closed by fault
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) struct ConnectionAborted;

impl std::error::Error for ConnectionAborted {}

/// Body of every answer.
pub(super) type ResponseBody = Either<WholeBody, CutBody>;

/// A body that is sent whole.
pub(super) type WholeBody = http_body_util::combinators::MapErr<Full<Bytes>, NeverToAborted>;
type NeverToAborted = fn(std::convert::Infallible) -> ConnectionAborted;

/// A body that is sent whole.
pub(super) fn whole(bytes: Bytes) -> ResponseBody {
    let never: NeverToAborted = |never| match never {};
    Either::Left(http_body_util::BodyExt::map_err(Full::new(bytes), never))
}

/// A body that declares its full length and breaks off in the middle.
pub(super) fn cut(bytes: &Bytes) -> ResponseBody {
    Either::Right(CutBody {
        declared: bytes.len() as u64,
        rest: Some(bytes.slice(..bytes.len() / 2)),
    })
}

/// A body that breaks off.
pub(super) struct CutBody {
    declared: u64,
    rest: Option<Bytes>,
}

impl Body for CutBody {
    type Data = Bytes;
    type Error = ConnectionAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionAborted>>> {
        let next = match self.rest.take() {
            Some(part) => Ok(Frame::data(part)),
            None => Err(ConnectionAborted),
        };
        Poll::Ready(Some(next))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared)
    }
}
