//! Whether a job is still wanted.
//!
//! Whoever learns that a job's client has disconnected, or answers the job, marks it here at once. Whoever is about to
//! send something for the job checks here last, so that no queue in between delays a cancellation.

use std::sync::atomic::{AtomicBool, Ordering::SeqCst};

/// A flag that is set once, when nothing is to be sent for a job any more.
#[derive(Debug, Default)]
pub struct CancellationToken(AtomicBool);

impl CancellationToken {
    /// Marks the job as no longer wanted.
    pub fn cancel(&self) {
        self.0.store(true, SeqCst);
    }

    /// Whether the job is no longer wanted.
    pub fn is_cancelled(&self) -> bool {
        self.0.load(SeqCst)
    }
}

/// Whether a job's client still waits: the last check before the job's first byte is sent to an engine.
pub trait ClientLiveness: Send + Sync {
    /// Whether the client still waits for the job's answer.
    fn is_waiting(&self) -> bool;
}

impl ClientLiveness for CancellationToken {
    fn is_waiting(&self) -> bool {
        !self.is_cancelled()
    }
}
