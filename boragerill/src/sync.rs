//! Locking that ignores poisoning.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// Locks a mutex even if it is poisoned.
///
/// Ignoring the poison is safe because all state behind this project's locks is valid after each statement
/// that changes it, so a panic can't leave it inconsistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
