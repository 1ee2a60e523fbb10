//! Counts what is in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts one call or request until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    pub(crate) fn begin(counter: &Arc<AtomicUsize>) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(counter))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
