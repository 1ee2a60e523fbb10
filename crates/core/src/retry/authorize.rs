//! Retry decision combined with the payment for the retry.

use super::budget::DestinationBudget;
use super::decide::{GiveUpReason, RetryDecision, RetryInput, decide};
use super::ledger::Ledger;

/// Decides on a retry and pays for it in the same step.
///
/// The current state of the ledger and the budget replaces the values in `input`, so two
/// attempts of one call that fail concurrently can't both spend the last unit. Nothing is paid if
/// the decision is to give up.
pub fn authorize(
    input: &RetryInput,
    ledger: &mut Ledger,
    budget: &mut DestinationBudget,
) -> RetryDecision {
    let input = RetryInput {
        allowance: ledger.remaining(),
        budget_available: budget.available(input.now),
        ..*input
    };
    let decision = decide(&input);
    if let RetryDecision::GiveUp(_) = decision {
        return decision;
    }
    if input.needs_budget() && !budget.try_withdraw(input.now) {
        return RetryDecision::GiveUp(GiveUpReason::BudgetSpent);
    }
    if !ledger.try_spend_retry() {
        return RetryDecision::GiveUp(GiveUpReason::AllowanceSpent);
    }
    decision
}
