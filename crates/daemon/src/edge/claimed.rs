//! Calls that take effect at most once under the caller's idempotency key.
//!
//! Such a call runs to completion even if the caller disconnects, which leaves a recorded outcome
//! for the caller's repeat of the request.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use sha2::{Digest, Sha256};
use wharfquay_core::call::{CallContext, IdempotencyKey};
use wharfquay_core::idempotency::claim::coordinator::ExecutionOutcome;
use wharfquay_core::idempotency::claim::message::{Fingerprint, RecordedResponse};
use wharfquay_core::outcome::{OutcomeClass, ResultCode};
use wharfquay_core::time::Timestamp;
use wharfquay_resources::kinds::RequestKind;
use wharfquay_resources::snapshot::{CLAIM_GROUP_NAME, Snapshot};

use crate::body::ResponseBody;
use crate::control::claims::{ClaimVerdict, ClaimedCall, DispatchPermit};
use crate::metrics::{ClaimResult, Side};
use crate::node::Node;
use crate::outbound::call::{CallBody, OutgoingCall};
use crate::response::{Failure, set_result};

/// Largest response body that is recorded for repeats, in bytes.
const MAX_RECORDED_BODY: usize = 8 * 1_024;
/// The time to the deadline divided by this is reserved, which lets the refusal of a claim that is
/// still undecided reach the caller before the deadline.
const GIVE_UP_MARGIN_DIVISOR: u32 = 16;

/// Returns the key that must be claimed before the call is dispatched, if any.
///
/// Without a claim group, a key that the request kind does not require is forwarded unclaimed.
pub(super) fn key_to_claim(
    snapshot: &Snapshot,
    kind: &RequestKind,
    key: Option<IdempotencyKey>,
) -> Option<IdempotencyKey> {
    let has_group = snapshot.claim_groups.contains_key(CLAIM_GROUP_NAME);
    let claims = !kind.repeatable && (has_group || kind.idempotency_key_required);
    key.filter(|_| claims)
}

/// Replaces a "not run" failure that was found before the claim group was queried: an earlier
/// request with the same key may have run.
pub(super) fn undetermined_before_claim(failure: Failure) -> Failure {
    if failure.code.outcome() == OutcomeClass::NotRun && failure.code.wants_retry_after() {
        return Failure::with_retry_after(ResultCode::ClaimUndetermined, failure.retry_after);
    }
    failure
}

/// Claims the key of a call, then forwards the call or replays the recorded response.
pub(super) async fn run(
    node: Arc<Node>,
    call: OutgoingCall,
    key: IdempotencyKey,
    body: Incoming,
) -> Result<Response<ResponseBody>, Failure> {
    let running = tokio::spawn(async move {
        let path = Some(&call.head.path);
        let _in_flight = node.calls_in_flight.begin(Side::Edge, path);
        claim_and_forward(&node, &call, key, body).await
    });
    let lost = |_| Err(Failure::new(ResultCode::ClaimUncertain));
    running.await.unwrap_or_else(lost)
}

async fn claim_and_forward(
    node: &Node,
    call: &OutgoingCall,
    key: IdempotencyKey,
    body: Incoming,
) -> Result<Response<ResponseBody>, Failure> {
    node.forwarder
        .check_level(call)
        .map_err(undetermined_before_claim)?;
    let body = node.forwarder.read_body(call, body).await;
    let body = body.map_err(undetermined_before_claim)?;
    let claimed = ClaimedCall {
        key,
        fingerprint: fingerprint(call, &body),
        give_up_at: give_up_at(&call.context, node.clock.now()),
    };
    let verdict = node.control.claims.claim(claimed).await;
    node.metrics.record_claim(match &verdict {
        ClaimVerdict::Dispatch(_) => ClaimResult::Dispatch,
        ClaimVerdict::Replay(_) => ClaimResult::Replay,
        ClaimVerdict::Refuse(_) => ClaimResult::Refuse,
    });
    match verdict {
        ClaimVerdict::Dispatch(permit) => dispatch(node, call, body, permit).await,
        ClaimVerdict::Replay(recorded) => replay(&recorded),
        ClaimVerdict::Refuse(failure) => Err(failure),
    }
}

fn give_up_at(context: &CallContext, now: Timestamp) -> Timestamp {
    context.deadline - context.remaining(now) / GIVE_UP_MARGIN_DIVISOR
}

