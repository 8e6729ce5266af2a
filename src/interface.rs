//! The plain types of the interface of the [`AdmissionController`]. Nothing here decides.
//!
//! [`AdmissionController`]: crate::controller::AdmissionController

use crate::time::{TimeDelta, Timestamp};

/// A job's number, given by the caller in the order of arrival and never used twice by one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(pub u32);

/// An engine's number, given by the caller in the order in which endpoint lists named them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineId(pub u32);

/// What the endpoint list says of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The engine's number at this caller.
    pub engine: EngineId,
    /// The engine's own id, the same for every gateway.
    pub name: String,
    /// Position of the engine's machine type in the settings.
    pub machine_type: usize,
    /// Position of the engine's location in the settings.
    pub location: usize,
    /// The replication cell that the engine belongs to.
    pub cell: usize,
    /// Whether the engine takes new dispatches.
    pub lifecycle: LifecycleState,
    /// When the engine last started; none if that is long ago.
    pub started_at: Option<Timestamp>,
    /// Relative capacity, used where the settings don't give the machine type's cores.
    pub capacity_hint: f64,
}

/// How much of the pool an endpoint list names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// All engines: those that it does not name are gone.
    Complete,
    /// Only what has changed.
    Changes,
}

/// An engine's place in its life, as the endpoint list has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LifecycleState {
    /// It takes dispatches.
    #[default]
    Running,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has ended.
    Gone,
}

/// A job as a client submits it.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Position of the job's class in the settings.
    pub class: usize,
    /// Number of the customer that the job belongs to.
    pub customer: usize,
    /// The key whose jobs run in order, where the class asks for that.
    pub key: Option<u64>,
    /// How long the client goes on waiting.
    pub time_left: TimeDelta,
    /// Estimated work of all threads, as time on one.
    pub cost: Option<TimeDelta>,
    /// Estimated memory (MB).
    pub memory_mb: Option<f64>,
    /// The group of tables that the job reads or writes.
    pub table_group: u64,
    /// The client says that this is a retry.
    pub is_retry: bool,
    /// The job writes.
    pub writes: bool,
}

/// How a dispatch or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchStatus {
    /// The engine completed the job.
    Completed,
    /// The engine reported a failure; the job may have run.
    Failed,
    /// The engine rejected the job for lack of capacity; it did not run.
    Overloaded,
    /// No result came within the dispatch's timeout; the job may have run.
    TimedOut,
    /// Nothing of the dispatch reached the engine.
    Unreachable,
    /// The connection was lost after the dispatch was written; the job may have run.
    ConnectionLost,
    /// The dispatch was cancelled after it was written; the job may have run.
    Cancelled,
    /// The engine received the dispatch after its deadline and did not run it.
    Expired,
}

/// Work and memory that a job took, as its engine reports them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ActualCost {
    /// Work of all threads, as time on one.
    pub work: TimeDelta,
    /// Memory (MB).
    pub memory_mb: f64,
}

/// How one dispatch, or one health check, ended.
#[derive(Clone, Copy, Debug)]
pub struct DispatchResult {
    /// How it ended.
    pub status: DispatchStatus,
    /// Time from the first byte written to the last one read.
    pub elapsed: TimeDelta,
    /// The job has its final answer, by this result or before.
    pub job_finished: bool,
    /// The engine is not at fault: it has accepted a new connection since, or was never tried.
    pub engine_reachable: bool,
    /// What the job took, where the engine reports it.
    pub actual_cost: Option<ActualCost>,
    /// The engine's load, where the answer carried it.
    pub load_report: Option<LoadReport>,
}

/// An engine's report of its own load. A report may hold none of these values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Jobs that the engine has in hand.
    pub jobs_in_flight: Option<f64>,
    /// Processor utilization, 1 at full use.
    pub processor_utilization: Option<f64>,
    /// Memory utilization, 1 at full use.
    pub memory_utilization: Option<f64>,
}

/// Progress of a dispatch that is in flight, as its engine reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgressUpdate {
    /// Fraction of the work that is done.
    CompletedFraction(f64),
    /// The job spills to disk, for lack of this much memory (MB).
    SpillingToDisk(f64),
    /// The job waits for memory.
    WaitingForMemory,
    /// The job waits for a bulk load that locks its tables.
    WaitingForBulkLoad,
}

/// Options of a dispatch, for engines that heed them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchOptions {
    /// Priority, from 0 (lowest) to 3.
    pub priority: u8,
    /// Memory (MB) granted to the job, 0 for the engine's choice.
    pub memory_grant_mb: f64,
}

/// A job to be sent to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The job.
    pub job: JobId,
    /// Where it goes.
    pub engine: EngineId,
    /// Timeout of this dispatch.
    pub timeout: TimeDelta,
    /// Its first byte leaves before this or never: it may wait for a connection past what was decided on.
    pub begin_by: Timestamp,
    /// Priority and memory, where engines heed them.
    pub options: Option<DispatchOptions>,
}

/// One of a job's dispatches, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchId {
    /// The job.
    pub job: JobId,
    /// Number of the dispatch among the job's dispatches.
    pub attempt: u32,
}

/// A final answer that the controller gives; an engine's answer reaches the client by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The job was not run to its end, and a retry is harmless.
    Rejected {
        /// When a retry is best made.
        retry_after: TimeDelta,
    },
    /// The job may have run, and a retry may do harm.
    Cancelled,
}

/// All that one event led to, to be carried out in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Actions {
    /// Dispatches to be cancelled at their engines.
    pub cancellations: Vec<DispatchId>,
    /// Final answers to be given.
    pub answers: Vec<(JobId, FinalAnswer)>,
    /// Jobs to be sent.
    pub dispatches: Vec<Dispatch>,
    /// Engines to be health-checked.
    pub health_checks: Vec<EngineId>,
    /// Subscribe to the endpoint list.
    pub subscribe: bool,
    /// Call [`timer_fired`](crate::controller::AdmissionController::timer_fired) at this time, or soon after.
    pub next_timer: Option<Timestamp>,
    /// Jobs of which nothing is in flight or owed any more; their numbers may be forgotten.
    pub released_jobs: Vec<JobId>,
    /// Engines that the controller has forgotten; their numbers may be forgotten.
    pub forgotten_engines: Vec<EngineId>,
    /// Lines for the caller's log.
    pub log: Vec<String>,
}
