//! One simulated daemon: its control plane and the state that is kept across restarts.

use std::collections::VecDeque;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::counters::Counters;
use wharfquay_membership::directory::DirectoryRegistration;
use wharfquay_membership::node::Node;

/// Number of messages that are buffered for a frozen process, as in a socket's receive buffer.
const MAX_BUFFERED_MESSAGES: usize = 256;

/// Control traffic of one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent, including the headers of the network layers.
    pub bytes_sent: u64,
    /// Bytes received, including the headers of the network layers.
    pub bytes_received: u64,
    /// Messages sent.
    pub messages_sent: u64,
}

impl Traffic {
    fn plus(self, counters: &Counters) -> Self {
        Self {
            bytes_sent: self.bytes_sent + counters.bytes_sent,
            bytes_received: self.bytes_received + counters.bytes_received,
            messages_sent: self.messages_sent + counters.messages_sent,
        }
    }
}

/// A simulated daemon.
pub(super) struct SimulatedDaemon {
    /// The control plane; present while the process runs.
    pub(super) node: Option<Node>,
    /// Number of starts so far. It identifies the process: events that refer to an earlier start are discarded.
    pub(super) process: u32,
    /// Start of the current process.
    pub(super) started_at: Timestamp,
    /// Time of the next start, if one is scheduled.
    pub(super) starts_at: Option<Timestamp>,
    /// Time for which the timer is set.
    pub(super) wakes_at: Option<Timestamp>,
    /// End of the pause of a frozen process, which does not run until then.
    pub(super) frozen_until: Option<Timestamp>,
    /// Revision in force in the current process; zero if there is none.
    pub(super) in_force: u64,
    /// Highest revision that was ever in force at this daemon, over all starts.
    pub(super) highest_in_force: u64,
    /// Revision up to which this reader has received changes from the store.
    pub(super) watched_revision: u64,
    /// True if the relay has requested a whole configuration from this reader.
    pub(super) snapshot_requested: bool,
    /// State of the process's registration in the platform's directory.
    pub(super) registration: Option<DirectoryRegistration>,
    /// Random source of the daemon.
    pub(super) random: Pcg64Mcg,
    /// Sender and content of the messages that arrived while the process was frozen.
    buffered_messages: VecDeque<(usize, Vec<u8>)>,
    /// Traffic of the earlier processes.
    earlier_traffic: Traffic,
}

impl SimulatedDaemon {
    pub(super) fn new(seed: u64, index: usize) -> Self {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let number = u64::try_from(index).unwrap_or(u64::MAX).wrapping_add(1);
        Self {
            node: None,
            process: 0,
            started_at: Timestamp::ZERO,
            starts_at: None,
            wakes_at: None,
            frozen_until: None,
            in_force: 0,
            highest_in_force: 0,
            watched_revision: 0,
            snapshot_requested: false,
            registration: None,
            random: Pcg64Mcg::seed_from_u64(seed ^ number.wrapping_mul(STEP)),
            buffered_messages: VecDeque::new(),
            earlier_traffic: Traffic::default(),
        }
    }

    /// Terminates the process and discards its state.
    pub(super) fn terminate(&mut self) {
        self.earlier_traffic = self.traffic();
        self.node = None;
        self.wakes_at = None;
        self.frozen_until = None;
        self.in_force = 0;
        self.watched_revision = 0;
        self.snapshot_requested = false;
        self.registration = None;
        self.buffered_messages.clear();
    }

    pub(super) fn traffic(&self) -> Traffic {
        match &self.node {
            Some(node) => self.earlier_traffic.plus(node.counters()),
            None => self.earlier_traffic,
        }
    }

    /// Buffers a message for a frozen process. Once the buffer is full, further messages are dropped, as
    /// by a socket.
    pub(super) fn buffer_message(&mut self, from: usize, bytes: Vec<u8>) {
        if self.buffered_messages.len() < MAX_BUFFERED_MESSAGES {
            self.buffered_messages.push_back((from, bytes));
        }
    }

    pub(super) fn take_buffered_messages(&mut self) -> VecDeque<(usize, Vec<u8>)> {
        std::mem::take(&mut self.buffered_messages)
    }
}
