//! Importance of requests and of the calls made on their behalf.
//!
//! Calls of begun work are one priority more important than requests of callers, so that what was begun is
//! finished first. A share of the requests has that importance from the start: without it, a service that is short
//! for a long time would finish begun work only, and serve none of the requests that callers send to it directly.
//! Which ones belong to the share follows from the origin, so that every hop decides alike.

use wharfquay_core::call::{CallContext, OriginId};
use wharfquay_core::priority::{Priority, Rank};

/// Depth at the back end of a request that a caller sent.
const DEPTH_OF_CALLERS: u8 = 1;
/// Share of the ranks whose requests have the importance of begun work from the start.
const FAVOURED_SHARE: f64 = 0.35;

/// Whether a request has the importance of begun work from the start.
#[must_use]
pub fn is_favoured(origin: OriginId) -> bool {
    f64::from(Rank::of(origin).number()) < FAVOURED_SHARE * f64::from(Rank::COUNT)
}

/// Importance of a request that a caller sent, from that of its route.
#[must_use]
pub fn of_request(route: Priority, origin: OriginId) -> Priority {
    if is_favoured(origin) {
        route.raised()
    } else {
        route
    }
}

/// Importance of the calls made on behalf of a call.
#[must_use]
pub fn of_inner_calls(parent: &CallContext) -> Priority {
    if parent.depth <= DEPTH_OF_CALLERS && !is_favoured(parent.origin) {
        parent.priority.raised()
    } else {
        parent.priority
    }
}

/// Whether a call has the importance of begun work.
#[must_use]
pub fn is_begun(context: &CallContext) -> bool {
    context.depth > DEPTH_OF_CALLERS || is_favoured(context.origin)
}
