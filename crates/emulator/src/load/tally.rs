//! Counts of a running load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::attempt::{Attempt, AttemptEnd};
use super::recovery::Buckets;
use crate::response_body::BodyError;

const LONGEST_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_FIGURES: u8 = 3;

/// What became of an originating request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// Whole in time.
    Whole,
    /// Whole, but after its deadline, or the caller went away at the deadline.
    Late,
    /// Not run.
    Refused,
    /// Not known whether it was run.
    Unknown,
    /// Answered with an error.
    Failed,
    /// Answered with something that is not its whole answer.
    Wrong(BodyError),
}

impl RequestEnd {
    /// The end that the last attempt gives the request.
    pub(super) const fn of(last: &Attempt, in_time: bool) -> Self {
        match last.end {
            AttemptEnd::Whole if in_time => Self::Whole,
            AttemptEnd::Whole | AttemptEnd::TimedOut | AttemptEnd::CutAtDeadline => Self::Late,
            AttemptEnd::Wrong(fault) => Self::Wrong(fault),
            AttemptEnd::NotRun => Self::Refused,
            AttemptEnd::Unknown | AttemptEnd::ConnectionLost => Self::Unknown,
            AttemptEnd::ServerError | AttemptEnd::ConnectFailed => Self::Failed,
        }
    }
}

/// Counts of one request kind.
#[derive(Clone, Debug)]
pub(super) struct KindTally {
    pub(super) sent: u64,
    pub(super) attempts: u64,
    pub(super) whole: u64,
    pub(super) late: u64,
    pub(super) refused: u64,
    pub(super) unknown: u64,
    pub(super) failed: u64,
    pub(super) mixed_up: u64,
    pub(super) truncated: u64,
    pub(super) altered: u64,
    pub(super) without_retry_after: u64,
    pub(super) result_codes: BTreeMap<u16, u64>,
    pub(super) latency: Histogram<u64>,
    pub(super) buckets: Buckets,
}

impl KindTally {
    pub(super) fn new() -> Self {
        Self {
            sent: 0,
            attempts: 0,
            whole: 0,
            late: 0,
            refused: 0,
            unknown: 0,
            failed: 0,
            mixed_up: 0,
            truncated: 0,
            altered: 0,
            without_retry_after: 0,
            result_codes: BTreeMap::new(),
            latency: latency_histogram(),
            buckets: Buckets::default(),
        }
    }

    pub(super) fn sent(&mut self, at: Duration) {
        self.sent += 1;
        self.buckets.arrived(at);
    }

    pub(super) fn attempted(&mut self, attempt: &Attempt) {
        self.attempts += 1;
        if let Some(result) = attempt.result {
            *self.result_codes.entry(result).or_default() += 1;
        }
        if lacks_retry_after(attempt) {
            self.without_retry_after += 1;
        }
        self.count_wrong(attempt);
    }

    fn count_wrong(&mut self, attempt: &Attempt) {
        match attempt.end {
            AttemptEnd::Wrong(BodyError::OtherRequest) => self.mixed_up += 1,
            AttemptEnd::Wrong(BodyError::Truncated) => self.truncated += 1,
            AttemptEnd::Wrong(BodyError::Altered) => self.altered += 1,
            _ => {}
        }
    }

    pub(super) fn ended(&mut self, at: Duration, end: RequestEnd, latency: Duration) {
        match end {
            RequestEnd::Whole => {
                self.whole += 1;
                self.buckets.whole(at);
                self.latency
                    .saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
            RequestEnd::Late => self.late += 1,
            RequestEnd::Refused => {
                self.refused += 1;
                self.buckets.refused(at);
            }
            RequestEnd::Unknown => self.unknown += 1,
            // A wrong answer is counted as such by its attempt.
            RequestEnd::Failed | RequestEnd::Wrong(_) => self.failed += 1,
        }
    }
}

/// Refusals by the system must tell the caller when to come back.
const fn lacks_retry_after(attempt: &Attempt) -> bool {
    matches!(attempt.end, AttemptEnd::NotRun)
        && matches!(attempt.status, Some(502..=504))
        && attempt.retry_after.is_none()
}

/// A histogram of latencies in microseconds.
pub(super) fn latency_histogram() -> Histogram<u64> {
    // The bounds are valid, so the fallback is never reached with these constants.
    Histogram::new_with_max(LONGEST_LATENCY_US, SIGNIFICANT_FIGURES)
        .unwrap_or_else(|_| Histogram::new(SIGNIFICANT_FIGURES).expect("valid precision"))
}
