//! Dispatches and health checks as they are passed to an engine's pool, and their results.

use crate::codec::engine::EngineMessage;
use crate::session::cancellation::ClientLiveness;
use crate::session::dispatch_ledger::DispatchLedger;
use pebblevane::interface::{DispatchStatus, LoadReport};
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::Arc;

/// A dispatch: what is sent to the engine, and what is checked just before its first byte.
pub struct EngineRequest {
    /// The client's id of the job, which is also its id on the wire.
    pub id: Box<str>,
    /// The name of the job class.
    pub class: Arc<str>,
    /// When the dispatch times out.
    pub deadline: Timestamp,
    /// If the first byte has not been sent before this time, the dispatch is withheld.
    pub begin_by: Timestamp,
    /// Whether the client still waits for the answer.
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
    /// The dispatch ended because its connection was lost, or it was never sent.
    Lost {
        /// `ConnectionLost` or `Unreachable`.
        status: DispatchStatus,
        /// Whether the engine counts as reachable nevertheless: it has accepted a new connection since, or this program
        /// has withheld the dispatch.
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
    /// The time from the first byte written to the last byte read; zero if there was no answer.
    pub elapsed: TimeDelta,
}

impl HealthCheckResult {
    /// The result of a health check that was not answered.
    pub fn unanswered(status: DispatchStatus) -> HealthCheckResult {
        HealthCheckResult { status, load_report: None, elapsed: TimeDelta::default() }
    }
}

/// Called once with the result of a health check.
pub type HealthCheckCallback = Box<dyn FnOnce(HealthCheckResult) + Send>;
