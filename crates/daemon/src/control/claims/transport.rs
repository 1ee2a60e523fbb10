//! Claim messages to replicas: HTTP/2 requests to the control listener of the replica's daemon.

use std::time::Duration;

use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::sync::mpsc;
use wharfquay_core::idempotency::claim::group::ReplicaId;
use wharfquay_core::idempotency::claim::message::{ReplicaReply, ReplicaRequest};
use wharfquay_protocol::envelope;

use crate::body::RequestBody;
use crate::control::claims::{Claims, MAXIMUM_MESSAGE, PATH};
use crate::events::{Event, Quoted, log_event};

/// Longest time to wait for one answer; the sender's own timers send again long before.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer and the replica that gave it.
#[derive(Debug)]
pub(super) struct Delivery {
    pub(super) from: ReplicaId,
    pub(super) reply: ReplicaReply,
}

/// Where answers go.
pub(super) type Inbox = mpsc::UnboundedSender<Delivery>;

impl Claims {
    /// Sends a message in the background; an answer that comes in time goes to `inbox`.
    pub(super) fn post(
        self: &std::sync::Arc<Self>,
        to: ReplicaId,
        request: ReplicaRequest,
        inbox: Inbox,
    ) {
        let claims = std::sync::Arc::clone(self);
        tokio::spawn(async move {
            let answer = tokio::time::timeout(ANSWER_TIMEOUT, claims.ask(&to, request));
            if let Ok(Some(reply)) = answer.await {
                // The receiver may have ended in the meantime.
                let _ = inbox.send(Delivery { from: to, reply });
            }
        });
    }

    async fn ask(&self, to: &ReplicaId, request: ReplicaRequest) -> Option<ReplicaReply> {
        if *to == self.own_id {
            return Some(self.handle(request));
        }
        let address = self.address(to)?;
        let body = envelope::encode(&request).ok()?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{PATH}"))
            .body(RequestBody::held(body.into()))
            .ok()?;
        let response = self.peers.send(address, request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(response.into_body(), MAXIMUM_MESSAGE);
        let body = body.collect().await.ok()?.to_bytes();
        envelope::decode(&body, MAXIMUM_MESSAGE)
            .inspect_err(|error| log_event!(Event::ClaimReplyRejected, "error={}", Quoted(error)))
            .ok()
    }
}
