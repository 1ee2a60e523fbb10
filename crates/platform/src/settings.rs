//! Settings of the client.

use std::time::Duration;

use crate::backoff::Backoff;

/// Timeouts and limits of the client.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Timeout of one attempt of a call, from connecting to the complete reply.
    pub call_timeout: Duration,
    /// Timeout of opening a connection.
    pub connect_timeout: Duration,
    /// Timeout between two pieces of data on a watch. The platform sends bookmarks more often.
    pub watch_idle_timeout: Duration,
    /// Time after which [`crate::Client::write_with_retry`] gives up.
    pub write_timeout: Duration,
    /// Waits between the attempts of a write.
    pub backoff: Backoff,
    /// Maximum size of a reply, in bytes.
    pub maximum_reply_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(5),
            connect_timeout: Duration::from_secs(1),
            watch_idle_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(30),
            backoff: Backoff::default(),
            maximum_reply_bytes: 64 * 1024 * 1024,
        }
    }
}
