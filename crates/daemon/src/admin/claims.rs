//! What the admin pages show of claims on idempotency keys.

use serde::Serialize;

use crate::control::claims::ReplicaStatus;
use crate::metrics::Gauge;

/// The daemon's replica of the claim group, as `/status` shows it.
#[derive(Debug, Serialize)]
pub(super) struct ClaimStatus {
    /// Epoch of the claim group in force.
    epoch: u64,
    /// Whether the daemon holds a replica that votes in it.
    voting: bool,
    /// Keys that the replica remembers.
    records: usize,
    /// Bytes of answers that it keeps for repeats.
    content_bytes: usize,
}

impl ClaimStatus {
    pub(super) const fn new(replica: ReplicaStatus) -> Self {
        Self {
            epoch: replica.epoch.number(),
            voting: replica.voting,
            records: replica.records,
            content_bytes: replica.content_bytes,
        }
    }

    pub(super) fn gauges(&self) -> [Gauge; 4] {
        let gauge = |name, help, value| Gauge { name, help, value };
        [
            gauge(
                "wharfquay_claim_epoch",
                "Epoch of the claim group in force; 0 without one.",
                self.epoch,
            ),
            gauge(
                "wharfquay_claim_voting",
                "Whether this daemon's replica votes, 0 or 1.",
                u64::from(self.voting),
            ),
            gauge(
                "wharfquay_claim_records",
                "Idempotency keys that the replica remembers.",
                self.records as u64,
            ),
            gauge(
                "wharfquay_claim_content_bytes",
                "Bytes of answers that the replica keeps for repeats.",
                self.content_bytes as u64,
            ),
        ]
    }
}
