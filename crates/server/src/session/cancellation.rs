//! Cancellation of jobs.
//!
//! A job's token is cancelled as soon as its client disconnects, the client cancels the job, or the job is answered.
//! Threads check the token directly before they send anything for the job, so that a cancellation takes effect without
//! passing through a queue.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

/// A flag that is set once. After that, nothing is sent for the job.
#[derive(Debug, Default)]
pub struct CancellationToken(AtomicBool);

impl CancellationToken {
    /// Cancels the job.
    pub fn cancel(&self) {
        self.0.store(true, SeqCst);
    }

    /// Whether the job is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(SeqCst)
    }
}

/// Reports whether a job's client is still waiting. This is the last check before the job's first byte is sent to an
/// engine.
pub trait ClientLiveness: Send + Sync {
    /// Whether the client is still waiting for the job's answer.
    fn is_waiting(&self) -> bool;
}

impl ClientLiveness for CancellationToken {
    fn is_waiting(&self) -> bool {
        !self.is_cancelled()
    }
}