/// Computes the digest of a request: service, method, path and body. A streamed body is represented
/// by its `Content-Length` only.
fn fingerprint(call: &OutgoingCall, body: &CallBody) -> Fingerprint {
    let mut digest = Sha256::new();
    let length = call.head.headers.get(http::header::CONTENT_LENGTH);
    let body: &[u8] = match body {
        CallBody::Held(bytes) => bytes,
        CallBody::Stream(_) => length.map_or(&[], HeaderValue::as_bytes),
    };
    let method = call.head.method.as_str();
    let path = call.head.path.as_str();
    for field in [
        call.service.as_bytes(),
        method.as_bytes(),
        path.as_bytes(),
        body,
    ] {
        digest.update((field.len() as u64).to_be_bytes());
        digest.update(field);
    }
    let digest = digest.finalize();
    let (half, _) = digest.split_at(size_of::<u128>());
    let bits = half
        .iter()
        .fold(0, |bits: u128, byte| (bits << 8) | u128::from(*byte));
    Fingerprint::from_u128(bits)
}

async fn dispatch(
    node: &Node,
    call: &OutgoingCall,
    body: CallBody,
    permit: DispatchPermit,
) -> Result<Response<ResponseBody>, Failure> {
    let result = node.forwarder.forward_body(call, body).await;
    let (outcome, result) = match result {
        Ok(response) => record_response(response).await,
        Err(failure) => (outcome_of(failure.code), Err(failure)),
    };
    permit.complete(outcome);
    result
}

const fn outcome_of(code: ResultCode) -> ExecutionOutcome {
    match code.outcome() {
        OutcomeClass::NotRun => ExecutionOutcome::NotRun,
        OutcomeClass::Unknown | OutcomeClass::Run => ExecutionOutcome::Unknown,
    }
}

/// Reads a response of at most [`MAX_RECORDED_BODY`] bytes to record it; a larger one is streamed
/// to the caller and not recorded.
async fn record_response(
    response: Response<ResponseBody>,
) -> (ExecutionOutcome, Result<Response<ResponseBody>, Failure>) {
    let (parts, mut rest) = response.into_parts();
    let status = parts.status.as_u16();
    let executed = |content| ExecutionOutcome::Run(RecordedResponse { status, content });
    let mut body = BytesMut::new();
    while let Some(frame) = rest.frame().await {
        let Ok(frame) = frame else {
            return (
                executed(None),
                Err(Failure::new(ResultCode::ConnectionLost)),
            );
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        body.extend_from_slice(&data);
        if body.len() > MAX_RECORDED_BODY {
            let body = ResponseBody::with_prefix(body.freeze(), rest);
            return (executed(None), Ok(Response::from_parts(parts, body)));
        }
    }
    let body = body.freeze();
    let content = StoredResponse::new(&parts.headers, &body).encode();
    let response = Response::from_parts(parts, ResponseBody::from_bytes(body));
    (executed(content), Ok(response))
}

/// Headers and body of a response in the form that the replicas store.
#[derive(Debug, Serialize, Deserialize)]
struct StoredResponse {
    #[serde(rename = "h")]
    headers: Vec<StoredHeader>,
    #[serde(rename = "b")]
    body: ByteBuf,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredHeader {
    #[serde(rename = "n")]
    name: String,
    #[serde(rename = "v")]
    value: ByteBuf,
}

impl StoredResponse {
    fn new(headers: &HeaderMap, body: &Bytes) -> Self {
        let headers = headers.iter().map(|(name, value)| StoredHeader {
            name: name.as_str().to_owned(),
            value: ByteBuf::from(value.as_bytes()),
        });
        Self {
            headers: headers.collect(),
            body: ByteBuf::from(body.as_ref()),
        }
    }

    fn encode(&self) -> Option<ByteBuf> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).ok()?;
        Some(ByteBuf::from(bytes))
    }
}

/// Converts a recorded response into the response for the caller.
fn replay(recorded: &RecordedResponse) -> Result<Response<ResponseBody>, Failure> {
    let stored = recorded.content.as_ref();
    let stored = stored.and_then(|bytes| ciborium::from_reader(bytes.as_slice()).ok());
    let stored: StoredResponse = stored.ok_or_else(|| Failure::new(ResultCode::AnsweredEarlier))?;
    let (mut parts, ()) = Response::new(()).into_parts();
    restore_head(&mut parts, recorded.status, &stored.headers);
    set_result(&mut parts.headers, ResultCode::Answered);
    let body = ResponseBody::from_bytes(stored.body.into_vec());
    Ok(Response::from_parts(parts, body))
}

fn restore_head(parts: &mut Parts, status: u16, headers: &[StoredHeader]) {
    parts.status = StatusCode::from_u16(status).unwrap_or_default();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            parts.headers.append(name, value);
        }
    }
}
