//! How a ledger divides its allowance among the calls that ask for a part of it.
//!
//! `docs/experiments/retry.md` compares the rules.

use crate::call::RetryAllowance;

/// Units that [`AllowanceSplit::FairShareWithReserve`] keeps for the caller's own retries.
const RESERVE: u16 = 1;
/// Smallest allowance of a call that keeps a reserve. Calls deeper in a chain get less and pass on
/// all of it, since a reserve at each hop would leave nothing for the deepest ones.
const SMALLEST_WITH_RESERVE: u16 = 3;

/// Rule by which a ledger sizes the grant for one child call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum AllowanceSplit {
    /// The child that asks first gets everything that is left.
    FirstAsker,
    /// Each child gets half of what is left, rounded up.
    Half,
    /// Each child gets an equal part of what is left, rounded up, by the number of children that
    /// the caller expects to run at the same time.
    #[default]
    FairShare,
    /// As [`AllowanceSplit::FairShare`], with the caller's own retries counted as one child more.
    FairShareWithCaller,
    /// As [`AllowanceSplit::FairShare`], but a call that got three units or more keeps one back as
    /// long as there is another: when a child's answer is lost with its whole grant, one retry is
    /// left.
    FairShareWithReserve,
}

impl AllowanceSplit {
    /// Every rule.
    pub const ALL: [Self; 5] = [
        Self::FirstAsker,
        Self::Half,
        Self::FairShare,
        Self::FairShareWithCaller,
        Self::FairShareWithReserve,
    ];

    /// The part of `remaining` that the next child gets; never more than `remaining`.
    ///
    /// `initial` is what the call itself got. `concurrent_children` counts the children that have
    /// still to ask while this one runs, this one included; zero is taken as one.
    #[must_use]
    pub fn share(
        self,
        initial: RetryAllowance,
        remaining: RetryAllowance,
        concurrent_children: usize,
    ) -> RetryAllowance {
        let left = remaining.count();
        let children = u16::try_from(concurrent_children.max(1)).unwrap_or(u16::MAX);
        let keeps_reserve = initial.count() >= SMALLEST_WITH_RESERVE && left > RESERVE;
        let share = match self {
            Self::FirstAsker => left,
            Self::Half => left.div_ceil(2),
            Self::FairShareWithCaller => left.div_ceil(children.saturating_add(1)),
            Self::FairShareWithReserve if keeps_reserve => (left - RESERVE).div_ceil(children),
            Self::FairShare | Self::FairShareWithReserve => left.div_ceil(children),
        };
        RetryAllowance::new(share)
    }
}
