//! Source of the current time.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Function that returns a monotonic time, including the time during which the machine is
/// suspended.
pub type TimeSource = fn() -> Duration;

/// Returns the time since boot, including the time during which the machine was suspended.
///
/// # Panics
/// Never on Linux, where every process may read this clock.
#[must_use]
pub fn since_boot() -> Duration {
    let time =
        clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME should be readable on Linux");
    Duration::from(time)
}
