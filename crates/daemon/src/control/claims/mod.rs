//! Claims on idempotency keys: this daemon's replica and the coordinators of its edge.
//!
//! The decisions are made by [`wharfquay_core::idempotency::claim`]; this module provides clocks,
//! timers and connections.

mod coordinate;
mod group;
mod replica;
mod transport;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;
use wharfquay_core::idempotency::claim::group::{Epoch, ReplicaId};
use wharfquay_core::idempotency::claim::message::{ReplicaReply, ReplicaRequest};
use wharfquay_core::idempotency::claim::replica::{Replica, ReplicaSettings};
use wharfquay_protocol::envelope;
use wharfquay_resources::snapshot::Snapshot;

use crate::body::ResponseBody;
use crate::clock::{Clock, wall_clock};
use crate::control::ControlAddresses;
use crate::events::{Event, Quoted, log_event};
use crate::peers::PeerPool;
use crate::sync::lock;

pub(crate) use coordinate::{ClaimVerdict, ClaimedCall, DispatchPermit};
pub(super) use replica::run as run_replica;

/// Path of claim messages on the control listener.
const PATH: &str = "/wharfquay/claims";
/// Largest accepted claim message, in bytes. The largest messages are pages of records with
/// recorded responses.
const MAX_MESSAGE_BYTES: usize = envelope::MAX_STREAM_MESSAGE;

/// This daemon's part in the claims on idempotency keys: the replica that votes on them, and what
/// the coordinators of its edge need to collect votes. A claim is the exclusive right to dispatch the
/// request with a key.
#[derive(Debug)]
pub struct Claims {
    local_id: ReplicaId,
    replica: Mutex<Replica>,
    clock: Clock,
    snapshot: watch::Receiver<Arc<Snapshot>>,
    addresses: watch::Receiver<Arc<ControlAddresses>>,
    peers: PeerPool,
    tasks: TaskTracker,
}

/// Status of this daemon's replica of the claims on idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Epoch of the replica's claim group, which grows with each change of the group's members;
    /// zero without a group.
    pub epoch: Epoch,
    /// True if the replica votes on claims.
    pub voting: bool,
    /// Number of idempotency keys that the replica stores.
    pub records: usize,
    /// Size of the responses that the replica stores for repeats, in bytes.
    pub content_bytes: usize,
}

impl Claims {
    pub(super) fn new(
        id: &str,
        clock: Clock,
        snapshot: watch::Receiver<Arc<Snapshot>>,
        addresses: watch::Receiver<Arc<ControlAddresses>>,
        peers: PeerPool,
        tasks: TaskTracker,
    ) -> Self {
        let local_id = ReplicaId::new(id);
        let replica = Replica::new(local_id.clone(), ReplicaSettings::default(), wall_clock());
        Self {
            local_id,
            replica: Mutex::new(replica),
            clock,
            snapshot,
            addresses,
            peers,
            tasks,
        }
    }

    /// Returns the state of the replica in this daemon.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let replica = lock(&self.replica);
        ReplicaStatus {
            epoch: replica.epoch(),
            voting: replica.is_voting(),
            records: replica.store().len(),
            content_bytes: replica.store().content_bytes(),
        }
    }

    /// Handles a claim message that arrives on the control listener.
    pub(crate) async fn serve(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.method() != http::Method::POST || request.uri().path() != PATH {
            return plain_response(StatusCode::NOT_FOUND, Bytes::new());
        }
        let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES);
        let Ok(body) = body.collect().await else {
            return plain_response(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
        };
        let message = envelope::decode(&body.to_bytes(), MAX_MESSAGE_BYTES);
        let message: ReplicaRequest = match message {
            Ok(message) => message,
            Err(error) => {
                log_event!(Event::ClaimMessageRejected, "error={}", Quoted(error));
                return plain_response(StatusCode::BAD_REQUEST, Bytes::new());
            }
        };
        match envelope::encode(&self.handle(message)) {
            Ok(reply) => plain_response(StatusCode::OK, reply.into()),
            Err(_) => plain_response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()),
        }
    }

    fn handle(&self, request: ReplicaRequest) -> ReplicaReply {
        lock(&self.replica).handle(wall_clock(), request)
    }

    fn address(&self, replica: &ReplicaId) -> Option<SocketAddr> {
        self.addresses.borrow().get(replica.as_str()).copied()
    }
}

fn plain_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::from_bytes(body));
    *response.status_mut() = status;
    response
}
