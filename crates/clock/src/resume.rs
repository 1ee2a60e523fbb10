//! Learning that the machine was suspended.

use std::sync::LazyLock;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use wharfquay_core::time::Timestamp;

use crate::Clock;

/// How often a process looks whether it was suspended: what waits for a deadline notices a suspension later by so much.
pub const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Difference of the clocks that counts as a suspension; smaller ones come from reading them one after the other.
const LEAST_SUSPENSION: Duration = Duration::from_millis(50);

/// Number of suspensions that this process noticed.
static RESUMES: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::channel(0).0);

pub(crate) fn subscribe() -> watch::Receiver<u64> {
    RESUMES.subscribe()
}

pub(crate) async fn next(resumes: &mut watch::Receiver<u64>) {
    // The sender lives as long as the process.
    let _ = resumes.changed().await;
}

/// Wakes what waits for deadlines when the machine was suspended, and tells `observe` for how long; never ends.
pub async fn watch_suspensions(clock: Clock, observe: impl Fn(Duration)) {
    let mut last = (Instant::now(), clock.now());
    loop {
        tokio::time::sleep(SUSPENSION_CHECK_INTERVAL).await;
        let current = (Instant::now(), clock.now());
        let suspended = difference(last, current);
        last = current;
        if suspended >= LEAST_SUSPENSION {
            RESUMES.send_modify(|count| *count += 1);
            observe(suspended);
        }
    }
}

/// Time that passed for the machine and not for its steady clock.
fn difference(last: (Instant, Timestamp), current: (Instant, Timestamp)) -> Duration {
    let steady = current.0.saturating_duration_since(last.0);
    current.1.saturating_since(last.1).saturating_sub(steady)
}
