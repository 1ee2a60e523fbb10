//! Evaluation of the votes of a group: which claim has won or may have won a key.

use std::collections::BTreeMap;

use crate::idempotency::claim::group::majority;
use crate::idempotency::claim::message::ClaimId;

/// Known vote of one group member on a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// It voted for this claim.
    Voted(ClaimId),
    /// It has not voted.
    Open,
    /// Unknown: no reply, or the member abstains.
    Unknown,
}

/// Votes of the members of one group on one key.
#[derive(Clone, Debug)]
pub struct Tally {
    votes: BTreeMap<ClaimId, usize>,
    unknown: usize,
    majority: usize,
}

impl Tally {
    /// Counts one observation per member.
    #[must_use]
    pub fn new(observations: impl IntoIterator<Item = Observation>) -> Self {
        let mut votes = BTreeMap::new();
        let mut unknown = 0;
        let mut members = 0;
        for observation in observations {
            members += 1;
            match observation {
                Observation::Voted(claim) => *votes.entry(claim).or_insert(0) += 1,
                Observation::Open => {}
                Observation::Unknown => unknown += 1,
            }
        }
        Self {
            votes,
            unknown,
            majority: majority(members),
        }
    }

    /// Returns the number of votes seen for a claim.
    #[must_use]
    pub fn votes(&self, claim: ClaimId) -> usize {
        self.votes.get(&claim).copied().unwrap_or(0)
    }

    /// Returns true if a majority voted for the claim.
    #[must_use]
    pub fn has_won(&self, claim: ClaimId) -> bool {
        self.votes(claim) >= self.majority
    }

    /// Returns true if a majority may have voted for the claim when the observations were made.
    #[must_use]
    pub fn may_have_won(&self, claim: ClaimId) -> bool {
        self.votes(claim) + self.unknown >= self.majority
    }

    /// Returns true if a claim that appears in no observation may have won.
    #[must_use]
    pub fn may_have_unseen_winner(&self) -> bool {
        self.unknown >= self.majority
    }

    /// Returns the claims that were seen and may have won.
    pub fn possible_winners(&self) -> impl Iterator<Item = ClaimId> + '_ {
        self.votes
            .keys()
            .copied()
            .filter(|claim| self.may_have_won(*claim))
    }

    /// Returns every claim that was seen, with its number of votes.
    pub fn seen(&self) -> impl Iterator<Item = (ClaimId, usize)> + '_ {
        self.votes.iter().map(|(claim, count)| (*claim, *count))
    }
}
