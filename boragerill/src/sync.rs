//! Locks that outlive a panic of another thread.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// Locks a mutex, also after a thread panicked while it held it: every state behind a lock of this
/// project is valid between any two statements that change it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
