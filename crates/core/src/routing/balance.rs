//! Power of two choices: picks the cheaper of two random endpoints.

use rand::{Rng, RngExt};

/// Random draws before falling back to a search of all members.
const RANDOM_DRAWS: u32 = 4;

/// Index of an endpoint in the router's table, with its cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Candidate {
    pub(super) index: usize,
    pub(super) cost: f64,
}

/// Endpoints from which a balancer picks.
pub(super) trait Pool {
    /// Returns true if the endpoint can take the call.
    fn is_usable(&self, index: usize) -> bool;
    /// Returns the share of its full load that the endpoint should get, above 0.0 and up to 1.0.
    fn weight(&self, index: usize) -> f64;
    /// Returns the expected cost of one more call.
    fn cost(&self, index: usize) -> f64;
}

/// Picks the cheaper of two random usable endpoints out of `members`.
pub(super) fn pick_of_two(
    pool: &impl Pool,
    members: &[u32],
    rng: &mut impl Rng,
) -> Option<Candidate> {
    let first = draw(pool, members, None, rng).or_else(|| search(pool, members, rng))?;
    let Some(second) = draw(pool, members, Some(first), rng) else {
        return Some(candidate(pool, first));
    };
    let first = candidate(pool, first);
    let second = candidate(pool, second);
    Some(if second.cost < first.cost {
        second
    } else {
        first
    })
}

fn candidate(pool: &impl Pool, index: usize) -> Candidate {
    Candidate {
        index,
        cost: pool.cost(index),
    }
}

/// Draws one usable endpoint other than `other`; cold endpoints in proportion to their weight.
fn draw(
    pool: &impl Pool,
    members: &[u32],
    other: Option<usize>,
    rng: &mut impl Rng,
) -> Option<usize> {
    if members.is_empty() {
        return None;
    }
    for _ in 0..RANDOM_DRAWS {
        let index = members[rng.random_range(0..members.len())] as usize;
        let allowed = Some(index) != other && pool.is_usable(index);
        if allowed && accepts(pool.weight(index), rng) {
            return Some(index);
        }
    }
    None
}

/// Searches all members from a random start, which finds a usable endpoint if there is one.
fn search(pool: &impl Pool, members: &[u32], rng: &mut impl Rng) -> Option<usize> {
    if members.is_empty() {
        return None;
    }
    let start = rng.random_range(0..members.len());
    let (before, after) = members.split_at(start);
    let from_start = after.iter().chain(before);
    from_start
        .map(|member| *member as usize)
        .find(|index| pool.is_usable(*index))
}

/// Decides at random whether a drawn endpoint is considered.
///
/// A cold endpoint has little load and wins most comparisons, which doubles its share. At low
/// weights half of the weight is therefore enough.
fn accepts(weight: f64, rng: &mut impl Rng) -> bool {
    let probability = weight * (1.0 + weight) / 2.0;
    weight >= 1.0 || rng.random::<f64>() < probability
}
