//! What the rest of the program hands to an engine's pool, and what it gets back.

use crate::codec::engine::EngineMessage;
use crate::engine::dispatch_ledger::DispatchLedger;
use crate::session::cancellation::ClientLiveness;
use pebblevane::interface::{DispatchStatus, LoadReport};
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::Arc;

/// A dispatch as the engine is to read it, and what decides at the last moment whether it may be sent.
pub struct EngineRequest {
    /// The client's id of the job, which is also its id on the wire.
    pub id: Box<str>,
    /// Name of the job's class.
    pub class: Arc<str>,
    /// When the dispatch times out.
    pub deadline: Timestamp,
    /// Its first byte is sent before this or never.
    pub begin_by: Timestamp,
    /// Whether the client still waits for the job.
    pub liveness: Arc<dyn ClientLiveness>,
    /// The job's record of earlier dispatches.
    pub ledger: Arc<DispatchLedger>,
    /// Priority, for engines that heed it.
    pub priority: Option<u8>,
    /// The statement to run.
    pub statement: Arc<[u8]>,
}

/// What a job hears of its dispatch.
#[derive(Debug)]
pub enum DispatchEvent {
    /// A message of the engine.
    Message(EngineMessage),
    /// The dispatch ended with its connection, or was never sent.
    Lost {
        /// `ConnectionLost` or `Unreachable`.
        status: DispatchStatus,
        /// The engine is not at fault: it has accepted a new connection since, or the dispatch was withheld here.
        engine_reachable: bool,
    },
}

/// How a health check ended.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// `Completed` if the engine is healthy.
    pub status: DispatchStatus,
    /// The engine's load, if it reported one.
    pub load_report: Option<LoadReport>,
    /// Time from the first byte written to the last one read; zero without an answer.
    pub elapsed: TimeDelta,
}

impl HealthCheckResult {
    /// The result of a check that got no answer.
    pub fn unanswered(status: DispatchStatus) -> HealthCheckResult {
        HealthCheckResult { status, load_report: None, elapsed: TimeDelta::default() }
    }
}

/// Is called once with the result of a health check.
pub type HealthCheckCallback = Box<dyn FnOnce(HealthCheckResult) + Send>;
