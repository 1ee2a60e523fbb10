//! Rules by which a ledger divides its allowance among child calls.
//!
//! `docs/experiments/retry.md` compares the rules.

use crate::call::RetryAllowance;

/// Units that [`AllowanceSplit::FairShareWithReserve`] reserves for the caller's own retries.
const RESERVE: u16 = 1;
/// Minimum allowance at which a call keeps a reserve. Calls deeper in a chain receive less and
/// pass on all of it, since a reserve at each hop would leave nothing for the deepest ones.
const MIN_ALLOWANCE_WITH_RESERVE: u16 = 3;

/// Rule that determines the grant of one child call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum AllowanceSplit {
    /// The first child that requests a grant gets everything that is left.
    FirstRequester,
    /// Each child gets half of what is left, rounded up.
    Half,
    /// Each child gets an equal part of what is left, rounded up, by the number of children that
    /// the caller expects to run concurrently.
    #[default]
    FairShare,
    /// Like [`AllowanceSplit::FairShare`], with the caller's own retries counted as one more child.
    FairShareWithCaller,
    /// Like [`AllowanceSplit::FairShare`], but a call that received three or more units reserves
    /// one while more than one is left: if a child's response is lost with its whole grant, one
    /// retry remains.
    FairShareWithReserve,
}

impl AllowanceSplit {
    /// All rules.
    pub const ALL: [Self; 5] = [
        Self::FirstRequester,
        Self::Half,
        Self::FairShare,
        Self::FairShareWithCaller,
        Self::FairShareWithReserve,
    ];

    /// Returns the part of `remaining` that the next child gets, at most `remaining`.
    ///
    /// `initial` is the allowance of the call itself. `concurrent_children` is the number of
    /// children, the next one included, that have not yet received a grant and run concurrently
    /// with it; zero counts as one.
    #[must_use]
    pub fn share(
        self,
        initial: RetryAllowance,
        remaining: RetryAllowance,
        concurrent_children: usize,
    ) -> RetryAllowance {
        let left = remaining.count();
        let children = u16::try_from(concurrent_children.max(1)).unwrap_or(u16::MAX);
        let keeps_reserve = initial.count() >= MIN_ALLOWANCE_WITH_RESERVE && left > RESERVE;
        let share = match self {
            Self::FirstRequester => left,
            Self::Half => left.div_ceil(2),
            Self::FairShareWithCaller => left.div_ceil(children.saturating_add(1)),
            Self::FairShareWithReserve if keeps_reserve => (left - RESERVE).div_ceil(children),
            Self::FairShare | Self::FairShareWithReserve => left.div_ceil(children),
        };
        RetryAllowance::new(share)
    }
}
