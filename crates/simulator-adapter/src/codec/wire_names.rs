//! The names on the simulator's wire.

/// A batch and its reply: the batch's number.
pub(crate) const TURN: &str = "turn";
/// A batch: the time in milliseconds.
pub(crate) const CLOCK: &str = "Clock";
/// A batch: its events.
pub(crate) const ARRIVALS: &str = "arrivals";
/// A reply: its steps.
pub(crate) const STEPS: &str = "steps";
/// An event and a step: the instance that it is for.
pub(crate) const MANAGER_ID: &str = "ManagerId";
/// An event and a step: the job.
pub(crate) const REQUEST_ID: &str = "RequestId";
/// An event and a step: the name of an engine.
pub(crate) const ENGINE: &str = "Engine";
/// An event and a step: the number of an attempt.
pub(crate) const COPY: &str = "Copy";

/// The events of the simulator.
pub(crate) mod events {
    /// A list of engines, by its number, for later [`DIRECTORY_UPDATE`]s.
    pub(crate) const DIRECTORY: &str = "Directory";
    /// An instance starts.
    pub(crate) const BEGIN: &str = "Begin";
    /// An instance ends.
    pub(crate) const SHUTDOWN: &str = "Shutdown";
    /// A job is submitted.
    pub(crate) const INGRESS: &str = "Ingress";
    /// A dispatch has ended.
    pub(crate) const REPLY: &str = "Reply";
    /// A dispatch has made progress.
    pub(crate) const PROGRESS: &str = "Progress";
    /// The first bytes of a result have gone to the client.
    pub(crate) const HEAD_RECEIVED: &str = "HeadReceived";
    /// The client of a job has disconnected.
    pub(crate) const EXPIRED: &str = "Expired";
    /// A health check has ended.
    pub(crate) const CHECKED: &str = "Checked";
    /// A timer has fired.
    pub(crate) const TIMEOUT_FIRED: &str = "TimeoutFired";
    /// The endpoint list has changed, or is unavailable.
    pub(crate) const DIRECTORY_UPDATE: &str = "DirectoryUpdate";
}

/// The steps that an instance takes.
pub(crate) mod steps {
    /// Tells the engine of the next attempt its priority and memory grant.
    pub(crate) const SET_TERMS: &str = "SetTerms";
    /// Cancels an attempt.
    pub(crate) const REVOKE: &str = "Revoke";
    /// Rejects a job.
    pub(crate) const REJECT: &str = "Reject";
    /// Ends a job as failed.
    pub(crate) const END_FAILED: &str = "EndFailed";
    /// Dispatches a job.
    pub(crate) const ATTEMPT: &str = "Attempt";
    /// Sends a health check.
    pub(crate) const TOUCH: &str = "Touch";
    /// Subscribes to the endpoint list.
    pub(crate) const KEEP_INFORMED: &str = "KeepInformed";
    /// Writes a line of the log.
    pub(crate) const WRITE_LOG: &str = "WriteLog";
    /// Sets a timer.
    pub(crate) const SET_TIMER: &str = "SetTimer";
}

/// The fields of steps.
pub(crate) mod step_fields {
    /// The priority at the engine.
    pub(crate) const RANK: &str = "Rank";
    /// The memory grant in megabytes.
    pub(crate) const GRANT_MB: &str = "GrantMb";
    /// After how many milliseconds a rejected client may come back.
    pub(crate) const PAUSE: &str = "Pause";
    /// The time-out of a dispatch in milliseconds.
    pub(crate) const LIMIT: &str = "Limit";
    /// Whether to subscribe.
    pub(crate) const ENABLE: &str = "Enable";
    /// A line of the log.
    pub(crate) const MESSAGE: &str = "Message";
    /// In how many milliseconds a timer fires.
    pub(crate) const FROM_NOW: &str = "FromNow";
    /// The number of a timer.
    pub(crate) const TAG: &str = "Tag";
}

/// The fields of [`events::BEGIN`], [`events::DIRECTORY`] and [`events::DIRECTORY_UPDATE`].
pub(crate) mod instance_fields {
    /// The settings.
    pub(crate) const CONF: &str = "Conf";
    /// The seed of the controller's random numbers.
    pub(crate) const SEED: &str = "Seed";
    /// In the settings: the list of classes.
    pub(crate) const CLASSES: &str = "Classes";
    /// In a class: its latency objective.
    pub(crate) const LATENCY_OBJECTIVE: &str = "Aim";
    /// The entries of a list.
    pub(crate) const MEMBERS: &str = "Members";
    /// The number of a list.
    pub(crate) const TABLE: &str = "Table";
    /// What has happened to the list.
    pub(crate) const KIND: &str = "Kind";
    /// A value of [`KIND`]: the list is unavailable.
    pub(crate) const KIND_REFUSED: &str = "refused";
    /// A value of [`KIND`]: the entries are those that have changed.
    pub(crate) const KIND_CHANGES: &str = "changes";
}

