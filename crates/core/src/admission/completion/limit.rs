//! Limit at the edge on the share of a request kind that is started.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::meter::FULL_SHARE;
use crate::admission::estimate::{MeanDuration, unit_hash};
use crate::admission::path::Refusal;
use crate::priority::{AdmissionKey, AdmissionLevel, Priority, Rank};
use crate::time::Timestamp;

/// Completed share that the limit aims at. It is below 1 because capacity is fully used only while
/// a few requests fail.
const TARGET: f64 = 0.8;
/// Completed share from which no failure is due to overload. The own errors of backends are below
/// one per cent.
const CLEAN: f64 = 0.95;
/// Minimum admitted share, which detects a recovery.
const MIN_SHARE: f64 = 0.1;
/// Bounds on the factor of the decreases within one feedback delay.
const DECREASE: (f64, f64) = (0.4, 0.95);
/// Growth rates per second: between [`TARGET`] and [`CLEAN`] at most; below the share that failed
/// last; just above it; and after that share has completed for a feedback delay. Faster growth
/// overshoots.
const GROWTH_NEAR_TARGET: f64 = 0.4;
const GROWTH_BELOW_CEILING: f64 = 5.0;
const GROWTH_AT_CEILING: f64 = 2.0;
const GROWTH_BEYOND_CEILING: f64 = 6.0;
/// Part of the share that failed last up to which the limit returns quickly.
const CEILING_MARGIN: f64 = 0.95;
/// Minimum and maximum time that the effect of a decrease takes to show, and the time of it that
/// the reports of sidecars add to the duration of a request.
const FEEDBACK_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(600));
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Interval between two adjustments.
const INTERVAL: Duration = Duration::from_millis(20);
/// Age from which reports and results are ignored. Older failures delay the recovery.
const MAX_AGE: Duration = Duration::from_millis(300);
/// Maximum number of own results that count.
const MAX_RESULTS: usize = 16;
/// Number of results that the report of one sidecar counts as, and that all reports count as at
/// most.
const REPORT_WEIGHT: f64 = 4.0;
const MAX_REPORT_WEIGHT: f64 = 16.0;
/// Number of results required to limit a kind, and to adjust its limit: one response, since a limited
/// kind provides few.
const MIN_EVIDENCE: f64 = 10.0;
const MIN_EVIDENCE_WHEN_LIMITED: f64 = 5.0;
/// Time without results or reports after which the limit rises, and its growth rate per second then.
/// The minimum share is open again 1.1 s after the last result.
const QUIET_TIME: Duration = Duration::from_millis(250);
const GROWTH_WHEN_QUIET: f64 = 3.0;
/// Time after which a kind without a limit is forgotten.
const RETENTION: Duration = Duration::from_secs(2);
/// Maximum number of kinds of one service, and of reporting sidecars of one kind.
const MAX_KINDS: usize = 1_024;
const MAX_REPORTS: usize = 256;
/// Minimum time between two announcements of a change for the same kind.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Time constant of the offered requests by priority.
const OFFERED_TIME: f64 = 1.0;
/// Retry-After of a refusal: a random time between these. The limit has adjusted by then.
const RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_millis(1_500));
/// Weight of one request in the moving average of durations.
const DURATION_WEIGHT: f64 = 0.1;

/// What a response shows about a request that this edge started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestResult<'call> {
    /// Sidecar that responded.
    pub endpoint: &'call str,
    /// Time at which the request was sent.
    pub started: Timestamp,
    /// Completed share of the kind that the sidecar reports, in permille; `None` if it reports
    /// none.
    pub reported: Option<u16>,
    /// Whether the request completed; `None` if it was refused before any execution.
    pub completed: Option<bool>,
}

/// Admitted share of a kind.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedKind {
    /// Called service.
    pub service: String,
    /// Request kind.
    pub kind: String,
    /// Admitted share, 0.0 to 1.0.
    pub share: f64,
}

/// Limits the started requests by service and request kind. Without reports of failed executions it
/// has no state and admits everything.
#[derive(Clone, Debug, Default)]
pub struct CompletionLimit {
    services: HashMap<String, HashMap<String, KindLimit>>,
    changes: Vec<LimitedKind>,
}

