//! Dispatches and health checks as other parts of the program hand them to an engine's pool, and their results.

use crate::codec::engine::EngineMessage;
use crate::engine::dispatch_ledger::DispatchLedger;
use crate::session::cancellation::ClientLiveness;
use pebblevane::interface::{DispatchStatus, LoadReport};
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::Arc;

/// A dispatch: what is sent to the engine, and what is checked just before its first byte.
pub struct EngineRequest {
    /// The client's id of the job, which is also its id on the wire.
    pub id: Box<str>,
    /// Name of the job's class.
    pub class: Arc<str>,
    /// When the dispatch times out.
    pub deadline: Timestamp,
    /// The dispatch is withheld if its first byte was not sent before this time.
    pub begin_by: Timestamp,
    /// Whether the client still waits for the job.
    pub liveness: Arc<dyn ClientLiveness>,
    /// The job's record of earlier dispatches.
    pub ledger: Arc<DispatchLedger>,
    /// The priority, for engines that schedule by it.
    pub priority: Option<u8>,
    /// The statement to run.
    pub statement: Arc<[u8]>,
}

/// An event of a dispatch, for its job.
#[derive(Debug)]
pub enum DispatchEvent {
    /// A message of the engine.
    Message(EngineMessage),
    /// The dispatch ended with its connection, or was never sent.
    Lost {
        /// `ConnectionLost` or `Unreachable`.
        status: DispatchStatus,
        /// Not the engine's fault: it has accepted a new connection since, or the dispatch was withheld by this
        /// program.
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
