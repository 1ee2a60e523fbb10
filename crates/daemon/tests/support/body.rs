//! A body whose chunks a test sends one by one.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame};
use tokio::sync::mpsc;

/// Sends the chunks of a [`TestBody`]; dropping it ends the body.
pub type ChunkSender = mpsc::UnboundedSender<Result<Bytes, io::Error>>;

/// A body whose chunks a test sends one by one; an error truncates it.
#[derive(Debug)]
pub struct TestBody {
    chunks: mpsc::UnboundedReceiver<Result<Bytes, io::Error>>,
}

impl TestBody {
    /// Creates a body and the sender of its chunks.
    pub fn channel() -> (ChunkSender, Self) {
        let (sender, chunks) = mpsc::unbounded_channel();
        (sender, Self { chunks })
    }

    /// Creates a body from chunks.
    pub fn from_chunks(chunks: impl IntoIterator<Item = Result<Bytes, io::Error>>) -> Self {
        let (sender, body) = Self::channel();
        for chunk in chunks {
            sender.send(chunk).unwrap();
        }
        body
    }

    /// Creates a complete body of one chunk, or an empty one.
    pub fn complete(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::from_chunks((!bytes.is_empty()).then_some(Ok(bytes)))
    }
}

impl Body for TestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let chunk = self.chunks.poll_recv(context);
        chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}
