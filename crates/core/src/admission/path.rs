//! What a caller or an edge has heard about the admission levels further down.

use std::collections::HashMap;
use std::time::Duration;

use crate::admission::estimate::unit_hash;
use crate::priority::{AdmissionKey, AdmissionLevel};
use crate::time::Timestamp;

/// Time for which a level that was heard stays in force as it is.
const FRESH_FOR: Duration = Duration::from_millis(100);
/// Time after which a level that is not heard again has reopened fully.
const REOPENED_AFTER: Duration = Duration::from_millis(1_100);
/// Shortest Retry-After of an early refusal.
const MINIMUM_RETRY_AFTER: Duration = Duration::from_millis(200);

/// An early refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When the caller should come back, spread by jitter.
    pub retry_after: Duration,
}

/// Folded levels heard from callees, per service and request kind. A level that isn't heard again
/// reopens with time, so that an idle path is tried again.
#[derive(Clone, Debug, Default)]
pub struct PathLevels {
    heard: HashMap<String, HashMap<String, Heard>>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    level: AdmissionLevel,
    at: Timestamp,
}

impl Heard {
    /// The level at `now`: as heard while fresh, then rising in proportion to time.
    fn level(&self, now: Timestamp) -> AdmissionLevel {
        let age = now.saturating_since(self.at);
        if age <= FRESH_FOR {
            return self.level;
        }
        let reopening =
            (age - FRESH_FOR).as_secs_f64() / (REOPENED_AFTER - FRESH_FOR).as_secs_f64();
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

    /// Takes in the folded level that an answer of `service` carried for a request kind.
    pub fn observe(
        &mut self,
        now: Timestamp,
        service: &str,
        request_kind: &str,
        folded: AdmissionLevel,
    ) {
        let heard = Heard {
            level: folded,
            at: now,
        };
        if let Some(kinds) = self.heard.get_mut(service) {
            if let Some(entry) = kinds.get_mut(request_kind) {
                *entry = heard;
                return;
            }
            kinds.insert(request_kind.to_owned(), heard);
            return;
        }
        let kinds = HashMap::from([(request_kind.to_owned(), heard)]);
        self.heard.insert(service.to_owned(), kinds);
    }

    /// The level in force for a request kind towards `service`.
    #[must_use]
    pub fn level(&self, now: Timestamp, service: &str, request_kind: &str) -> AdmissionLevel {
        self.heard
            .get(service)
            .and_then(|kinds| kinds.get(request_kind))
            .map_or(AdmissionLevel::OPEN, |heard| heard.level(now))
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
        let spread = REOPENED_AFTER.mul_f64(jitter);
        Err(Refusal {
            retry_after: MINIMUM_RETRY_AFTER + spread,
        })
    }
}
