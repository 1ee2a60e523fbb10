//! State that a router keeps for one endpoint.

use std::time::Duration;

use crate::priority::{AdmissionKey, AdmissionLevel};
use crate::time::Timestamp;

use super::endpoint::{Endpoint, UNKNOWN_INCARNATION};
use super::endpoint_stats::EndpointStats;
use super::hold::{Hold, HoldReason};
use super::observation::{Observation, ReportedLoad};
use super::pick::PickBasis;
use super::received_level::ReceivedLevel;
use super::reference::Reference;
use super::settings::RouterSettings;
use super::warm_up;

/// Maximum time for which a report that a rate limit leaves no room is used. A limit may be raised
/// or lifted at any time.
const MAX_RATE_LIMITED: Duration = Duration::from_millis(250);

/// Time for which an endpoint whose rate limit left no room is the second choice for calls that another
/// one refused because of its rate limit.
const RATE_LIMIT_MEMORY: Duration = Duration::from_secs(5);

/// Weight of one report in the moving average of expected execution times. Twenty reports cover
/// several changes of the slowdown.
const EXECUTION_WEIGHT: f64 = 0.05;

/// Age at which a reported execution time has lost most of its influence to the endpoint's average.
/// Older reports say little about the present slowdown.
const EXECUTION_MEMORY: Duration = Duration::from_millis(300);

/// Age at which a reported utilisation has lost most of its influence to the siblings' median:
/// about two executions, in which most of the reported calls have ended.
const UTILISATION_MEMORY: Duration = Duration::from_millis(100);

/// Exponent of the expected execution time in the cost. The calls that a slow endpoint accumulates
/// are part of its utilisation already; with an exponent of 1, callers with old reports send too
/// many calls to the fast endpoints, which then refuse.
const EXECUTION_EXPONENT: f64 = 0.5;

/// Load that an endpoint reported last.
#[derive(Clone, Copy, Debug)]
struct Report {
    load: ReportedLoad,
    at: Timestamp,
    dispatched_since: u32,
}

impl Report {
    /// Returns the share of the reported values that still holds, from 1.0 when received to 0.0.
    fn influence(&self, now: Timestamp, memory: Duration) -> f64 {
        let age = now.saturating_since(self.at).as_secs_f64();
        (-age / memory.as_secs_f64()).exp()
    }
}

/// State of one endpoint: its calls in flight, the time until which it gets no calls (hold), its
/// admission level, last reported load and statistics.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) endpoint: Endpoint,
    pub(super) local: bool,
    pub(super) in_flight: u32,
    pub(super) hold: Option<Hold>,
    rate_limited_until: Timestamp,
    pub(super) ejections: u32,
    level: ReceivedLevel,
    report: Option<Report>,
    /// Moving average of the expected execution times that the endpoint reported, in microseconds.
    mean_execution: Option<f64>,
    stats: EndpointStats,
}

/// Endpoints that a pick may use; each tier includes the earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum PickTier {
    /// Endpoints whose rate limit, if there is one, left room for all recent calls.
    Unlimited,
    /// Endpoints that are neither ejected nor short of room under a rate limit.
    Preferred,
    /// Also endpoints whose rate limit left no room for an earlier call. They decide about each call
    /// themselves.
    RateLimited,
    /// Also ejected endpoints: an unreliable endpoint is better than none.
    Ejected,
}

/// Reason for which an endpoint can't take a call now, with the time until it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnusableReason {
    /// The endpoint refused a call as leaving, is ejected, or has no room under a rate limit.
    Unavailable(Duration),
    /// All connections are in use.
    Connections(Duration),
    /// The admission level refuses the call.
    Level(Duration),
}

impl Entry {
    /// Creates an entry without observations.
    pub(super) fn new(endpoint: Endpoint, local: bool) -> Self {
        Self {
            endpoint,
            local,
            in_flight: 0,
            hold: None,
            rate_limited_until: Timestamp::ZERO,
            ejections: 0,
            level: ReceivedLevel::default(),
            report: None,
            mean_execution: None,
            stats: EndpointStats::default(),
        }
    }

    /// Applies a changed description. A new incarnation starts without observations; the first
    /// known incarnation does not count as new.
    pub(super) fn update(&mut self, endpoint: Endpoint, local: bool) {
        let known = self.endpoint.incarnation;
        if known != UNKNOWN_INCARNATION && endpoint.incarnation != known {
            *self = Self::new(endpoint, local);
            return;
        }
        self.endpoint = endpoint;
        self.local = local;
    }

