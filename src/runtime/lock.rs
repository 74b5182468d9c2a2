//! Locks that outlive a panic of a holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Takes a lock, also where an earlier holder panicked: one failed request must not stop all others. What the locks of
/// this process guard is valid after each single change.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
