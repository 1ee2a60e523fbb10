//! Own zone first; other zones only by measured headroom.

use rand::Rng;

use super::balance::{Candidate, Pool, pick_of_two};
use super::settings::RouterSettings;

/// Members of the router's table, by distance.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    /// Endpoints of the own zone.
    pub(super) local: Vec<u32>,
    /// Endpoints of other zones.
    pub(super) remote: Vec<u32>,
}

/// Picks from the own zone, unless that is under pressure and another zone is clearly better off.
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
