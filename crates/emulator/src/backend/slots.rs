//! Slots and the back end's own queue in order of arrival, as a naive server has it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A fixed number of slots and a bounded queue before them.
#[derive(Debug)]
pub(super) struct Slots {
    semaphore: Arc<Semaphore>,
    slots: usize,
    queued: Arc<AtomicUsize>,
    queue_limit: usize,
}

/// A taken slot; free again when dropped.
#[derive(Debug)]
pub(super) struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// The queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueFull;

/// Counts one waiting request for as long as it lives.
struct Waiting(Arc<AtomicUsize>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// `slots` executions at a time and at most `queue_limit` requests that wait.
    #[must_use]
    pub(super) fn new(slots: usize, queue_limit: usize) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(slots)),
            slots,
            queued: Arc::new(AtomicUsize::new(0)),
            queue_limit,
        }
    }

    /// Takes a slot, waiting in order of arrival. Dropping the future leaves the queue.
    ///
    /// # Errors
    /// [`QueueFull`] when no slot is free and the queue is at its limit.
    pub(super) async fn take(&self) -> Result<Slot, QueueFull> {
        if let Ok(permit) = Arc::clone(&self.semaphore).try_acquire_owned() {
            return Ok(Slot { _permit: permit });
        }
        let already_waiting = self.queued.fetch_add(1, Ordering::Relaxed);
        let _waiting = Waiting(Arc::clone(&self.queued));
        if already_waiting >= self.queue_limit {
            return Err(QueueFull);
        }
        let permit = Arc::clone(&self.semaphore).acquire_owned().await;
        permit
            .map(|permit| Slot { _permit: permit })
            .map_err(|_| QueueFull)
    }

    /// Executions under way.
    #[must_use]
    pub(super) fn in_flight(&self) -> usize {
        self.slots - self.semaphore.available_permits()
    }

    /// Requests that wait.
    #[must_use]
    pub(super) fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }
}
