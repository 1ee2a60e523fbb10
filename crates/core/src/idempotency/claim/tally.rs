//! What the votes of a group say about who won a key.

use std::collections::BTreeMap;

use crate::idempotency::claim::group::majority;
use crate::idempotency::claim::message::ClaimId;

/// What one member of a group is known to have done about a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It voted for this claim.
    Voted(ClaimId),
    /// It has not voted.
    Open,
    /// Not known: no answer, or the member abstains.
    Silent,
}

/// Count of what is known about the members of one group for one key.
#[derive(Clone, Debug)]
pub struct Tally {
    votes: BTreeMap<ClaimId, usize>,
    silent: usize,
    majority: usize,
}

impl Tally {
    /// Counts one observation per member.
    #[must_use]
    pub fn new(observations: impl IntoIterator<Item = Observation>) -> Self {
        let mut votes = BTreeMap::new();
        let mut silent = 0;
        let mut members = 0;
        for observation in observations {
            members += 1;
            match observation {
                Observation::Voted(claim) => *votes.entry(claim).or_insert(0) += 1,
                Observation::Open => {}
                Observation::Silent => silent += 1,
            }
        }
        Self {
            votes,
            silent,
            majority: majority(members),
        }
    }

    /// Number of votes seen for a claim.
    #[must_use]
    pub fn votes(&self, claim: ClaimId) -> usize {
        self.votes.get(&claim).copied().unwrap_or(0)
    }

    /// Whether a majority voted for the claim.
    #[must_use]
    pub fn has_won(&self, claim: ClaimId) -> bool {
        self.votes(claim) >= self.majority
    }

    /// Whether a majority may have voted for the claim when the observations were made.
    #[must_use]
    pub fn may_have_won(&self, claim: ClaimId) -> bool {
        self.votes(claim) + self.silent >= self.majority
    }

    /// Whether a claim that no observation names may have won.
    #[must_use]
    pub fn may_hide_winner(&self) -> bool {
        self.silent >= self.majority
    }

    /// The claims that were seen and may have won.
    pub fn possible_winners(&self) -> impl Iterator<Item = ClaimId> + '_ {
        self.votes
            .keys()
            .copied()
            .filter(|claim| self.may_have_won(*claim))
    }

    /// Every claim that was seen, with its number of votes.
    pub fn seen(&self) -> impl Iterator<Item = (ClaimId, usize)> + '_ {
        self.votes.iter().map(|(claim, count)| (*claim, *count))
    }
}
