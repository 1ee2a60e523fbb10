//! Zone preference: the local zone first, other zones only if they are clearly less loaded.

use rand::Rng;

use super::balance::{Candidate, Pool, pick_of_two};
use super::settings::RouterSettings;

/// Indexes, in the router's table, of the live endpoints that may be picked, by zone.
#[derive(Clone, Debug, Default)]
pub(super) struct CandidateIndexes {
    /// Endpoints in the local zone.
    pub(super) local: Vec<u32>,
    /// Endpoints in other zones.
    pub(super) remote: Vec<u32>,
}

/// Picks from the local zone, unless its cost reaches the spill threshold and another zone is
/// cheaper by at least the spill margin.
pub(super) fn pick(
    pool: &impl Pool,
    candidates: &CandidateIndexes,
    settings: &RouterSettings,
    rng: &mut impl Rng,
) -> Option<Candidate> {
    let Some(near) = pick_of_two(pool, &candidates.local, rng) else {
        return pick_of_two(pool, &candidates.remote, rng);
    };
    if near.cost < settings.spill_threshold {
        return Some(near);
    }
    let far = pick_of_two(pool, &candidates.remote, rng);
    far.filter(|far| far.cost + settings.spill_margin < near.cost)
        .or(Some(near))
}
