//! Settings of the client.

use std::time::Duration;

use crate::backoff::Backoff;

/// Bounds on the client's calls.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Longest time that one attempt of a call may take, from connecting to the whole answer.
    pub call_timeout: Duration,
    /// Longest time that a connection may take to open.
    pub connect_timeout: Duration,
    /// Longest time without a line on a watch. The platform sends bookmarks more often than that.
    pub watch_idle_timeout: Duration,
    /// Time after which [`crate::Client::write_with_retry`] gives up.
    pub write_timeout: Duration,
    /// Waits between the attempts of a write.
    pub backoff: Backoff,
    /// Largest answer that is read, in bytes.
    pub maximum_answer_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            watch_idle_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(30),
            backoff: Backoff::default(),
            maximum_answer_bytes: 64 * 1024 * 1024,
        }
    }
}
