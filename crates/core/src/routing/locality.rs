//! Zone preference: the local zone first, other zones only if they are clearly less loaded.

use rand::Rng;

use super::balance::{Candidate, Pool, pick_of_two};
use super::settings::RouterSettings;

/// Indexes of the live endpoints that the router uses, by zone.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    /// Endpoints in the local zone.
    pub(super) local: Vec<u32>,
    /// Endpoints in other zones.
    pub(super) remote: Vec<u32>,
}

/// Picks from the local zone, unless its cost reaches the spill threshold and another zone is
/// cheaper by at least the spill margin.
pub(super) fn pick(
    pool: &impl Pool,
    members: &Members,
    settings: &RouterSettings,
    rng: &mut impl Rng,
) -> Option<Candidate> {
    let Some(near) = pick_of_two(pool, &members.local, rng) else {
        return pick_of_two(pool, &members.remote, rng);
    };
    if near.cost < settings.spill_threshold {
        return Some(near);
    }
    let far = pick_of_two(pool, &members.remote, rng);
    far.filter(|far| far.cost + settings.spill_margin < near.cost)
        .or(Some(near))
}
