//! The commands that a job receives, and the reports that it sends.

use crate::engine::handle::EngineHandle;
use pebblevane::interface::{DispatchResult, JobId, ProgressUpdate};
use pebblevane::time::Timestamp;
use std::sync::Arc;

/// A command to a job that has a thread.
pub enum JobCommand {
    /// Send the job to an engine.
    Dispatch(DispatchCommand),
    /// End this attempt, and withhold it if it has not been sent yet.
    Cancel {
        /// The number of the attempt within its job, from 0.
        attempt: u32,
    },
    /// End the job: no dispatch is in flight and no answer is due.
    Release,
}

/// One attempt at a job.
pub struct DispatchCommand {
    /// Where to send it.
    pub engine: Arc<EngineHandle>,
    /// The number of the attempt within its job, from 0.
    pub attempt: u32,
    /// When the attempt times out.
    pub deadline: Timestamp,
    /// The attempt is withheld if its first byte was not sent before this time.
    pub begin_by: Timestamp,
    /// The priority that is sent to the engine, if any.
    pub priority: Option<u8>,
}

/// Receives what happens to a job's dispatches.
pub trait JobReporter: Send + Sync {
    /// An attempt has made progress.
    fn dispatch_progress(&self, job: JobId, attempt: u32, update: ProgressUpdate);
    /// An attempt has ended, and was cancelled at its engine if necessary.
    fn dispatch_finished(&self, job: JobId, attempt: u32, result: DispatchResult);
}
