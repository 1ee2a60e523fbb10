//! The byte budget of a daemon's control traffic: a token bucket.

use wharfquay_core::time::Timestamp;

/// Bytes that the network layers add to a datagram: IPv4 and UDP headers.
pub const DATAGRAM_OVERHEAD: usize = 28;

/// A token bucket over sent bytes.
///
/// Probes and urgent messages are always sent and may overdraw it; routine messages wait until it
/// is positive.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_second: f64,
    burst: f64,
    available: f64,
    updated: Timestamp,
}

impl ByteBudget {
    /// A full bucket.
    #[must_use]
    pub fn new(bytes_per_second: u32, burst_bytes: u32, now: Timestamp) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            burst: f64::from(burst_bytes),
            available: f64::from(burst_bytes),
            updated: now,
        }
    }

    /// Whether a routine message may be sent.
    pub fn allows_routine(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.available > 0.0
    }

    /// Takes the bytes of a sent message. The debt never exceeds what a second brings, so that large
    /// configuration changes don't silence the gossip by which members find each other.
    pub fn spend(&mut self, now: Timestamp, bytes: usize) {
        self.refill(now);
        #[expect(clippy::cast_precision_loss, reason = "message sizes are small")]
        let spent = bytes as f64;
        self.available = (self.available - spent).max(-self.bytes_per_second);
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        self.available = (self.available + elapsed * self.bytes_per_second).min(self.burst);
    }
}
