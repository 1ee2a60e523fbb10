//! Admission levels of services further down, as received by a caller or an edge.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::estimate::unit_hash;
use crate::priority::{AdmissionKey, AdmissionLevel};
use crate::time::Timestamp;

/// Minimum Retry-After of an early refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Returns the level of the path below a backend, without the backend's own level.
///
/// `own` is the admission level of the backend and `path_level` the strictest on the path, `own`
/// included. Returns `None` if `own` is the strictest: the level below it can then not be derived.
#[must_use]
pub fn level_below(own: AdmissionLevel, path_level: AdmissionLevel) -> Option<AdmissionLevel> {
    (path_level < own || own == AdmissionLevel::OPEN).then_some(path_level)
}

/// An error that reports an early refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Value for the Retry-After header, with jitter.
    pub retry_after: Duration,
}

/// Times for which received levels are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathTiming {
    /// Time for which a received level is used unchanged.
    pub fresh_for: Duration,
    /// Time after which a level that is not received again counts as fully open.
    pub reopened_after: Duration,
}

impl Default for PathTiming {
    fn default() -> Self {
        Self {
            fresh_for: Duration::from_millis(100),
            reopened_after: Duration::from_millis(1_100),
        }
    }
}

/// Strictest admission levels on the paths through called services, as received from the callees,
/// per service and request kind. A level that is not received again reopens with time, so calls are
/// sent to an idle path again.
#[derive(Clone, Debug, Default)]
pub struct PathLevels {
    timing: PathTiming,
    levels: HashMap<String, HashMap<String, LevelSamples>>,
}

/// Levels received from the backends of one service for one request kind.
#[derive(Clone, Debug, Default)]
struct LevelSamples {
    by_endpoint: HashMap<String, LevelSample>,
    latest: Option<LevelSample>,
}

impl LevelSamples {
    fn observe(&mut self, timing: PathTiming, endpoint: &str, sample: LevelSample) {
        self.latest = Some(sample);
        update(&mut self.by_endpoint, endpoint, |known| *known = sample);
        self.by_endpoint
            .retain(|_, other| sample.at.saturating_since(other.at) <= timing.reopened_after);
    }

    /// Returns the median of the fresh levels. Without a fresh level, returns the latest one,
    /// reopened in proportion to its age.
    fn level(&self, timing: PathTiming, now: Timestamp) -> AdmissionLevel {
        let fresh = self
            .by_endpoint
            .values()
            .filter(|sample| now.saturating_since(sample.at) <= timing.fresh_for);
        let fresh = fresh.map(|sample| sample.level);
        let median =
            AdmissionLevel::with_sorted(fresh, |levels| levels.get(levels.len() / 2).copied());
        let latest = || self.latest.map(|sample| sample.level(timing, now));
        median.or_else(latest).unwrap_or(AdmissionLevel::OPEN)
    }
}

/// Changes the value stored under a name, inserting the default if absent. The name is copied only
/// then: levels arrive with every response, and almost always for known names.
fn update<T: Default>(map: &mut HashMap<String, T>, name: &str, change: impl FnOnce(&mut T)) {
    match map.get_mut(name) {
        Some(value) => change(value),
        None => change(map.entry(name.to_owned()).or_default()),
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct LevelSample {
    level: AdmissionLevel,
    at: Timestamp,
}

impl LevelSample {
    /// Returns the level at `now`: unchanged while fresh, then rising linearly with time.
    fn level(&self, timing: PathTiming, now: Timestamp) -> AdmissionLevel {
        let age = now.saturating_since(self.at);
        if age <= timing.fresh_for {
            return self.level;
        }
        let reopening_time = timing.reopened_after.saturating_sub(timing.fresh_for);
        let reopening = (age - timing.fresh_for).as_secs_f64() / reopening_time.as_secs_f64();
        let closed = f64::from(AdmissionLevel::OPEN.number() - self.level.number());
        let opened = closed * reopening.min(1.0);
        AdmissionLevel::new(self.level.number() + opened as u16)
    }
}

impl PathLevels {
    /// Creates an instance without received levels; every path is open.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Like [`Self::new`], with custom times for which received levels are used.
    #[must_use]
    pub fn with_timing(timing: PathTiming) -> Self {
        Self {
            timing,
            ..Self::default()
        }
    }

    /// Records the strictest level on the path through `service` that a response carried for a
    /// request kind, without distinguishing which backend sent it.
    pub fn observe(
        &mut self,
        now: Timestamp,
        service: &str,
        request_kind: &str,
        path_level: AdmissionLevel,
    ) {
        self.observe_from(now, service, "", request_kind, path_level);
    }

    /// Records the strictest level on the path through `service` that a response of one backend
    /// carried for a request kind. Levels are kept per backend, because a call that one backend
    /// refuses is offered to another.
    pub fn observe_from(
        &mut self,
        now: Timestamp,
        service: &str,
        endpoint: &str,
        request_kind: &str,
        path_level: AdmissionLevel,
    ) {
        let sample = LevelSample {
            level: path_level,
            at: now,
        };
        let timing = self.timing;
        update(&mut self.levels, service, |kinds| {
            update(kinds, request_kind, |endpoints| {
                endpoints.observe(timing, endpoint, sample);
            });
        });
    }

    /// Returns the level in force for a request kind towards `service`.
    #[must_use]
    pub fn level(&self, now: Timestamp, service: &str, request_kind: &str) -> AdmissionLevel {
        self.levels
            .get(service)
            .and_then(|kinds| kinds.get(request_kind))
            .map_or(AdmissionLevel::OPEN, |endpoints| {
                endpoints.level(self.timing, now)
            })
    }

    /// Checks whether a call with this key is admitted.
    ///
    /// # Errors
    /// [`Refusal`] if the level towards `service` refuses the key.
    pub fn admits(
        &self,
        now: Timestamp,
        service: &str,
        request_kind: &str,
        key: AdmissionKey,
    ) -> Result<(), Refusal> {
        if self.level(now, service, request_kind).admits(key) {
            return Ok(());
        }
        let jitter = unit_hash(now.as_micros() ^ (u64::from(key.number()) << 40));
        let spread = self.timing.reopened_after.mul_f64(jitter);
        Err(Refusal {
            retry_after: MIN_RETRY_AFTER + spread,
        })
    }
}
