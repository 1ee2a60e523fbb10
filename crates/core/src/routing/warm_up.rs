//! Share of load that a cold endpoint gets while it warms up.

use std::time::Duration;

use crate::time::Timestamp;

/// Returns the share of its full load that an endpoint should get, from `floor` at its start to
/// 1.0.
pub(super) fn weight(
    now: Timestamp,
    started_at: Option<Timestamp>,
    warm_up: Duration,
    floor: f64,
) -> f64 {
    let Some(started_at) = started_at else {
        return 1.0;
    };
    let age = now.saturating_since(started_at);
    if age >= warm_up {
        return 1.0;
    }
    let progress = age.as_secs_f64() / warm_up.as_secs_f64();
    progress.max(floor).clamp(f64::MIN_POSITIVE, 1.0)
}
