//! Byte budget of a daemon's control traffic, as a token bucket.

use wharfquay_core::time::Timestamp;

/// Bytes that the network layers add to a datagram: IPv4 and UDP headers.
pub const DATAGRAM_OVERHEAD: usize = 28;

/// Token bucket over sent bytes.
///
/// Probes and urgent messages are always sent and may overdraw the bucket. Routine messages are
/// only sent while its balance is positive.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_second: f64,
    burst: f64,
    available: f64,
    updated: Timestamp,
}

impl ByteBudget {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(bytes_per_second: u32, burst_bytes: u32, now: Timestamp) -> Self {
        Self {
            bytes_per_second: f64::from(bytes_per_second),
            burst: f64::from(burst_bytes),
            available: f64::from(burst_bytes),
            updated: now,
        }
    }

    /// Returns true if a routine message may be sent now.
    pub fn allows_routine(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.available > 0.0
    }

    /// Withdraws the bytes of a sent message. The debt is limited to what one second refills, so
    /// large configuration changes can't suppress the gossip that members need to discover each
    /// other.
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
