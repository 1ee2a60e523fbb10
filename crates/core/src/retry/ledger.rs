//! The conserved retry allowance of one call.
//!
//! The edge opens a ledger with the allowance of the originating request. Each retry burns one
//! unit. A child call takes a grant out of its parent's ledger, opens a ledger of its own with it and
//! hands back in its answer what it did not spend. A lost answer counts as spent. Units are never
//! created, so the retries of the whole tree never exceed the first allowance, whatever the depth,
//! the fan-out, and the loss, repetition or reordering of answers.

use crate::call::RetryAllowance;

use super::split::AllowanceSplit;

/// A part of a ledger's allowance that travels with one attempt of one child call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    number: u32,
    allowance: RetryAllowance,
}

impl Grant {
    /// Retries that the child call and everything below it may spend.
    #[must_use]
    pub const fn allowance(self) -> RetryAllowance {
        self.allowance
    }
}

/// What became of an attempt to settle a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The grant is closed and this much of it is available again.
    Settled(RetryAllowance),
    /// The grant was settled or lost before, or the ledger is closed; nothing changed.
    Ignored,
}

/// Account of the retries that one call may spend.
///
/// `spent + outstanding + remaining + returned` equals the initial allowance at any time; `returned`
/// is zero until [`Ledger::close`].
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
    /// Opens a ledger that divides by the default [`AllowanceSplit`].
    #[must_use]
    pub fn new(allowance: RetryAllowance) -> Self {
        Self::with_split(allowance, AllowanceSplit::default())
    }

    /// Opens a ledger with a chosen rule of division.
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

    /// Takes the part of the allowance for one attempt of a child call.
    ///
    /// `concurrent_children` counts the children that have still to ask while this one runs, this
    /// one included. Each attempt needs a grant of its own: a grant must never be sent twice.
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

    /// Closes a grant with what the child hands back; the rest of the grant counts as spent.
    ///
    /// A child that claims to hand back more than it got is believed up to its grant. A grant that
    /// was settled or lost before is ignored, so a late or repeated answer does no harm.
    pub fn settle(&mut self, grant: Grant, returned: RetryAllowance) -> Settlement {
        if !self.take_outstanding(grant) {
            return Settlement::Ignored;
        }
        let back = returned.count().min(grant.allowance.count());
        self.remaining += back;
        self.spent += grant.allowance.count() - back;
        Settlement::Settled(RetryAllowance::new(back))
    }

    /// Closes a grant whose answer is lost: all of it counts as spent.
    pub fn lose(&mut self, grant: Grant) -> Settlement {
        self.settle(grant, RetryAllowance::NONE)
    }

    /// Burns one unit for a retry by this hop; false when nothing is left.
    #[must_use]
    pub fn try_spend_retry(&mut self) -> bool {
        if self.remaining == 0 {
            return false;
        }
        self.remaining -= 1;
        self.spent += 1;
        true
    }

    /// Ends the call and gives what goes back to the parent with the answer.
    ///
    /// Grants that are still outstanding count as spent. A closed ledger grants and spends nothing,
    /// so that units handed back can't be used a second time. Closing again gives nothing.
    pub fn close(&mut self) -> RetryAllowance {
        self.closed = true;
        for grant in std::mem::take(&mut self.outstanding) {
            self.spent += grant.allowance.count();
        }
        let back = std::mem::take(&mut self.remaining);
        self.returned += back;
        RetryAllowance::new(back)
    }

    /// What may be granted or spent now.
    #[must_use]
    pub const fn remaining(&self) -> RetryAllowance {
        RetryAllowance::new(self.remaining)
    }

    /// What this hop burned, children spent or lost answers cost.
    #[must_use]
    pub const fn spent(&self) -> RetryAllowance {
        RetryAllowance::new(self.spent)
    }

    /// What travels with child calls whose answer is awaited.
    #[must_use]
    pub fn outstanding(&self) -> RetryAllowance {
        let sum = self
            .outstanding
            .iter()
            .map(|grant| grant.allowance.count())
            .sum();
        RetryAllowance::new(sum)
    }

    /// What [`Ledger::close`] handed back to the parent.
    #[must_use]
    pub const fn returned(&self) -> RetryAllowance {
        RetryAllowance::new(self.returned)
    }

    /// The allowance that the ledger was opened with.
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
