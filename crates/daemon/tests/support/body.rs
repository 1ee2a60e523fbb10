//! A body that a test feeds piece by piece.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::sync::mpsc;

/// Feeds a [`TestBody`]; dropping it ends the body.
pub type Feed = mpsc::UnboundedSender<Result<Bytes, io::Error>>;

/// A body that a test feeds piece by piece; an error cuts it.
#[derive(Debug)]
pub struct TestBody {
    pieces: mpsc::UnboundedReceiver<Result<Bytes, io::Error>>,
}

impl TestBody {
    /// A body and its feed.
    pub fn channel() -> (Feed, Self) {
        let (feed, pieces) = mpsc::unbounded_channel();
        (feed, Self { pieces })
    }

    /// A body whose pieces are known.
    pub fn of(pieces: impl IntoIterator<Item = Result<Bytes, io::Error>>) -> Self {
        let (feed, body) = Self::channel();
        for piece in pieces {
            feed.send(piece).unwrap();
        }
        body
    }

    /// A whole body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::of((!bytes.is_empty()).then_some(Ok(bytes)))
    }
}

impl Body for TestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let piece = self.pieces.poll_recv(context);
        piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
    }
}
