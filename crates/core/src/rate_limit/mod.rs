//! Limit on the arrivals at one backend, from a rate that the backend announces.
//!
//! Arrivals in any window of [`WINDOW`] exceed what the announced rates allow there by one at most.
//! Within a window, a burst of up to one second's worth is admitted, which uses the rate although
//! calls arrive at random times. Part of that burst is reserved for important calls.

mod announced;
mod offered;
mod window;

use std::time::Duration;

use crate::admission::RequestProgress;
use crate::admission::returns::ReturnSchedule;
use crate::priority::{AdmissionKey, Priority, Rank};
use crate::quota::{TokenBucket, TokenRate};
use crate::time::Timestamp;

pub use announced::{AnnouncedLimit, ExchangeTimes, ResponseSource};
use offered::OfferedCalls;
use window::ArrivalWindow;
pub use window::WINDOW;

/// Lowest rate that is applied, in calls per second. A backend that gets no calls can't announce a
/// higher rate.
const MINIMUM_RATE: f64 = 0.1;
/// Number of seconds whose calls may arrive in a burst.
const BURST_SECONDS: f64 = 1.0;
/// Smallest burst, in calls.
const MINIMUM_BURST: f64 = 2.0;
/// Share of the burst beyond the smallest one that is reserved for calls of the highest priority.
const RESERVED_SHARE: f64 = 0.4;
/// Part of the reserve that calls of the second priority may use.
const SECOND_PRIORITY_PART: f64 = 0.5;
/// Share of the ranks of a priority that are admitted like the highest one, if nearly all calls are
/// more important; fewer in proportion to these calls. It lets each priority have more than a
/// quarter of the mean share, however much is wanted of the others.
const FAIR_RANK_SHARE: f64 = 0.45;

/// Admits calls to one backend within the rate that it announces.
#[derive(Clone, Debug)]
pub struct ArrivalLimit {
    per_second: f64,
    bucket: TokenBucket,
    window: ArrivalWindow,
    returns: ReturnSchedule,
    offered: OfferedCalls,
}

impl ArrivalLimit {
    /// Creates a limit for a backend that announces a rate in calls per second. The first call is
    /// admitted once the rate allows one.
    #[must_use]
    pub fn new(now: Timestamp, per_second: f64) -> Self {
        let rate = token_rate(per_second);
        Self::with_bucket(now, TokenBucket::filled_since(now, now, rate))
    }

    /// Creates a limit that admits a small burst immediately.
    #[must_use]
    pub fn with_burst(now: Timestamp, per_second: f64) -> Self {
        Self::with_bucket(now, TokenBucket::full(now, token_rate(per_second)))
    }

    fn with_bucket(now: Timestamp, bucket: TokenBucket) -> Self {
        let per_second = bucket.rate().per_second;
        Self {
            per_second,
            bucket,
            window: ArrivalWindow::new(now, per_second),
            returns: ReturnSchedule::default(),
            offered: OfferedCalls::default(),
        }
    }

    /// Applies the first announced rate, in calls per second, to a limit that was created without one.
    /// An earlier process may have used the rate up to now, so nothing is saved up yet.
    fn start_rate(&mut self, now: Timestamp, per_second: f64) {
        let rate = token_rate(per_second);
        self.per_second = rate.per_second;
        self.bucket = TokenBucket::filled_since(now, now, rate);
        self.window.set_rate(now, rate.per_second);
    }

    /// Applies another rate, in calls per second.
    pub fn set_rate(&mut self, now: Timestamp, per_second: f64) {
        let rate = token_rate(per_second);
        if rate.per_second.total_cmp(&self.per_second).is_ne() {
            self.per_second = rate.per_second;
            self.bucket.set_rate(now, rate);
            self.window.set_rate(now, rate.per_second);
        }
    }

    /// Returns the time until a call is admitted if no other arrives before; zero if it is admitted
    /// now.
    pub fn wait(
        &mut self,
        now: Timestamp,
        key: AdmissionKey,
        progress: RequestProgress,
    ) -> Duration {
        let needed = 1.0 + self.reserve(key, progress);
        let for_token = self.bucket.until(now, needed);
        round_up(for_token.max(self.window.until_room(now, needed)))
    }

    /// Admits and counts a call that is about to be sent. Returns false if the limit leaves no room
    /// for it; the caller then reports the refusal with [`Self::refuse`].
    pub fn admit(&mut self, now: Timestamp, key: AdmissionKey, progress: RequestProgress) -> bool {
        let fits = self.wait(now, key, progress).is_zero();
        if fits {
            self.offered.record(now, key.priority());
            self.bucket.take(now, 1);
            self.window.record_arrival(now);
        }
        fits
    }

    /// Counts a refused call and returns its Retry-After. Refused calls return spread over the time
    /// in which the rate allows as many; `position` from 0.0 to 1.0 is the call's position in that
    /// time.
    pub fn refuse(&mut self, now: Timestamp, key: AdmissionKey, position: f64) -> Duration {
        self.offered.record(now, key.priority());
        self.returns.add(now, self.per_second, position)
    }

    /// Returns how much of the burst a call must leave to more important ones.
    fn reserve(&self, key: AdmissionKey, progress: RequestProgress) -> f64 {
        let fair_share = FAIR_RANK_SHARE * self.offered.share_above(key.priority());
        let fair_ranks = f64::from(Rank::COUNT) * fair_share;
        let is_fair_rank = f64::from(key.rank().number()) < fair_ranks;
        let part = match key.priority() {
            _ if is_fair_rank || progress == RequestProgress::InProgress => 0.0,
            Priority::HIGHEST => 0.0,
            priority if priority.raised() == Priority::HIGHEST => SECOND_PRIORITY_PART,
            _ => 1.0,
        };
        (self.bucket.rate().capacity - MINIMUM_BURST) * RESERVED_SHARE * part
    }
}

/// Rounds up to the resolution of [`Timestamp`].
fn round_up(wait: Duration) -> Duration {
    let micros = wait.as_nanos().div_ceil(1_000);
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}

fn token_rate(per_second: f64) -> TokenRate {
    let per_second = per_second.max(MINIMUM_RATE);
    TokenRate {
        per_second,
        capacity: (per_second * BURST_SECONDS).max(MINIMUM_BURST),
    }
}
