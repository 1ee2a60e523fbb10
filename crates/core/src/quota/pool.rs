//! Tokens that a process holds for future requests.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Time for which a granted token is valid. The requests admitted in a window may exceed the limit
/// by the tokens granted during this time before the window: 6% of a window of five seconds, where
/// the platform tolerates 10%.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(300);

/// Tokens of one tenant that were granted and not used yet.
#[derive(Clone, Debug, Default)]
pub struct TokenPool {
    /// Expiry time of each token, the earliest first.
    expiries: VecDeque<Timestamp>,
}

impl TokenPool {
    /// Adds a token that expires at `expires_at`.
    pub fn put(&mut self, expires_at: Timestamp) {
        let position = self.expiries.partition_point(|other| *other <= expires_at);
        self.expiries.insert(position, expires_at);
    }

    /// Takes the token that expires next and returns its expiry time.
    pub fn take(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.drop_expired(now);
        self.expiries.pop_front()
    }

    /// Returns true if no valid token is left.
    pub fn is_empty(&mut self, now: Timestamp) -> bool {
        self.drop_expired(now);
        self.expiries.is_empty()
    }

    fn drop_expired(&mut self, now: Timestamp) {
        while self
            .expiries
            .front()
            .is_some_and(|expires_at| *expires_at <= now)
        {
            self.expiries.pop_front();
        }
    }
}
