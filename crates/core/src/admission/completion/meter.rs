//! Share of the executions of each request kind at one backend that complete.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::priority::Priority;
use crate::time::Timestamp;

/// Completed share of a kind whose executions all complete, in permille.
pub const FULL_SHARE: u16 = 1_000;
/// Time constant of the moving averages. With 40 executions a second and kind an average covers 8
/// of them, and a recovery shows within 0.3 s.
const TIME_CONSTANT: Duration = Duration::from_millis(200);
/// Number of recent executions, weighted by age, below which the share is unknown.
const MIN_EXECUTIONS: f64 = 1.0;
/// Maximum number of request kinds, and of called services for each, that are tracked.
const MAX_KINDS: usize = 1_024;
const MAX_SERVICES: usize = 32;

/// Result of an execution at the local backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionResult<'call> {
    /// The backend responded without a server error, or with one that no failed call explains.
    Completed,
    /// The execution failed, and so did a call that it made to this service.
    CallFailed(&'call str),
}

/// Tracks the completed share of executions by request kind.
#[derive(Clone, Debug, Default)]
pub struct CompletionMeter {
    kinds: HashMap<String, KindResults>,
}

/// Recent results of one kind, each weighted by its age.
#[derive(Clone, Debug)]
struct KindResults {
    priority: Priority,
    updated: Timestamp,
    executions: f64,
    /// Failed executions by the service of the call that failed.
    failed: Vec<(String, f64)>,
}

impl KindResults {
    /// Returns the weight at `now` of what was recorded before.
    fn weight(&self, now: Timestamp) -> f64 {
        let age = now.saturating_since(self.updated).as_secs_f64();
        (-age / TIME_CONSTANT.as_secs_f64()).exp()
    }

    fn record(&mut self, now: Timestamp, result: ExecutionResult) {
        let weight = self.weight(now);
        self.updated = now;
        self.executions = self.executions * weight + 1.0;
        for (_, count) in &mut self.failed {
            *count *= weight;
        }
        if let ExecutionResult::CallFailed(service) = result {
            let known = self.failed.iter().position(|(name, _)| name == service);
            match known {
                Some(position) => self.failed[position].1 += 1.0,
                None if self.failed.len() < MAX_SERVICES => {
                    self.failed.push((service.to_owned(), 1.0));
                }
                None => {}
            }
        }
    }

    /// Returns the share that did not fail because of a call to one of the services that `counts`
    /// selects; `None` if there were too few executions recently.
    fn share(&self, now: Timestamp, counts: impl Fn(&str) -> bool) -> Option<u16> {
        if self.executions * self.weight(now) < MIN_EXECUTIONS {
            return None;
        }
        let counted = self.failed.iter().filter(|(service, _)| counts(service));
        let failed: f64 = counted.map(|(_, count)| count).sum();
        let completed = 1.0 - failed / self.executions;
        Some((completed.clamp(0.0, 1.0) * f64::from(FULL_SHARE)).round() as u16)
    }
}

impl CompletionMeter {
    /// Creates a meter without executions.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the result of an execution that was admitted at the local backend.
    pub fn record(
        &mut self,
        now: Timestamp,
        kind: &str,
        priority: Priority,
        result: ExecutionResult,
    ) {
        if let Some(results) = self.kinds.get_mut(kind) {
            results.priority = results.priority.min(priority);
            results.record(now, result);
            return;
        }
        if self.kinds.len() >= MAX_KINDS {
            self.kinds.clear();
        }
        let mut results = KindResults {
            priority,
            updated: now,
            executions: 0.0,
            failed: Vec::new(),
        };
        results.record(now, result);
        self.kinds.insert(kind.to_owned(), results);
    }

    /// Returns the kinds with a known share that is below [`FULL_SHARE`], without the effect of more
    /// important kinds.
    pub fn incomplete(&self, now: Timestamp) -> impl Iterator<Item = (&str, u16)> {
        self.kinds.iter().filter_map(move |(kind, results)| {
            let share = results.share(now, |_| true)?;
            (share < FULL_SHARE).then_some((kind.as_str(), share))
        })
    }

    /// Returns the completed share of a kind whose executions call the services `called`, in
    /// permille; `None` if it is unknown.
    ///
    /// A more important kind that fails at one of these services lowers the share too. Otherwise
    /// the kind would use the capacity that the limit on the more important one frees.
    #[must_use]
    pub fn share(&self, now: Timestamp, kind: &str, called: &BTreeSet<String>) -> Option<u16> {
        let own = self.kinds.get(kind)?;
        let more_important = self
            .kinds
            .values()
            .filter(|other| other.priority < own.priority);
        let shares = more_important
            .filter_map(|other| other.share(now, |service| called.contains(service)))
            .chain(own.share(now, |_| true));
        shares.min()
    }
}
