//! Execution slots and the backend's FIFO queue, as a server without admission control has them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A fixed number of execution slots and a bounded FIFO queue in front of them.
#[derive(Debug)]
pub(super) struct Slots {
    semaphore: Arc<Semaphore>,
    slots: usize,
    queued: Arc<AtomicUsize>,
    queue_limit: usize,
}

/// An occupied slot; dropping it frees the slot.
#[derive(Debug)]
pub(super) struct Slot {
    _permit: OwnedSemaphorePermit,
}

/// An error that means that no slot is free and the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct QueueFull;

/// Counts one queued request until it is dropped.
struct QueuedCount(Arc<AtomicUsize>);

impl Drop for QueuedCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Slots {
    /// Creates `slots` free slots and an empty queue for at most `queue_limit` requests.
    #[must_use]
    pub(super) fn new(slots: usize, queue_limit: usize) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(slots)),
            slots,
            queued: Arc::new(AtomicUsize::new(0)),
            queue_limit,
        }
    }

    /// Acquires a slot, waiting in order of arrival. Dropping the future leaves the queue.
    ///
    /// # Errors
    /// [`QueueFull`] if no slot is free and the queue is at its limit.
    pub(super) async fn acquire(&self) -> Result<Slot, QueueFull> {
        if let Ok(permit) = Arc::clone(&self.semaphore).try_acquire_owned() {
            return Ok(Slot { _permit: permit });
        }
        let already_queued = self.queued.fetch_add(1, Ordering::Relaxed);
        let _queued_count = QueuedCount(Arc::clone(&self.queued));
        if already_queued >= self.queue_limit {
            return Err(QueueFull);
        }
        let permit = Arc::clone(&self.semaphore).acquire_owned().await;
        permit
            .map(|permit| Slot { _permit: permit })
            .map_err(|_| QueueFull)
    }

    /// Returns the number of occupied slots.
    #[must_use]
    pub(super) fn in_flight(&self) -> usize {
        self.slots - self.semaphore.available_permits()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub(super) fn queued(&self) -> usize {
        self.queued.load(Ordering::Relaxed)
    }
}
