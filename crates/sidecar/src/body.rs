//! Buffers the body of a response, which reveals a failure before the response head is relayed.

use bytes::{Bytes, BytesMut};
use http::Method;
use http::header::{self, HeaderMap};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use wharfquay_daemon::body::ResponseBody;

/// Maximum size of a response body that is buffered, in bytes. Longer bodies are streamed.
const MAX_COLLECTED: u64 = 192 * 1024;

/// Body of a response, as far as it was read.
pub(crate) enum Collected {
    /// The complete body.
    Complete(Bytes),
    /// The first bytes, and the stream of the remaining ones.
    Partial(Bytes, Incoming),
}

/// Buffers a body up to [`MAX_COLLECTED`] bytes.
///
/// # Errors
/// The error of the connection if the body is incomplete.
pub(crate) async fn collect(mut incoming: Incoming) -> Result<Collected, hyper::Error> {
    if incoming.size_hint().lower() > MAX_COLLECTED {
        return Ok(Collected::Partial(Bytes::new(), incoming));
    }
    let mut collected = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if collected.is_empty() && incoming.is_end_stream() {
            return Ok(Collected::Complete(data));
        }
        collected.extend_from_slice(&data);
        if collected.len() as u64 > MAX_COLLECTED {
            return Ok(Collected::Partial(collected.freeze(), incoming));
        }
    }
    Ok(Collected::Complete(collected.freeze()))
}

impl Collected {
    /// Returns the body to relay, which is cut off at `deadline` if it is streamed.
    pub(crate) fn into_body(self, deadline: Instant) -> ResponseBody {
        match self {
            Self::Complete(bytes) => ResponseBody::from_bytes(bytes),
            Self::Partial(first, rest) => {
                let rest = ResponseBody::streamed(rest, deadline);
                ResponseBody::with_prefix(first, rest)
            }
        }
    }
}

/// Removes the length of a body that is relayed with another framing. The response to a HEAD
/// request keeps it because there is no body from which it could be derived.
pub(crate) fn remove_length(method: &Method, headers: &mut HeaderMap) {
    if *method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
}
