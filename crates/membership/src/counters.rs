//! Counters of the control traffic.

/// What a [`crate::node::Node`] has counted since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent, with the headers of the network layers.
    pub bytes_sent: u64,
    /// Messages received and understood.
    pub messages_received: u64,
    /// Bytes received, with the headers of the network layers.
    pub bytes_received: u64,
    /// Messages dropped because they could not be decoded.
    pub malformed: u64,
    /// Messages dropped because they belong to another version or deployment.
    pub foreign: u64,
    /// Members that this daemon declared dead after a suspicion.
    pub declared_dead: u64,
    /// Reports about itself that this daemon refuted.
    pub refutations: u64,
    /// Routine messages held back by the byte budget.
    pub held_back: u64,
    /// Configuration changes adopted.
    pub adopted: u64,
    /// Reports of a store whose revision is older than the one in force.
    pub older_store_reports: u64,
}
