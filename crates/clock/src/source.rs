//! Where time comes from.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Gives a time that never goes back and counts suspended time.
pub type TimeSource = fn() -> Duration;

/// Time since the machine's boot, the time for which it was suspended included.
///
/// # Panics
/// Never on Linux, where every process may read this clock.
#[must_use]
pub fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("Linux has this clock");
    Duration::from(time)
}
