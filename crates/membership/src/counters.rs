//! Counters of the control traffic.

/// Counters of one [`crate::node::Node`], all since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent, including network headers.
    pub bytes_sent: u64,
    /// Messages received and decoded.
    pub messages_received: u64,
    /// Bytes received, including network headers.
    pub bytes_received: u64,
    /// Messages dropped because they could not be decoded.
    pub malformed: u64,
    /// Messages dropped because of another version, another deployment or this daemon's own sender
    /// id.
    pub rejected_foreign: u64,
    /// Members that this daemon declared dead after a suspicion.
    pub declared_dead: u64,
    /// Updates about itself that this daemon refuted.
    pub refutations: u64,
    /// Routine messages dropped because the byte budget was exhausted.
    pub dropped_by_budget: u64,
    /// Snapshots and deltas of the configuration that were adopted.
    pub adopted: u64,
    /// Store reports with a revision older than the one in force.
    pub older_store_reports: u64,
}
