//! An outgoing call of this daemon: its request head, its body and its retry account.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::uri::PathAndQuery;
use http::{HeaderMap, Method, Request};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use wharfquay_core::call::CallContext;
use wharfquay_core::outcome::ResultCode;
use wharfquay_core::retry::{Backoff, Ledger};
use wharfquay_resources::kinds::RetryBudget;
use wharfquay_resources::snapshot::Snapshot;

use crate::body::{MAX_HELD_BODY, RequestBody};
use crate::decisions::DecisionTrace;
use crate::headers::{remove_hop_by_hop, remove_internal_request_headers};
use crate::response::Failure;

/// The head of a request, without the headers that must not cross this hop.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
}

impl RequestHead {
    /// Splits a request into head and body and removes the headers that must not cross this hop.
    ///
    /// # Errors
    /// [`ResultCode::MalformedRequest`] if the request has no path, such as a CONNECT request.
    pub(crate) fn split(request: Request<Incoming>) -> Result<(Self, Incoming), Failure> {
        let (parts, body) = request.into_parts();
        let mut headers = parts.headers;
        remove_hop_by_hop(&mut headers);
        remove_internal_request_headers(&mut headers);
        headers.remove(http::header::HOST);
        let path = parts.uri.path_and_query().cloned();
        let path = path.filter(|path| path.as_str().starts_with('/'));
        let path = path.filter(|_| parts.method != Method::CONNECT);
        let head = Self {
            method: parts.method,
            path: path.ok_or_else(|| Failure::new(ResultCode::MalformedRequest))?,
            headers,
        };
        Ok((head, body))
    }
}

/// The allowance that pays for the retries of a call, and the backoff between them.
#[derive(Clone, Debug)]
pub(crate) struct RetryAccount {
    /// Ledger that the retries are paid from; shared by all calls of a scope.
    pub(crate) ledger: Arc<Mutex<Ledger>>,
    /// Number of calls among which the ledger divides its allowance; see [`Ledger::grant`].
    pub(crate) children: usize,
    /// Delays before retries.
    pub(crate) backoff: Backoff,
}

/// A call to a service, with everything that its attempts share.
#[derive(Debug)]
pub(crate) struct OutgoingCall {
    pub(crate) service: String,
    pub(crate) context: CallContext,
    pub(crate) head: RequestHead,
    pub(crate) account: RetryAccount,
    pub(crate) trace: DecisionTrace,
}

/// Returns the backoff of the retry budget that applies to a request kind, or the default one.
pub(crate) fn backoff_for(snapshot: &Snapshot, request_kind: &str) -> Backoff {
    let budget = snapshot
        .request_kinds
        .get(request_kind)
        .and_then(|kind| snapshot.retry_budget_for(kind));
    budget.map_or_else(Backoff::default, backoff_of)
}

fn backoff_of(budget: &RetryBudget) -> Backoff {
    Backoff {
        base: Duration::from_millis(u64::from(budget.backoff_base_ms)),
        maximum: Duration::from_millis(u64::from(budget.backoff_max_ms)),
    }
}

/// The body of a call: held in memory and therefore repeatable, or a stream that is sent once.
#[derive(Debug)]
pub(crate) enum CallBody {
    Held(Bytes),
    Stream(Option<RequestBody>),
}

impl CallBody {
    /// Reads a body of at most [`MAX_HELD_BODY`] bytes into memory; a larger one remains a stream.
    ///
    /// # Errors
    /// [`ResultCode::MalformedRequest`] if the sender aborts the body.
    pub(crate) async fn read(mut incoming: Incoming) -> Result<Self, Failure> {
        if incoming.is_end_stream() {
            return Ok(Self::Held(Bytes::new()));
        }
        if incoming.size_hint().lower() > MAX_HELD_BODY as u64 {
            return Ok(Self::stream(Bytes::new(), incoming));
        }
        let mut held = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| Failure::new(ResultCode::MalformedRequest))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            held.extend_from_slice(&data);
            if held.len() > MAX_HELD_BODY {
                return Ok(Self::stream(held.freeze(), incoming));
            }
        }
        Ok(Self::Held(held.freeze()))
    }

    fn stream(prefix: Bytes, rest: Incoming) -> Self {
        let prefix = (!prefix.is_empty()).then_some(prefix);
        Self::Stream(Some(RequestBody::Streamed { prefix, rest }))
    }

    /// Returns the body for one attempt, or `None` if it was a stream that an earlier attempt
    /// consumed.
    pub(crate) fn for_attempt(&mut self) -> Option<RequestBody> {
        match self {
            Self::Held(bytes) => Some(RequestBody::held(bytes.clone())),
            Self::Stream(body) => body.take(),
        }
    }

    /// Restores a body of which no byte was sent.
    pub(crate) fn restore(&mut self, unsent: RequestBody) {
        if let Self::Stream(body) = self {
            *body = Some(unsent);
        }
    }

    /// Returns true if another attempt can send the body.
    pub(crate) const fn can_repeat(&self) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Stream(body) => body.is_some(),
        }
    }
}
