//! Reads bodies of responses: buffers those to relay, which reveals a failure before the response
//! head is relayed, and discards those of refusals.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap};
use http::{Method, Response};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout};
use wharfquay_daemon::backend_pool::Lease;
use wharfquay_daemon::body::{BodyEnd, BodyObserver, ResponseBody};

/// Maximum size of a response body that is buffered, in bytes. Longer bodies are streamed.
const MAX_COLLECTED: u64 = 192 * 1024;

/// Maximum size of a body that is discarded, in bytes. Refusals have shorter ones.
const MAX_DISCARDED: usize = 16 * 1024;
/// Maximum time for a body that is discarded to end.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(100);

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

/// Discards the body of a refusal in the background and returns its connection to the pool. A body
/// that is long, or that does not end in time, closes the connection.
pub(crate) fn discard(response: Response<Incoming>, lease: Lease) {
    let lease = Box::new(lease);
    if response.body().is_end_stream() {
        lease.ended(BodyEnd::Complete);
        return;
    }
    tokio::spawn(async move {
        let body = Limited::new(response.into_body(), MAX_DISCARDED);
        if let Ok(Ok(_)) = timeout(DISCARD_TIMEOUT, body.collect()).await {
            lease.ended(BodyEnd::Complete);
        }
    });
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
