//! Counts of a running load.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use super::attempt::{Attempt, AttemptOutcome};
use super::recovery::Buckets;
use crate::response_body::BodyError;

const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_FIGURES: u8 = 3;

/// Outcome of an originating request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// Complete response in time.
    Complete,
    /// Complete response after the deadline, body truncated at the deadline, or given up by the caller.
    Late,
    /// Refused without being executed.
    Refused,
    /// Unknown whether it was executed.
    Unknown,
    /// Error response, or no connection.
    Failed,
    /// Response with status 200 that is not the complete response to the request.
    InvalidBody(BodyError),
}

impl RequestOutcome {
    /// Returns the outcome that results from the last attempt.
    pub(super) const fn of(last: &Attempt, in_time: bool) -> Self {
        match last.outcome {
            AttemptOutcome::Complete if in_time => Self::Complete,
            AttemptOutcome::Complete
            | AttemptOutcome::TimedOut
            | AttemptOutcome::TruncatedAtDeadline => Self::Late,
            AttemptOutcome::InvalidBody(fault) => Self::InvalidBody(fault),
            AttemptOutcome::NotRun => Self::Refused,
            AttemptOutcome::Unknown | AttemptOutcome::ConnectionLost => Self::Unknown,
            AttemptOutcome::ServerError | AttemptOutcome::ConnectFailed => Self::Failed,
        }
    }
}

/// Counts of one request kind.
#[derive(Clone, Debug)]
pub(super) struct KindTally {
    pub(super) sent: u64,
    pub(super) attempts: u64,
    pub(super) complete: u64,
    pub(super) late: u64,
    pub(super) refused: u64,
    pub(super) unknown: u64,
    pub(super) failed: u64,
    pub(super) misdelivered: u64,
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
            complete: 0,
            late: 0,
            refused: 0,
            unknown: 0,
            failed: 0,
            misdelivered: 0,
            truncated: 0,
            altered: 0,
            without_retry_after: 0,
            result_codes: BTreeMap::new(),
            latency: latency_histogram(),
            buckets: Buckets::default(),
        }
    }

    pub(super) fn record_sent(&mut self, at: Duration) {
        self.sent += 1;
        self.buckets.record_arrival(at);
    }

    pub(super) fn record_attempt(&mut self, attempt: &Attempt) {
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
        match attempt.outcome {
            AttemptOutcome::InvalidBody(BodyError::OtherRequest) => self.misdelivered += 1,
            AttemptOutcome::InvalidBody(BodyError::Truncated) => self.truncated += 1,
            AttemptOutcome::InvalidBody(BodyError::Altered) => self.altered += 1,
            _ => {}
        }
    }

    pub(super) fn record_outcome(
        &mut self,
        at: Duration,
        outcome: RequestOutcome,
        latency: Duration,
    ) {
        match outcome {
            RequestOutcome::Complete => {
                self.complete += 1;
                self.buckets.record_complete(at);
                self.latency
                    .saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
            RequestOutcome::Late => self.late += 1,
            RequestOutcome::Refused => {
                self.refused += 1;
                self.buckets.record_refusal(at);
            }
            RequestOutcome::Unknown => self.unknown += 1,
            // Invalid bodies are counted in detail per attempt.
            RequestOutcome::Failed | RequestOutcome::InvalidBody(_) => self.failed += 1,
        }
    }
}

/// Returns true for a refusal by the system without Retry-After, which it must carry.
const fn lacks_retry_after(attempt: &Attempt) -> bool {
    matches!(attempt.outcome, AttemptOutcome::NotRun)
        && matches!(attempt.status, Some(502..=504))
        && attempt.retry_after.is_none()
}

/// Returns an empty histogram of latencies in microseconds.
pub(super) fn latency_histogram() -> Histogram<u64> {
    // The bounds are valid, so the fallback is never reached with these constants.
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_FIGURES)
        .unwrap_or_else(|_| Histogram::new(SIGNIFICANT_FIGURES).expect("valid precision"))
}
