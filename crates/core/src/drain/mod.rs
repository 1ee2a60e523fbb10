//! Endpoints that are leaving, merged from all sources, and the progress of a drain.

mod leaving;
mod progress;

pub use leaving::{LeavingSet, LeavingSource};
pub use progress::{DrainProgress, DrainState};
