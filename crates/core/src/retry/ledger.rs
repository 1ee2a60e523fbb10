//! Retry allowance of one call, conserved over the call tree.
//!
//! The edge opens a ledger with the allowance of the originating request. Each retry spends one
//! unit. A child call receives a grant from its parent's ledger, opens its own ledger with it and
//! returns the unspent units in its response. The grant of a lost response counts as spent. Units
//! are never created, so the retries of the whole tree never exceed the initial allowance, for any
//! depth and fan-out and under loss, duplication or reordering of responses.

use crate::call::RetryAllowance;

use super::split::AllowanceSplit;

/// Part of a ledger's allowance, assigned to one attempt of one child call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    number: u32,
    allowance: RetryAllowance,
}

impl Grant {
    /// Returns the retries that the child call and all calls below it may spend.
    #[must_use]
    pub const fn allowance(self) -> RetryAllowance {
        self.allowance
    }
}

/// Result of settling a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The grant is closed. This many of its units were unused and are available again.
    Settled(RetryAllowance),
    /// The grant was already settled, or the ledger is closed; nothing changed.
    Ignored,
}

/// Account of the retries that one call may spend.
///
/// `spent + outstanding + remaining + returned` always equals the initial allowance; `returned` is
/// zero until [`Ledger::close`].
#[derive(Clone, Debug)]
pub struct Ledger {
    initial: RetryAllowance,
    remaining: u16,
    spent: u16,
    returned: u16,
    split: AllowanceSplit,
    next_grant: u32,
    outstanding: Vec<Grant>,
    closed: bool,
}

impl Ledger {
    /// Opens a ledger that divides its allowance by the default [`AllowanceSplit`].
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> Self {
        Self::with_split(allowance, AllowanceSplit::default())
    }

    /// Opens a ledger that divides its allowance by `split`.
    #[must_use]
    pub fn with_split(allowance: RetryAllowance, split: AllowanceSplit) -> Self {
        Self {
            initial: allowance,
            remaining: allowance.count(),
            spent: 0,
            returned: 0,
            split,
            next_grant: 0,
            outstanding: Vec::new(),
            closed: false,
        }
    }

    /// Takes a part of the allowance for one attempt of a child call.
    ///
    /// `concurrent_children` is the number of children, this one included, that have not yet
    /// received a grant and run concurrently with it. Each attempt needs its own grant: a grant
    /// must never be sent twice.
    pub fn grant(&mut self, concurrent_children: usize) -> Grant {
        let remaining = RetryAllowance::new(self.remaining);
        let share = self
            .split
            .share(self.initial, remaining, concurrent_children);
        let allowance = share.min(remaining);
        self.remaining -= allowance.count();
        let grant = Grant {
            number: self.next_grant,
            allowance,
        };
        self.next_grant = self.next_grant.wrapping_add(1);
        if !self.closed {
            self.outstanding.push(grant);
        }
        grant
    }

    /// Closes a grant with the units that the child returns; the rest of the grant counts as spent.
    ///
    /// If a child returns more than it received, the excess is ignored. A grant that was already
    /// settled is ignored, so a delayed or duplicated response has no effect.
    pub fn settle(&mut self, grant: Grant, returned: RetryAllowance) -> Settlement {
        if !self.take_outstanding(grant) {
            return Settlement::Ignored;
        }
        let unspent = returned.count().min(grant.allowance.count());
        self.remaining += unspent;
        self.spent += grant.allowance.count() - unspent;
        Settlement::Settled(RetryAllowance::new(unspent))
    }

    /// Closes a grant whose response is lost: all of it counts as spent.
    pub fn settle_lost(&mut self, grant: Grant) -> Settlement {
        self.settle(grant, RetryAllowance::NONE)
    }

    /// Spends one unit for a retry by this hop; returns false if nothing is left.
    #[must_use]
    pub fn try_spend_retry(&mut self) -> bool {
        if self.remaining == 0 {
            return false;
        }
        self.remaining -= 1;
        self.spent += 1;
        true
    }

    /// Closes the ledger and returns the units to pass back to the parent with the response.
    ///
    /// Grants that are still outstanding count as spent. A closed ledger grants and spends nothing,
    /// so returned units can't be used twice. Closing again returns zero.
    pub fn close(&mut self) -> RetryAllowance {
        self.closed = true;
        for grant in std::mem::take(&mut self.outstanding) {
            self.spent += grant.allowance.count();
        }
        let unspent = std::mem::take(&mut self.remaining);
        self.returned += unspent;
        RetryAllowance::new(unspent)
    }

    /// Returns the units that may be granted or spent now.
    #[must_use]
    pub const fn remaining(&self) -> RetryAllowance {
        RetryAllowance::new(self.remaining)
    }

    /// Returns the units spent by this hop, by children and by lost responses.
    #[must_use]
    pub const fn spent(&self) -> RetryAllowance {
        RetryAllowance::new(self.spent)
    }

    /// Returns the units granted to child calls whose response is pending.
    #[must_use]
    pub fn outstanding(&self) -> RetryAllowance {
        let sum = self
            .outstanding
            .iter()
            .map(|grant| grant.allowance.count())
            .sum();
        RetryAllowance::new(sum)
    }

    /// Returns the units that [`Ledger::close`] returned to the parent.
    #[must_use]
    pub const fn returned(&self) -> RetryAllowance {
        RetryAllowance::new(self.returned)
    }

    /// Returns the allowance that the ledger was opened with.
    #[must_use]
    pub const fn initial(&self) -> RetryAllowance {
        self.initial
    }

    fn take_outstanding(&mut self, grant: Grant) -> bool {
        let Some(position) = self.outstanding.iter().position(|open| *open == grant) else {
            return false;
        };
        self.outstanding.swap_remove(position);
        true
    }
}
