//! Mutex access that ignores poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, even if an earlier holder panicked: one failed request must not stop all others. The data
/// behind this process's mutexes is valid after each single change.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