impl CompletionLimit {
    /// Creates a limit that admits everything.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides on a request and returns the level that it passed.
    ///
    /// # Errors
    /// [`Refusal`] if the limit on its kind leaves no room.
    pub fn admit(
        &mut self,
        now: Timestamp,
        service: &str,
        kind: &str,
        key: AdmissionKey,
    ) -> Result<AdmissionLevel, Refusal> {
        let Some(limit) = self.find(service, kind) else {
            return Ok(AdmissionLevel::OPEN);
        };
        limit.advance(now);
        limit.count_offered(now, key.priority());
        let level = self.level(service, kind);
        self.announce_change(now, service, kind);
        if level.admits(key) {
            return Ok(level);
        }
        let (least, most) = RETRY_AFTER;
        let jitter = unit_hash(now.as_micros() ^ (u64::from(key.number()) << 40));
        Err(Refusal {
            retry_after: least + (most - least).mul_f64(jitter),
        })
    }

    /// Records the result of a request and the report that came with it.
    pub fn observe(&mut self, now: Timestamp, service: &str, kind: &str, result: &RequestResult) {
        if self.find(service, kind).is_none() {
            if result.reported.is_none_or(|share| share >= FULL_SHARE) {
                return;
            }
            let kinds = self.services.entry(service.to_owned()).or_default();
            kinds.retain(|_, limit| !limit.is_idle(now));
            if kinds.len() >= MAX_KINDS {
                return;
            }
            kinds.insert(kind.to_owned(), KindLimit::new(now));
        }
        if let Some(limit) = self.find(service, kind) {
            limit.observe(now, result);
            limit.advance(now);
            self.announce_change(now, service, kind);
        }
    }

    /// Returns the kinds that became limited, or that are no longer limited (with a share of 1),
    /// since the last call.
    pub fn take_changes(&mut self) -> Vec<LimitedKind> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the kinds that are limited.
    pub fn limited(&self) -> impl Iterator<Item = LimitedKind> + '_ {
        self.services.iter().flat_map(|(service, kinds)| {
            let limited = kinds.iter().filter(|(_, limit)| limit.share < 1.0);
            limited.map(|(kind, limit)| LimitedKind {
                service: service.clone(),
                kind: kind.clone(),
                share: admitted_share(kinds, limit),
            })
        })
    }

    /// Returns the admitted share of a kind.
    #[must_use]
    pub fn share(&self, service: &str, kind: &str) -> f64 {
        let kinds = self.services.get(service);
        let limit = kinds.and_then(|kinds| Some(admitted_share(kinds, kinds.get(kind)?)));
        limit.unwrap_or(1.0)
    }

    /// Returns the level below which requests of a kind are admitted.
    fn level(&self, service: &str, kind: &str) -> AdmissionLevel {
        let kinds = self.services.get(service);
        let level = kinds.and_then(|kinds| {
            let limit = kinds.get(kind)?;
            Some(limit.level(admitted_share(kinds, limit)))
        });
        level.unwrap_or(AdmissionLevel::OPEN)
    }

    fn announce_change(&mut self, now: Timestamp, service: &str, kind: &str) {
        let Some(limit) = self.find(service, kind) else {
            return;
        };
        if limit.announce_change(now) {
            let change = LimitedKind {
                service: service.to_owned(),
                kind: kind.to_owned(),
                share: limit.share,
            };
            self.changes.push(change);
        }
    }

    fn find(&mut self, service: &str, kind: &str) -> Option<&mut KindLimit> {
        self.services.get_mut(service)?.get_mut(kind)
    }
}

/// Returns the admitted share of one of the kinds of a service. Among the limited kinds, a less
/// important one is admitted with no larger share than a more important one.
fn admitted_share(kinds: &HashMap<String, KindLimit>, limit: &KindLimit) -> f64 {
    if limit.share >= 1.0 {
        return 1.0;
    }
    let more_important = kinds
        .values()
        .filter(|other| other.priority < limit.priority);
    more_important.fold(limit.share, |share, other| share.min(other.share))
}

/// Report of one sidecar.
#[derive(Clone, Copy, Debug)]
struct Report {
    at: Timestamp,
    share: u16,
}

/// Result of a request that this edge started.
#[derive(Clone, Copy, Debug)]
struct OwnResult {
    at: Timestamp,
    started: Timestamp,
    completed: bool,
}

