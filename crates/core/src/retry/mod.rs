//! Retries: the allowance per call tree, the budget per destination, backoff and the decision
//! itself.

mod authorize;
mod backoff;
mod budget;
mod decide;
mod ledger;
mod split;
mod window;

pub use authorize::authorize;
pub use backoff::Backoff;
pub use budget::{BudgetSettings, DestinationBudget};
pub use decide::{FailureLocation, GiveUpReason, RetryDecision, RetryInput, decide};
pub use ledger::{Grant, Ledger, Settlement};
pub use split::AllowanceSplit;
pub use window::RepeatWindow;
