//! How a ledger divides its allowance among the calls that ask for a part of it.

use crate::call::RetryAllowance;

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
}

impl AllowanceSplit {
    /// The part of `remaining` that the next child gets; never more than `remaining`.
    ///
    /// `concurrent_children` counts the children that have still to ask while this one runs, this
    /// one included; zero is taken as one.
    #[must_use]
    pub fn share(self, remaining: RetryAllowance, concurrent_children: usize) -> RetryAllowance {
        let left = remaining.count();
        let share = match self {
            Self::FirstAsker => left,
            Self::Half => left.div_ceil(2),
            Self::FairShare => {
                let children = u16::try_from(concurrent_children.max(1)).unwrap_or(u16::MAX);
                left.div_ceil(children)
            }
        };
        RetryAllowance::new(share)
    }
}
