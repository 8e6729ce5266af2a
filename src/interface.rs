//! Plain data types of the [`AdmissionController`]'s interface, without any logic.
//!
//! [`AdmissionController`]: crate::controller::AdmissionController

use crate::time::{TimeDelta, Timestamp};

/// A job's number. The caller numbers jobs in the order of arrival and never reuses a number in one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(pub u32);

/// An engine's number. The caller numbers engines in the order in which they first appear in an endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineId(pub u32);

/// One engine's entry in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The number that this caller gave the engine.
    pub engine: EngineId,
    /// The engine's id, the same at every gateway.
    pub name: String,
    /// Position of the engine's machine type in the settings.
    pub machine_type: usize,
    /// Position of the engine's location in the settings.
    pub location: usize,
    /// The replication cell that the engine belongs to.
    pub cell: usize,
    /// Whether the engine accepts new dispatches.
    pub lifecycle: LifecycleState,
    /// When the engine last started; `None` if its start is not recent.
    pub started_at: Option<Timestamp>,
    /// Relative capacity; taken as the number of cores if the settings give none for the machine type.
    pub capacity_hint: f64,
    /// The engine that was listed at its address before, if the address has just passed to this one. Dispatches that were
    /// sent to the other engine in the meantime may have reached this one.
    pub replaces: Option<EngineId>,
}

/// Which engines of the pool an endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All engines: those that are not listed are gone.
    Complete,
    /// Only engines that have changed.
    Changes,
}

/// An engine's lifecycle state according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LifecycleState {
    /// The engine accepts dispatches.
    #[default]
    Running,
    /// The engine finishes its dispatches in flight and accepts no new ones.
    Draining,
    /// The engine has been shut down.
    Gone,
}

/// A job as submitted by a client.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Position of the job's class in the settings.
    pub class: usize,
    /// Number of the customer that submitted the job.
    pub customer: usize,
    /// The job's ordering key; used if the class runs the jobs of one key in order.
    pub key: Option<u64>,
    /// How long the client still waits for the answer: its timeout, less the time since its request arrived.
    pub time_left: TimeDelta,
    /// Estimated work of all threads, as execution time on a single thread.
    pub cost: Option<TimeDelta>,
    /// Estimated memory (MB).
    pub memory_mb: Option<f64>,
    /// The group of tables that the job reads or writes.
    pub table_group: u64,
    /// Whether the client marked the job as a retry.
    pub is_retry: bool,
    /// Whether the job writes.
    pub writes: bool,
}

/// How a dispatch or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchStatus {
    /// The engine completed the job.
    Completed,
    /// The engine reported a failure; the job may have run.
    Failed,
    /// The engine rejected the job for lack of capacity; the job did not run.
    Overloaded,
    /// No result arrived within the dispatch's timeout; the job may have run.
    TimedOut,
    /// No byte of the dispatch reached the engine.
    Unreachable,
    /// The connection was lost after the dispatch was written; the job may have run.
    ConnectionLost,
    /// The dispatch was cancelled after it was written; the job may have run.
    Cancelled,
    /// The engine received the dispatch after its deadline and did not run it.
    Expired,
}

/// Work and memory that a job used, as reported by its engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActualCost {
    /// Work of all threads, as execution time on a single thread.
    pub work: TimeDelta,
    /// Memory used (MB).
    pub memory_mb: f64,
}

/// Result of one dispatch or one health check.
#[derive(Clone, Copy, Debug)]
pub struct DispatchResult {
    /// How the dispatch or health check ended.
    pub status: DispatchStatus,
    /// Of a dispatch: the time from its handover to the engine's connections, including any wait for one, to its end.
    /// Of a health check: the time from its write to its answer; zero if it was not answered.
    pub elapsed: TimeDelta,
    /// Whether the client already has the job's final answer, from this result or from earlier.
    pub job_finished: bool,
    /// Whether the engine counts as reachable although the dispatch ended as `Unreachable` or `ConnectionLost`: it has
    /// accepted a new connection since, or the caller withheld the dispatch before its timeout. The failure does not
    /// count against the engine then.
    pub engine_reachable: bool,
    /// What the job used, if the engine reports it.
    pub actual_cost: Option<ActualCost>,
    /// The engine's load, if the answer contained a report.
    pub load_report: Option<LoadReport>,
}

/// An engine's report of its own load. Each value is optional; a report may even be empty.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Jobs in flight at the engine, from all gateways.
    pub jobs_in_flight: Option<f64>,
    /// Processor utilization, 1 at full use.
    pub processor_utilization: Option<f64>,
    /// Memory utilization, 1 at full use.
    pub memory_utilization: Option<f64>,
}

/// Progress of a dispatch that is in flight, as its engine reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressUpdate {
    /// Completed fraction of the work, from 0 to 1.
    CompletedFraction(f64),
    /// The job spills to disk; this much more memory (MB) would have avoided it.
    SpillingToDisk(f64),
    /// The job waits for memory.
    WaitingForMemory,
    /// The job waits for a bulk load that locks its tables.
    WaitingForBulkLoad,
}

/// Options of a dispatch, for engines that support them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchOptions {
    /// Priority, from 0 (lowest) to 3.
    pub priority: u8,
    /// Memory (MB) granted to the job; 0 leaves the amount to the engine.
    pub memory_grant_mb: f64,
}

/// A job to be sent to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The job to send.
    pub job: JobId,
    /// The engine to send it to.
    pub engine: EngineId,
    /// Maximum time until the result of this dispatch.
    pub timeout: TimeDelta,
    /// The dispatch is not sent if its first byte is not written before this time. It may have to wait for a
    /// connection, and by then the decision to send it may no longer hold.
    pub begin_by: Timestamp,
    /// Priority and memory grant; `None` if the engines support neither.
    pub options: Option<DispatchOptions>,
}

/// Identifies one dispatch of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchId {
    /// The job that was dispatched.
    pub job: JobId,
    /// Number of the dispatch among the job's dispatches, from 0.
    pub attempt: u32,
}

/// A final answer that the controller decides on. An engine's answer is forwarded to the client without it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The job was not completed, and the client can safely retry it.
    Rejected {
        /// How long the client should wait before the retry.
        retry_after: TimeDelta,
    },
    /// The job may have run, and a retry could run it a second time.
    Cancelled,
}

/// The actions that follow from one event. The caller carries them out in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// Dispatches to cancel at their engines.
    pub cancellations: Vec<DispatchId>,
    /// Final answers to send to clients.
    pub answers: Vec<(JobId, FinalAnswer)>,
    /// Dispatches to send to engines.
    pub dispatches: Vec<Dispatch>,
    /// Engines to health-check.
    pub health_checks: Vec<EngineId>,
    /// Whether to request the endpoint list, by polling it or subscribing to it.
    pub subscribe: bool,
    /// Call [`timer_fired`](crate::controller::AdmissionController::timer_fired) at this time or soon after it.
    pub next_timer: Option<Timestamp>,
    /// Jobs without a dispatch in flight or a pending answer; the caller may drop their numbers.
    pub released_jobs: Vec<JobId>,
    /// Engines that the controller has removed; the caller may drop their numbers.
    pub forgotten_engines: Vec<EngineId>,
    /// Lines for the caller to log.
    pub log: Vec<String>,
}
