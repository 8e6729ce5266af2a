//! What a job is told, and what it reports.

use crate::engine::handle::EngineHandle;
use pebblevane::interface::{DispatchResult, JobId, ProgressUpdate};
use pebblevane::time::Timestamp;
use std::sync::Arc;

/// What a job that has a thread is to do next.
pub enum JobCommand {
    /// Send the job to an engine.
    Dispatch(DispatchCommand),
    /// Stop waiting for this attempt, and keep it from leaving if it has not left yet.
    Cancel {
        /// The number of the attempt within its job, from 0.
        attempt: u32,
    },
    /// Nothing is in flight or owed any more: the job is over.
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
    /// Its first byte leaves before this time or never.
    pub begin_by: Timestamp,
    /// The priority that the engine is told, if any.
    pub priority: Option<u8>,
}

/// Receives what happens to a job's dispatches.
pub trait JobReporter: Send + Sync {
    /// An attempt has made progress.
    fn dispatch_progress(&self, job: JobId, attempt: u32, update: ProgressUpdate);
    /// An attempt has ended, and its engine holds nothing of it any more.
    fn dispatch_finished(&self, job: JobId, attempt: u32, result: DispatchResult);
}
