//! The commands that a job receives, and the listener that it notifies.

use crate::engine::handle::EngineHandle;
use pebblevane::interface::{DispatchResult, JobId, ProgressUpdate};
use pebblevane::time::Timestamp;
use std::sync::Arc;

/// A command to a job that has a thread.
pub enum JobCommand {
    /// Send the job to an engine.
    Dispatch(DispatchCommand),
    /// End this dispatch. If it has not been sent yet, it is withheld.
    Cancel {
        /// The number of the dispatch within its job, from 0.
        attempt: u32,
    },
    /// End the job: no dispatch is in flight, and the client expects no answer.
    Release,
}

/// One dispatch of a job.
pub struct DispatchCommand {
    /// The engine to send it to.
    pub engine: Arc<EngineHandle>,
    /// The number of the dispatch within its job, from 0.
    pub attempt: u32,
    /// When the dispatch times out.
    pub deadline: Timestamp,
    /// If the first byte has not been sent before this time, the dispatch is withheld.
    pub begin_by: Timestamp,
    /// The priority that is sent to the engine, if any.
    pub priority: Option<u8>,
}

/// Is notified of the progress and the end of a job's dispatches.
pub trait DispatchListener: Send + Sync {
    /// A dispatch has made progress.
    fn dispatch_progress(&self, job: JobId, attempt: u32, update: ProgressUpdate);
    /// A dispatch has ended, and has been cancelled at its engine if necessary.
    fn dispatch_finished(&self, job: JobId, attempt: u32, result: DispatchResult);
}
