//! Collecting the body of an answer, so that a failure shows before its head is passed on.

use bytes::{Bytes, BytesMut};
use http::Method;
use http::header::{self, HeaderMap};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use wharfquay_daemon::body::AnswerBody;

/// Largest body of an answer that is collected, in bytes; longer ones are passed on as they come.
const MAX_COLLECTED: u64 = 192 * 1024;

/// The body of an answer, as far as it was read.
pub(crate) enum Collected {
    /// All of it.
    Whole(Bytes),
    /// Its first bytes, and the stream that brings the rest.
    Partial(Bytes, Incoming),
}

/// Reads a body up to the largest size that is collected.
///
/// # Errors
/// What the connection reported when the body broke off.
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
            return Ok(Collected::Whole(data));
        }
        collected.extend_from_slice(&data);
        if collected.len() as u64 > MAX_COLLECTED {
            return Ok(Collected::Partial(collected.freeze(), incoming));
        }
    }
    Ok(Collected::Whole(collected.freeze()))
}

impl Collected {
    /// The body to pass on, at most until `deadline`.
    pub(crate) fn into_body(self, deadline: Instant) -> AnswerBody {
        match self {
            Self::Whole(bytes) => AnswerBody::own(bytes),
            Self::Partial(first, rest) => {
                let rest = AnswerBody::relayed(rest, deadline);
                AnswerBody::resumed(first, rest)
            }
        }
    }
}

/// Removes the length of a body that is passed on in another form; the answer to a HEAD request keeps
/// it, since it has no body to tell it from.
pub(crate) fn remove_length(method: &Method, headers: &mut HeaderMap) {
    if *method != Method::HEAD {
        headers.remove(header::CONTENT_LENGTH);
    }
}
