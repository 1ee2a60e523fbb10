//! Detection of machine suspensions.

use std::sync::LazyLock;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use wharfquay_core::time::Timestamp;

use crate::Clock;

/// Interval at which the process checks for a suspension. Tasks that wait for a deadline learn of a
/// suspension up to this much later.
pub const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum difference between the two clocks that counts as a suspension. Smaller differences arise
/// because the clocks are read one after the other.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Number of suspensions that this process has detected.
static SUSPENSION_COUNT: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::channel(0).0);

pub(crate) fn subscribe_suspensions() -> watch::Receiver<u64> {
    SUSPENSION_COUNT.subscribe()
}

pub(crate) async fn next_suspension(suspensions: &mut watch::Receiver<u64>) {
    // The sender is never dropped, so `changed` can't fail.
    let _ = suspensions.changed().await;
}

/// Detects suspensions of the machine by comparing `clock` with the steady clock. Wakes the tasks
/// that wait for deadlines and passes the duration of each suspension to `observe`. Never returns.
pub async fn watch_suspensions(clock: Clock, observe: impl Fn(Duration)) {
    let mut last = (Instant::now(), clock.now());
    loop {
        tokio::time::sleep(SUSPENSION_CHECK_INTERVAL).await;
        let current = (Instant::now(), clock.now());
        let suspended = suspended_time(last, current);
        last = current;
        if suspended >= MIN_SUSPENSION {
            SUSPENSION_COUNT.send_modify(|count| *count += 1);
            observe(suspended);
        }
    }
}

/// Returns the time that elapsed on `clock` but not on the steady clock, i.e. the time suspended.
fn suspended_time(last: (Instant, Timestamp), current: (Instant, Timestamp)) -> Duration {
    let steady = current.0.saturating_duration_since(last.0);
    current.1.saturating_since(last.1).saturating_sub(steady)
}