/// A decrease, as long as what is recorded shows the share in force before it.
#[derive(Clone, Copy, Debug)]
struct Decrease {
    since: Timestamp,
    from_share: f64,
}

/// State of one kind.
#[derive(Clone, Debug)]
struct KindLimit {
    share: f64,
    /// Estimate of the share at which requests began to fail.
    ceiling: f64,
    /// Time since which nearly all requests complete at or above the ceiling.
    clean_since: Option<Timestamp>,
    advanced: Timestamp,
    decrease: Option<Decrease>,
    last_result: Timestamp,
    duration: MeanDuration,
    results: VecDeque<OwnResult>,
    reports: HashMap<String, Report>,
    /// Priority of the most important request of the kind.
    priority: Priority,
    /// Recent requests by priority, weighted by age.
    offered: [f64; Priority::COUNT],
    offered_at: Timestamp,
    /// Whether the last announced change was that the kind is limited, and its time.
    is_announced: bool,
    announced_at: Option<Timestamp>,
}

impl KindLimit {
    fn new(now: Timestamp) -> Self {
        Self {
            share: 1.0,
            ceiling: 1.0,
            clean_since: None,
            advanced: now,
            decrease: None,
            last_result: now,
            duration: MeanDuration::default(),
            results: VecDeque::new(),
            reports: HashMap::new(),
            priority: Priority::LOWEST,
            offered: [0.0; Priority::COUNT],
            offered_at: now,
            is_announced: false,
            announced_at: None,
        }
    }

    fn is_idle(&self, now: Timestamp) -> bool {
        self.share >= 1.0 && now.saturating_since(self.last_result) > RETENTION
    }

    /// Returns true if a change between limited and unlimited has to be announced.
    fn announce_change(&mut self, now: Timestamp) -> bool {
        let is_limited = self.share < 1.0;
        let is_due = self
            .announced_at
            .is_none_or(|at| now.saturating_since(at) >= ANNOUNCEMENT_INTERVAL);
        if is_limited == self.is_announced || !is_due {
            return false;
        }
        self.is_announced = is_limited;
        self.announced_at = Some(now);
        true
    }

    fn count_offered(&mut self, now: Timestamp, priority: Priority) {
        let age = now.saturating_since(self.offered_at).as_secs_f64();
        let weight = (-age / OFFERED_TIME).exp();
        self.offered_at = now;
        for count in &mut self.offered {
            *count *= weight;
        }
        self.offered[priority.index()] += 1.0;
        self.priority = self.priority.min(priority);
    }

    /// Returns the level below which the admitted share of the offered requests lies. A kind may
    /// have requests of several priorities, since the importance of tenants differs.
    fn level(&self, share: f64) -> AdmissionLevel {
        if share >= 1.0 {
            return AdmissionLevel::OPEN;
        }
        let width = f64::from(Rank::COUNT);
        let mut remaining = share * self.offered.iter().sum::<f64>();
        for (priority, &offered) in self.offered.iter().enumerate() {
            if offered > remaining {
                return AdmissionLevel::new(
                    ((priority as f64 + remaining / offered) * width) as u16,
                );
            }
            remaining -= offered;
        }
        AdmissionLevel::OPEN
    }

    /// Returns the time after which the effect of a decrease shows in results and reports.
    fn feedback_delay(&self) -> Duration {
        let (least, most) = FEEDBACK_BOUNDS;
        let duration = self.duration.get().unwrap_or_default();
        (duration + REPORT_DELAY).clamp(least, most)
    }

    fn observe(&mut self, now: Timestamp, result: &RequestResult) {
        self.last_result = now;
        let report = Report {
            at: now,
            // A sidecar whose executions all complete reports nothing.
            share: result.reported.unwrap_or(FULL_SHARE).min(FULL_SHARE),
        };
        if self.reports.len() >= MAX_REPORTS {
            self.reports.clear();
        }
        match self.reports.get_mut(result.endpoint) {
            Some(earlier) => *earlier = report,
            None => {
                self.reports.insert(result.endpoint.to_owned(), report);
            }
        }
        let Some(completed) = result.completed else {
            return;
        };
        let took = now.saturating_since(result.started);
        self.duration.observe(took, DURATION_WEIGHT);
        if self.results.len() >= MAX_RESULTS {
            self.results.pop_front();
        }
        // A failure that the sidecar does not report too is not due to a failed call.
        let failed_call = !completed && result.reported.is_some();
        self.results.push_back(OwnResult {
            at: now,
            started: result.started,
            completed: !failed_call,
        });
    }

