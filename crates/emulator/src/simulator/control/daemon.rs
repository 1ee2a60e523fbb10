//! One simulated daemon: its control plane and what outlives its process.

use std::collections::VecDeque;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use wharfquay_core::time::Timestamp;
use wharfquay_membership::counters::Counters;
use wharfquay_membership::directory::DirectoryRegistration;
use wharfquay_membership::node::Node;

/// Messages that wait for a frozen process, as in a socket's buffer.
const WAITING_MESSAGES: usize = 256;

/// Control traffic of one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent, with the headers of the network layers.
    pub bytes_sent: u64,
    /// Bytes received, with the headers of the network layers.
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

/// A daemon of the simulation.
pub(super) struct SimulatedDaemon {
    /// The control plane while the process runs.
    pub(super) node: Option<Node>,
    /// Number of the process.
    pub(super) process: u32,
    /// Start of the process.
    pub(super) started_at: Timestamp,
    /// When a process that does not run yet starts.
    pub(super) starts_at: Option<Timestamp>,
    /// The timer that is set.
    pub(super) wakes_at: Option<Timestamp>,
    /// Until when the process does nothing.
    pub(super) frozen_until: Option<Timestamp>,
    /// Revision in force in this process.
    pub(super) in_force: u64,
    /// Highest revision ever in force here, over all processes.
    pub(super) highest_in_force: u64,
    /// Revision up to which this reader's watch has told it of changes.
    pub(super) watched_revision: u64,
    /// The relay has asked this reader for a whole configuration.
    pub(super) whole_wanted: bool,
    /// The process's part in the platform's directory.
    pub(super) registration: Option<DirectoryRegistration>,
    /// Randomness of the process.
    pub(super) random: Pcg64Mcg,
    waiting: VecDeque<(usize, Vec<u8>)>,
    earlier_processes: Traffic,
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
            whole_wanted: false,
            registration: None,
            random: Pcg64Mcg::seed_from_u64(seed ^ number.wrapping_mul(STEP)),
            waiting: VecDeque::new(),
            earlier_processes: Traffic::default(),
        }
    }

    /// Ends the process; nothing of its memory is left.
    pub(super) fn end(&mut self) {
        self.earlier_processes = self.traffic();
        self.node = None;
        self.wakes_at = None;
        self.frozen_until = None;
        self.in_force = 0;
        self.watched_revision = 0;
        self.whole_wanted = false;
        self.registration = None;
        self.waiting.clear();
    }

    pub(super) fn traffic(&self) -> Traffic {
        match &self.node {
            Some(node) => self.earlier_processes.plus(node.counters()),
            None => self.earlier_processes,
        }
    }

    /// Keeps a message that arrives while the process is frozen; the oldest are kept, as in a full
    /// socket buffer.
    pub(super) fn keep_for_later(&mut self, from: usize, bytes: Vec<u8>) {
        if self.waiting.len() < WAITING_MESSAGES {
            self.waiting.push_back((from, bytes));
        }
    }

    pub(super) fn take_waiting(&mut self) -> VecDeque<(usize, Vec<u8>)> {
        std::mem::take(&mut self.waiting)
    }
}
