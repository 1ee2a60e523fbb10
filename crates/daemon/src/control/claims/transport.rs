//! Transport of claim messages: HTTP/2 requests to the control listener of the replica's daemon.

use std::time::Duration;

use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::sync::mpsc;
use wharfquay_core::idempotency::claim::group::ReplicaId;
use wharfquay_core::idempotency::claim::message::{ReplicaReply, ReplicaRequest};
use wharfquay_protocol::envelope;

use crate::body::RequestBody;
use crate::control::claims::{Claims, MAX_MESSAGE_BYTES, PATH};
use crate::events::{Event, Quoted, log_event};

/// Maximum time to wait for a reply. Coordinators and replicas resend much earlier by their own
/// timers.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// A reply and the replica that sent it.
#[derive(Debug)]
pub(super) struct Delivery {
    pub(super) from: ReplicaId,
    pub(super) reply: ReplicaReply,
}

/// The channel that receives replies.
pub(super) type Inbox = mpsc::UnboundedSender<Delivery>;

impl Claims {
    /// Sends a request in the background; a reply that arrives in time goes to `inbox`.
    pub(super) fn send_in_background(
        self: &std::sync::Arc<Self>,
        to: ReplicaId,
        request: ReplicaRequest,
        inbox: Inbox,
    ) {
        let claims = std::sync::Arc::clone(self);
        tokio::spawn(async move {
            let reply = tokio::time::timeout(REPLY_TIMEOUT, claims.send_request(&to, request));
            if let Ok(Some(reply)) = reply.await {
                // The receiver may have finished in the meantime.
                let _ = inbox.send(Delivery { from: to, reply });
            }
        });
    }

    async fn send_request(&self, to: &ReplicaId, request: ReplicaRequest) -> Option<ReplicaReply> {
        if *to == self.local_id {
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
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        envelope::decode(&body, MAX_MESSAGE_BYTES)
            .inspect_err(|error| log_event!(Event::ClaimReplyRejected, "error={}", Quoted(error)))
            .ok()
    }
}
