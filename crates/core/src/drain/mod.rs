//! Which endpoints are leaving, merged from every source, and how far a drain has come.

mod leaving;
mod progress;

pub use leaving::{LeavingSet, LeavingSource};
pub use progress::{DrainProgress, DrainState};