    /// Returns the recent completed share; `None` if there is too little evidence.
    fn completed(&mut self, now: Timestamp) -> Option<f64> {
        self.reports
            .retain(|_, report| now.saturating_since(report.at) <= MAX_AGE);
        while let Some(oldest) = self.results.front()
            && now.saturating_since(oldest.at) > MAX_AGE
        {
            self.results.pop_front();
        }
        let mut reports: Vec<u16> = self.reports.values().map(|report| report.share).collect();
        reports.sort_unstable();
        let middle = reports.get(reports.len() / 2).copied().unwrap_or(0);
        let reported = (reports.len() as f64 * REPORT_WEIGHT).min(MAX_REPORT_WEIGHT);
        let own = self.results.len() as f64;
        let completed = self.results.iter().filter(|result| result.completed);
        let evidence = reported + own;
        let required = if self.share < 1.0 {
            MIN_EVIDENCE_WHEN_LIMITED
        } else {
            MIN_EVIDENCE
        };
        if evidence < required {
            return None;
        }
        let of_reports = f64::from(middle) / f64::from(FULL_SHARE) * reported;
        Some((of_reports + completed.count() as f64) / evidence)
    }

    /// Adjusts the share if an interval has passed.
    fn advance(&mut self, now: Timestamp) {
        let passed = now.saturating_since(self.advanced);
        if passed < INTERVAL {
            return;
        }
        self.advanced = now;
        let passed = passed.as_secs_f64();
        if now.saturating_since(self.last_result) > QUIET_TIME {
            self.rise(GROWTH_WHEN_QUIET * passed);
            return;
        }
        self.end_decrease(now);
        match self.completed(now) {
            Some(completed) if completed < TARGET => self.lower(now, completed),
            Some(_) if self.decrease.is_some() => {}
            Some(completed) if completed < CLEAN => {
                self.clean_since = None;
                let excess = (completed - TARGET) / (CLEAN - TARGET);
                self.rise(GROWTH_NEAR_TARGET * excess * passed);
            }
            Some(_) => {
                let rate = self.growth_rate(now);
                self.rise(rate * passed);
            }
            None => {}
        }
    }

    /// Returns the growth rate while nearly all requests complete.
    fn growth_rate(&mut self, now: Timestamp) -> f64 {
        if self.share < self.ceiling * CEILING_MARGIN {
            self.clean_since = None;
            return GROWTH_BELOW_CEILING;
        }
        let since = *self.clean_since.get_or_insert(now);
        if now.saturating_since(since) < self.feedback_delay() {
            GROWTH_AT_CEILING
        } else {
            GROWTH_BEYOND_CEILING
        }
    }

    fn rise(&mut self, exponent: f64) {
        self.share = (self.share * exponent.exp()).min(1.0);
        if self.share >= 1.0 {
            self.ceiling = 1.0;
            self.clean_since = None;
        }
    }

    /// Discards, once the feedback delay of a decrease has passed, what shows the share before it.
    fn end_decrease(&mut self, now: Timestamp) {
        let Some(decrease) = self.decrease else {
            return;
        };
        if now.saturating_since(decrease.since) >= self.feedback_delay() {
            self.decrease = None;
            self.results
                .retain(|result| result.started >= decrease.since);
            self.reports.clear();
        }
    }

    /// Lowers the share so that the target share of the started requests completes if as many
    /// complete as before.
    fn lower(&mut self, now: Timestamp, completed: f64) {
        let from_share = self.share;
        let decrease = *self.decrease.get_or_insert(Decrease {
            since: now,
            from_share,
        });
        let (least, most) = DECREASE;
        let factor = (completed / TARGET).clamp(least, most);
        let share = (decrease.from_share * factor).max(MIN_SHARE);
        if share < self.share {
            self.share = share;
            self.ceiling = decrease.from_share * factor.sqrt();
        }
        self.clean_since = None;
    }
}