    /// Records an incarnation that the endpoint reported.
    pub(super) fn record_incarnation(&mut self, now: Timestamp, incarnation: u64) {
        let known = self.endpoint.incarnation;
        if known == UNKNOWN_INCARNATION {
            self.endpoint.incarnation = incarnation;
        } else if incarnation > known {
            let restarted = Endpoint {
                incarnation,
                started_at: Some(now),
                ..self.endpoint.clone()
            };
            self.update(restarted, self.local);
        }
    }

    /// Checks whether the endpoint, which must be live, can take a call with this key.
    pub(super) fn check(
        &self,
        now: Timestamp,
        key: AdmissionKey,
        tier: PickTier,
        settings: &RouterSettings,
    ) -> Result<(), UnusableReason> {
        self.check_hold(now, tier)?;
        if self.in_flight >= self.endpoint.connections {
            return Err(UnusableReason::Connections(settings.connection_hold));
        }
        self.check_rate_limit(now, tier)?;
        let wait = self.level.wait_for(now, settings.level_reopen, key);
        if wait > Duration::ZERO {
            return Err(UnusableReason::Level(wait));
        }
        Ok(())
    }

    fn check_rate_limit(&self, now: Timestamp, tier: PickTier) -> Result<(), UnusableReason> {
        let limited_until = match tier {
            PickTier::Unlimited => self.rate_limited_until + RATE_LIMIT_MEMORY,
            PickTier::Preferred => self.rate_limited_until,
            PickTier::RateLimited | PickTier::Ejected => return Ok(()),
        };
        if self.rate_limited_until > Timestamp::ZERO && now < limited_until {
            let wait = limited_until.saturating_since(now);
            return Err(UnusableReason::Unavailable(wait));
        }
        Ok(())
    }

    fn check_hold(&self, now: Timestamp, tier: PickTier) -> Result<(), UnusableReason> {
        let Some(hold) = self.hold.filter(|hold| hold.is_active(now)) else {
            return Ok(());
        };
        let wait = hold.until.saturating_since(now);
        match hold.reason {
            HoldReason::ConnectionLimit => Err(UnusableReason::Connections(wait)),
            HoldReason::Ejected if tier >= PickTier::Ejected => Ok(()),
            HoldReason::Ejected | HoldReason::Leaving => Err(UnusableReason::Unavailable(wait)),
        }
    }

    /// Returns true if a hold currently keeps calls away from the endpoint.
    pub(super) fn is_held(&self, now: Timestamp) -> bool {
        self.hold.is_some_and(|hold| hold.is_active(now))
    }

    /// Records that a call was sent.
    pub(super) fn dispatched(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
        if let Some(report) = &mut self.report {
            report.dispatched_since = report.dispatched_since.saturating_add(1);
        }
    }

