//! Locking of mutexes, in a program that aborts when a thread panics.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. A panic aborts the process, so a poisoned mutex needs no handling.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
