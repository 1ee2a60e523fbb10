//! Slots reserved for calls whose kind is refused elsewhere on its path.
//!
//! While some service refuses a part of the most important requests, less important calls must not
//! delay them at other services: an important call that waits there holds a slot at the overloaded
//! service. This needs no message. Ranks are uniformly distributed and admission refuses the high
//! ones, so the mean rank of the arriving calls shows which share of a priority is still admitted
//! upstream.

use crate::priority::{AdmissionKey, Priority, Rank};

/// Weight of one call in the moving average of ranks.
const RANK_WEIGHT: f64 = 1.0 / 128.0;
/// Weight of one event in the moving average of executions.
const EXECUTIONS_WEIGHT: f64 = 1.0 / 64.0;
/// Admitted share from which no slot is reserved.
const NO_RESERVE_SHARE: f64 = 0.98;
/// Admitted share up to which slots are reserved in full.
const FULL_RESERVE_SHARE: f64 = 0.90;
/// Slots are reserved for calls up to this priority. Protecting every priority against the lower
/// ones costs the lower ones more than the higher ones gain.
const PROTECTED: Priority = Priority::HIGHEST;

/// Computes how many slots less important calls may use.
#[derive(Clone, Debug)]
pub(super) struct Reserve {
    executing: [u32; Priority::COUNT],
    mean_executing: [f64; Priority::COUNT],
    mean_rank: [f64; Priority::COUNT],
}

impl Reserve {
    /// Starts with every priority fully admitted: no slot is reserved.
    pub(super) const fn new() -> Self {
        Self {
            executing: [0; Priority::COUNT],
            mean_executing: [0.0; Priority::COUNT],
            mean_rank: [Rank::COUNT as f64 / 2.0; Priority::COUNT],
        }
    }

    /// Records the rank of an arriving call.
    pub(super) fn arrived(&mut self, key: AdmissionKey) {
        let priority = key.priority().index();
        let rank = f64::from(key.number() % Rank::COUNT);
        let mean = &mut self.mean_rank[priority];
        *mean += (rank - *mean) * RANK_WEIGHT;
    }

    /// Counts an execution that starts.
    pub(super) fn dispatched(&mut self, priority: Priority) {
        self.executing[priority.index()] += 1;
        self.update_means();
    }

    /// Counts an execution that completed.
    pub(super) fn completed(&mut self, priority: Priority) {
        let executing = &mut self.executing[priority.index()];
        *executing = executing.saturating_sub(1);
        self.update_means();
    }

    /// Returns true if a call of this priority may take one of the free slots below `limit`.
    pub(super) fn allows(&self, priority: Priority, limit: u32) -> bool {
        if priority <= PROTECTED {
            return true;
        }
        let protected = ..=PROTECTED.index();
        let important: f64 = self.mean_executing[protected].iter().sum();
        let others: u32 = self.executing[PROTECTED.index() + 1..].iter().sum();
        let limit = f64::from(limit);
        let reserved = (important * self.refused_degree(PROTECTED.index())).min(limit - 1.0);
        f64::from(others + 1) <= limit - reserved
    }

    /// Returns the degree to which calls of a priority are refused upstream: 0 for none, 1 if slots
    /// are reserved in full.
    fn refused_degree(&self, priority: usize) -> f64 {
        let admitted = 2.0 * self.mean_rank[priority] / f64::from(Rank::COUNT);
        ((NO_RESERVE_SHARE - admitted) / (NO_RESERVE_SHARE - FULL_RESERVE_SHARE)).clamp(0.0, 1.0)
    }

    fn update_means(&mut self) {
        for (mean, &executing) in self.mean_executing.iter_mut().zip(&self.executing) {
            *mean += (f64::from(executing) - *mean) * EXECUTIONS_WEIGHT;
        }
    }
}