    /// Records that a call completed.
    pub(super) fn attempt_completed(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the observations from an attempt.
    pub(super) fn observe(
        &mut self,
        now: Timestamp,
        observation: &Observation,
        reference: &Reference,
    ) {
        let claimed = self.reported_utilisation();
        self.stats.observe(now, observation, claimed, reference);
        if self.stats.is_reliable() {
            self.ejections = 0;
        }
        if let Some(level) = observation.level {
            self.level.record(now, level);
        }
        if let Some(load) = observation.load {
            self.record_execution(&load);
            self.report = Some(Report {
                load,
                at: now,
                dispatched_since: 0,
            });
        }
    }

    fn record_execution(&mut self, load: &ReportedLoad) {
        self.mean_execution = load.execution.map(|execution| {
            let expected = execution.expected.as_micros() as f64;
            let mean = self.mean_execution.unwrap_or(expected);
            mean + (expected - mean) * EXECUTION_WEIGHT
        });
    }

    /// Records for how long the rate limit of the endpoint leaves no room; zero if it has room.
    pub(super) fn record_rate_limit(&mut self, now: Timestamp, limited_for: Duration) {
        // A report of room ends an earlier report, not the memory of it.
        let until = now + limited_for.min(MAX_RATE_LIMITED);
        let had_report = self.rate_limited_until > Timestamp::ZERO;
        self.rate_limited_until = match limited_for.is_zero() {
            true if had_report => self.rate_limited_until.min(now),
            true => Timestamp::ZERO,
            false => until,
        };
    }

    /// Returns true if enough attempts failed to eject the endpoint.
    pub(super) fn should_eject(&self) -> bool {
        self.stats.should_eject()
    }

    /// Resets the failure count that led to an ejection.
    pub(super) fn reset_failures(&mut self) {
        self.stats.reset_failures();
    }

    /// Sets a hold until `until`; an existing hold that lasts longer stays.
    pub(super) fn hold_until(&mut self, until: Timestamp, reason: HoldReason) {
        if self.hold.is_none_or(|hold| hold.until < until) {
            self.hold = Some(Hold { until, reason });
        }
    }

    /// Returns the admission level that the endpoint is estimated to have at `now`: the one that it
    /// last reported, rising linearly to fully open over `settings.level_reopen`, because an
    /// endpoint without calls can't report.
    pub(super) fn assumed_level(
        &self,
        now: Timestamp,
        settings: &RouterSettings,
    ) -> AdmissionLevel {
        self.level.assumed(now, settings.level_reopen)
    }

    /// Returns the mean latency of the responses, in microseconds.
    pub(super) const fn latency_micros(&self) -> Option<f64> {
        self.stats.latency_micros()
    }

    /// Returns the utilisation that the endpoint reported last.
    pub(super) fn reported_utilisation(&self) -> Option<f64> {
        self.report.map(|report| report.load.utilisation())
    }

    /// Returns the share of its full load that the endpoint should get.
    pub(super) fn weight(&self, now: Timestamp, settings: &RouterSettings) -> f64 {
        warm_up::weight(
            now,
            self.endpoint.started_at,
            settings.warm_up,
            settings.warm_up_floor,
        )
    }

    /// Returns how much the endpoint's reports are discounted: 0.0 not at all, 1.0 entirely.
    pub(super) fn distrust(&self, now: Timestamp, settings: &RouterSettings) -> f64 {
        self.stats.distrust(now, settings.distrust_threshold)
    }

    /// Returns the expected cost of one more call here: 1.0 for an endpoint that would be filled up
    /// to its limit and responds as fast as its siblings.
    pub(super) fn cost(
        &self,
        now: Timestamp,
        settings: &RouterSettings,
        reference: &Reference,
    ) -> f64 {
        let utilisation = self.utilisation(now, settings, reference);
        let Some(slowness) = self.expected_slowness(now, settings, reference) else {
            return utilisation * self.stats.cost_factor(now, reference);
        };
        utilisation * slowness.powf(EXECUTION_EXPONENT) * self.stats.failure_factor(now)
    }

    /// Returns the expected execution time as a multiple of the siblings'; `None` if the endpoint
    /// does not report it or the report has expired.
    fn expected_slowness(
        &self,
        now: Timestamp,
        settings: &RouterSettings,
        reference: &Reference,
    ) -> Option<f64> {
        let report = self.fresh_report(now, settings)?;
        let expected = report.load.execution?.expected.as_micros() as f64;
        let mean = self.mean_execution?;
        let expected = mean + (expected - mean) * report.influence(now, EXECUTION_MEMORY);
        Some(expected / reference.execution_micros()?.max(1.0))
    }

    fn fresh_report(&self, now: Timestamp, settings: &RouterSettings) -> Option<Report> {
        self.report
            .filter(|report| now.saturating_since(report.at) < settings.report_lifetime)
    }

    /// Returns what is known of the endpoint's load.
    pub(super) fn pick_basis(
        &self,
        now: Timestamp,
        settings: &RouterSettings,
        reference: &Reference,
    ) -> PickBasis {
        match self.report {
            None => PickBasis::NoReport,
            Some(_) if self.fresh_report(now, settings).is_none() => PickBasis::Expired,
            Some(report) if self.expected_slowness(now, settings, reference).is_some() => {
                PickBasis::ExpectedExecution(now.saturating_since(report.at))
            }
            Some(_) => PickBasis::Counts,
        }
    }

    /// Returns the moving average of the expected execution times that the endpoint reported, in
    /// microseconds; `None` if it reports none.
    pub(super) const fn mean_execution_micros(&self) -> Option<f64> {
        self.mean_execution
    }

    /// Returns the utilisation with one more call, from the report as far as it is fresh and
    /// trusted.
    fn utilisation(&self, now: Timestamp, settings: &RouterSettings, reference: &Reference) -> f64 {
        let own = f64::from(self.in_flight + 1) / f64::from(self.endpoint.slots.max(1));
        let assumed = reference.utilisation().unwrap_or(0.0) + own;
        let Some(report) = self.fresh_report(now, settings) else {
            // One call at a time is sent to discover the current load of the endpoint.
            return if self.in_flight == 0 { own } else { assumed };
        };
        let limit = f64::from(report.load.limit.max(1));
        let added = f64::from(report.dispatched_since + 1) / limit;
        let mut reported = report.load.utilisation() + added;
        if let (Some(_), Some(siblings)) = (report.load.execution, reference.utilisation()) {
            let influence = report.influence(now, UTILISATION_MEMORY);
            reported = siblings + (report.load.utilisation() - siblings) * influence + added;
        }
        let distrust = self.distrust(now, settings);
        reported + (assumed.max(reported) - reported) * distrust
    }
}
