//! Runs the claim replica of this daemon: configuration changes, and the handover of records from
//! one group to the next.

use std::sync::Arc;

use tokio::sync::mpsc;
use wharfquay_core::idempotency::claim::message::{ReplicaReply, ReplicaRequest};
use wharfquay_core::idempotency::claim::replica::{PeerRequest, Replica};

use crate::control::claims::transport::{Delivery, Inbox};
use crate::control::claims::{Claims, group};
use crate::events::{Event, log_event};
use crate::sync::lock;

/// Runs until the sender of the configuration is dropped.
pub(in crate::control) async fn run(claims: Arc<Claims>) {
    let mut snapshot = claims.snapshot.clone();
    let (inbox, mut deliveries) = mpsc::unbounded_channel();
    loop {
        let group = group::in_force(&snapshot.borrow_and_update());
        if let Some(group) = group {
            let now = claims.clock.now();
            claims.update(&inbox, |replica| replica.configure(now, group));
        }
        let wakeup = lock(&claims.replica).next_wakeup();
        tokio::select! {
            changed = snapshot.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            Some(delivery) = deliveries.recv() => claims.deliver(&inbox, delivery),
            () = claims.clock.sleep_until(wakeup) => {
                let now = claims.clock.now();
                claims.update(&inbox, |replica| replica.advance(now));
            }
        }
    }
}

impl Claims {
    fn deliver(self: &Arc<Self>, inbox: &Inbox, delivery: Delivery) {
        let Delivery { from, reply } = delivery;
        if let ReplicaReply::Page(page) = reply {
            let now = self.clock.now();
            self.update(inbox, |replica| replica.receive_page(now, &from, page));
        }
    }

    /// Applies a change to the replica and sends its requests to other replicas.
    fn update(
        self: &Arc<Self>,
        inbox: &Inbox,
        change: impl FnOnce(&mut Replica) -> Vec<PeerRequest>,
    ) {
        let before = self.status();
        let requests = change(&mut lock(&self.replica));
        let after = self.status();
        if (before.epoch, before.voting) != (after.epoch, after.voting) {
            let (epoch, voting) = (after.epoch.number(), after.voting);
            let records = after.records;
            log_event!(
                Event::ClaimReplica,
                "epoch={epoch} voting={voting} records={records}"
            );
        }
        for PeerRequest { to, fetch } in requests {
            self.send_in_background(to, ReplicaRequest::Fetch(fetch), inbox.clone());
        }
    }
}
