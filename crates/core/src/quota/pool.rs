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
    ends: VecDeque<Timestamp>,
}

impl TokenPool {
    /// Adds a token that expires at `end`.
    pub fn put(&mut self, end: Timestamp) {
        let position = self.ends.partition_point(|other| *other <= end);
        self.ends.insert(position, end);
    }

    /// Takes the token that expires next and returns its expiry time.
    pub fn take(&mut self, now: Timestamp) -> Option<Timestamp> {
        self.drop_ended(now);
        self.ends.pop_front()
    }

    /// Returns true if no valid token is left.
    pub fn is_empty(&mut self, now: Timestamp) -> bool {
        self.drop_ended(now);
        self.ends.is_empty()
    }

    fn drop_ended(&mut self, now: Timestamp) {
        while self.ends.front().is_some_and(|end| *end <= now) {
            self.ends.pop_front();
        }
    }
}
