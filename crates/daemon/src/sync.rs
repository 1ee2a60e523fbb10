//! Short critical sections round the decision logic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a panic of another holder: no section of this crate leaves its state
/// half changed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