/// The fields of an entry of the endpoint list; its name is [`ENGINE`].
pub(crate) mod endpoint_fields {
    /// When the engine has started, in milliseconds.
    pub(crate) const READY_AT: &str = "ReadyAt";
    /// The number of its machine type.
    pub(crate) const KIND: &str = "Kind";
    /// The number of its location.
    pub(crate) const SITE: &str = "Site";
    /// The number of its cell.
    pub(crate) const CELL: &str = "Cell";
    /// Its capacity as a multiple of the usual one.
    pub(crate) const CAPACITY_HINT: &str = "CapacityHint";
    /// Its lifecycle state.
    pub(crate) const STAGE_STATE: &str = "StageState";
    /// A value of [`STAGE_STATE`].
    pub(crate) const RUNNING: &str = "Running";
    /// A value of [`STAGE_STATE`].
    pub(crate) const STOPPING: &str = "Stopping";
    /// A value of [`STAGE_STATE`].
    pub(crate) const DELETED: &str = "Deleted";
}

/// The fields of [`events::INGRESS`].
pub(crate) mod job_fields {
    /// The number of the job's class.
    pub(crate) const TYPE: &str = "Type";
    /// The number of the customer.
    pub(crate) const ORG: &str = "Org";
    /// The job's key, in hexadecimal digits.
    pub(crate) const RELATION: &str = "Relation";
    /// How long the client still waits, in milliseconds.
    pub(crate) const LEFT: &str = "Left";
    /// The estimated cost in milliseconds, if [`FLAG_HAS_COST`] is set.
    pub(crate) const COST: &str = "Cost";
    /// The memory that the job needs, in megabytes.
    pub(crate) const MEMORY_MB: &str = "MemMb";
    /// The number of the table group.
    pub(crate) const TABLES: &str = "Tables";
    /// A sum of the following flags.
    pub(crate) const FLAGS: &str = "Flags";
    /// The cost is known.
    pub(crate) const FLAG_HAS_COST: u64 = 1;
    /// The job is a retry of the client.
    pub(crate) const FLAG_IS_RETRY: u64 = 2;
    /// The job writes.
    pub(crate) const FLAG_WRITES: u64 = 4;
}

/// The fields of [`events::REPLY`] and [`events::CHECKED`].
pub(crate) mod result_fields {
    /// How it ended.
    pub(crate) const VERDICT: &str = "Verdict";
    /// The values of [`VERDICT`].
    pub(crate) const SUCCESS: &str = "success";
    pub(crate) const FAILURE: &str = "failure";
    pub(crate) const OVERLOADED: &str = "overloaded";
    pub(crate) const TIMED_OUT: &str = "timed_out";
    pub(crate) const UNREACHABLE: &str = "unreachable";
    pub(crate) const BROKEN: &str = "broken";
    pub(crate) const WITHDRAWN: &str = "withdrawn";
    pub(crate) const VOID: &str = "void";
    /// The time that it took, in milliseconds.
    pub(crate) const RTT: &str = "Rtt";
    /// Whether the job has its answer.
    pub(crate) const COMPLETE: &str = "Complete";
    /// Work and memory in one number: see [`USED_UP_MEMORY_STEPS`].
    pub(crate) const USED_UP: &str = "UsedUp";
    /// [`USED_UP`] divided by this is the work in milliseconds; the rest is the memory in steps.
    pub(crate) const USED_UP_MEMORY_STEPS: u64 = 4096;
    /// One step of memory in megabytes.
    pub(crate) const USED_UP_MEMORY_STEP_MB: f64 = 4.0;
    /// The load report.
    pub(crate) const TELEMETRY: &str = "Telemetry";
    /// In the load report: the jobs in flight.
    pub(crate) const CONCURRENT: &str = "concurrent";
    /// In the load report: the processors' utilization.
    pub(crate) const LOAD_SHARE: &str = "load_share";
    /// In the load report: the memory's utilization.
    pub(crate) const MEMORY_SHARE: &str = "x0";
}

/// The fields of [`events::PROGRESS`].
pub(crate) mod progress_fields {
    /// What the progress is of.
    pub(crate) const SORT: &str = "Sort";
    /// How much, or which reason to wait.
    pub(crate) const AMOUNT: &str = "Amount";
    /// A value of [`SORT`]: a fraction of the job is done.
    pub(crate) const SORT_COMPLETED: u64 = 1;
    /// A value of [`SORT`]: the job spills to disk.
    pub(crate) const SORT_SPILLING: u64 = 2;
    /// A value of [`SORT`]: the job waits.
    pub(crate) const SORT_WAITING: u64 = 3;
    /// A value of [`AMOUNT`] for a job that waits: for memory.
    pub(crate) const WAITING_FOR_MEMORY: u64 = 1;
    /// A value of [`AMOUNT`] for a job that waits: for a bulk load.
    pub(crate) const WAITING_FOR_BULK_LOAD: u64 = 2;
}
