//! What a caller or an edge has heard about the admission levels further down.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::estimate::unit_hash;
use crate::priority::{AdmissionKey, AdmissionLevel};
use crate::time::Timestamp;

/// Shortest Retry-After of an early refusal.
const MINIMUM_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What a back end's answer says about the path below it, apart from the back end itself.
///
/// `own` is its admission level and `folded` the strictest on the path, its own included. `None` when
/// its own level is the strictest: it hides how far open the path below is.
#[must_use]
pub fn level_below(own: AdmissionLevel, folded: AdmissionLevel) -> Option<AdmissionLevel> {
    (folded < own || own == AdmissionLevel::OPEN).then_some(folded)
}

/// An early refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When the caller should come back, spread by jitter.
    pub retry_after: Duration,
}

/// How long reported levels count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PathTiming {
    /// Time for which a level that was reported stays in force as it is.
    pub fresh_for: Duration,
    /// Time after which a level that is not reported again has reopened fully.
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

/// Folded levels heard from callees, per service and request kind. A level that isn't heard again
/// reopens with time, so that an idle path is tried again.
#[derive(Clone, Debug, Default)]
pub struct PathLevels {
    timing: PathTiming,
    heard: HashMap<String, HashMap<String, HeardLevels>>,
}

/// What the back ends of one service said about one request kind.
#[derive(Clone, Debug, Default)]
struct HeardLevels {
    by_endpoint: HashMap<String, Heard>,
    latest: Option<Heard>,
}

impl HeardLevels {
    fn observe(&mut self, timing: PathTiming, endpoint: &str, heard: Heard) {
        self.latest = Some(heard);
        *entry(&mut self.by_endpoint, endpoint) = heard;
        self.by_endpoint
            .retain(|_, other| heard.at.saturating_since(other.at) <= timing.reopened_after);
    }

    /// The middle one of the fresh levels; without any, the latest one, as far as it has reopened.
    fn level(&self, timing: PathTiming, now: Timestamp) -> AdmissionLevel {
        let fresh = self
            .by_endpoint
            .values()
            .filter(|heard| now.saturating_since(heard.at) <= timing.fresh_for);
        let mut fresh: Vec<AdmissionLevel> = fresh.map(|heard| heard.level).collect();
        fresh.sort_unstable();
        let middle = fresh.get(fresh.len() / 2).copied();
        let latest = || self.latest.map(|heard| heard.level(timing, now));
        middle.or_else(latest).unwrap_or(AdmissionLevel::OPEN)
    }
}

/// The value under a name.
fn entry<'map, T: Default>(map: &'map mut HashMap<String, T>, name: &str) -> &'map mut T {
    map.entry(name.to_owned()).or_default()
}

#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    level: AdmissionLevel,
    at: Timestamp,
}

impl Heard {
    /// The level at `now`: as heard while fresh, then rising in proportion to time.
    fn level(&self, timing: PathTiming, now: Timestamp) -> AdmissionLevel {
        let age = now.saturating_since(self.at);
        if age <= timing.fresh_for {
            return self.level;
        }
        let whole = timing.reopened_after.saturating_sub(timing.fresh_for);
        let reopening = (age - timing.fresh_for).as_secs_f64() / whole.as_secs_f64();
        let closed = f64::from(AdmissionLevel::OPEN.number() - self.level.number());
        let opened = closed * reopening.min(1.0);
        AdmissionLevel::new(self.level.number() + opened as u16)
    }
}

impl PathLevels {
    /// Nothing heard: every path is open.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// As [`Self::new`], with other times for which reported levels count.
    #[must_use]
    pub fn with_timing(timing: PathTiming) -> Self {
        Self {
            timing,
            ..Self::default()
        }
    }

    /// Takes in the folded level that an answer of `service` carried for a request kind, without
    /// regard to which of its back ends gave it.
    pub fn observe(
        &mut self,
        now: Timestamp,
        service: &str,
        request_kind: &str,
        folded: AdmissionLevel,
    ) {
        self.observe_from(now, service, "", request_kind, folded);
    }

    /// Takes in the folded level that an answer of one back end of `service` carried. Since a call
    /// that one back end refuses is offered to another, the most open one decides.
    pub fn observe_from(
        &mut self,
        now: Timestamp,
        service: &str,
        endpoint: &str,
        request_kind: &str,
        folded: AdmissionLevel,
    ) {
        let heard = Heard {
            level: folded,
            at: now,
        };
        let timing = self.timing;
        let kinds = entry(&mut self.heard, service);
        let endpoints = entry(kinds, request_kind);
        endpoints.observe(timing, endpoint, heard);
    }

    /// The level in force for a request kind towards `service`.
    #[must_use]
    pub fn level(&self, now: Timestamp, service: &str, request_kind: &str) -> AdmissionLevel {
        self.heard
            .get(service)
            .and_then(|kinds| kinds.get(request_kind))
            .map_or(AdmissionLevel::OPEN, |endpoints| {
                endpoints.level(self.timing, now)
            })
    }

    /// Whether a call with this key would pass.
    ///
    /// # Errors
    /// [`Refusal`] when the level towards `service` refuses the key.
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
            retry_after: MINIMUM_RETRY_AFTER + spread,
        })
    }
}
