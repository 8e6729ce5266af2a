//! What the program owes a client: its open requests, their answers, and whether it still waits for them.

pub mod cancellation;
pub mod client_job_ids;
pub mod client_session;
pub mod responder;
mod write_buffer;

use std::sync::{Mutex, MutexGuard, PoisonError};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic ends the process, so a poisoned lock is never observed.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
