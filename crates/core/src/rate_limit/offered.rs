//! Share of the offered calls that are more important than those of a priority.

use std::time::Duration;

use crate::priority::Priority;
use crate::time::Timestamp;

/// Time after which an offered call counts about a third.
const MEMORY: Duration = Duration::from_secs(5);

/// Calls offered recently, by priority.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OfferedCalls {
    counts: [f64; Priority::COUNT],
    updated: Timestamp,
}

impl OfferedCalls {
    /// Counts an offered call.
    pub(super) fn record(&mut self, now: Timestamp, priority: Priority) {
        let elapsed = now.saturating_since(self.updated).as_secs_f64();
        let left = (-elapsed / MEMORY.as_secs_f64()).exp();
        self.updated = now;
        for count in &mut self.counts {
            *count *= left;
        }
        self.counts[priority.index()] += 1.0;
    }

    /// Returns which share of the offered calls is more important than this priority.
    pub(super) fn share_above(&self, priority: Priority) -> f64 {
        let above: f64 = self.counts[..priority.index()].iter().sum();
        let all: f64 = self.counts.iter().sum();
        if all > 0.0 { above / all } else { 0.0 }
    }
}
