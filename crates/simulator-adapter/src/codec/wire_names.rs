//! The names in the simulator's line protocol. The texts are the simulator's; the constants use this project's terms.
//!
//! Each input line is a batch of events and each output line is the reply, which lists the steps that the simulator
//! must carry out.

/// Of a batch and its reply: the number of the batch.
pub(crate) const BATCH_NUMBER: &str = "turn";
/// Of a batch: the simulated time of its events, in milliseconds.
pub(crate) const NOW_MS: &str = "Clock";
/// Of a batch: its events, in order.
pub(crate) const EVENTS: &str = "arrivals";
/// Of a reply: its steps, in the order in which they must be carried out.
pub(crate) const STEPS: &str = "steps";
/// Of an event or step: the name of the instance, which is one admission controller.
pub(crate) const INSTANCE_NAME: &str = "ManagerId";
/// Of an event or step: the simulator's number of the job.
pub(crate) const REQUEST_ID: &str = "RequestId";
/// Of an event, a step or an entry of an endpoint list: the name of the engine.
pub(crate) const ENGINE: &str = "Engine";
/// Of an event or step: the number of one of a job's dispatches, from 0.
pub(crate) const ATTEMPT_NUMBER: &str = "Copy";

/// The names of the events that the simulator sends.
pub(crate) mod events {
    /// Defines an endpoint list, to which later [`ENDPOINT_LIST_UPDATE`]s refer by its number.
    pub(crate) const ENDPOINT_LIST: &str = "Directory";
    /// Starts an instance.
    pub(crate) const START_INSTANCE: &str = "Begin";
    /// Ends an instance.
    pub(crate) const STOP_INSTANCE: &str = "Shutdown";
    /// A client has submitted a job.
    pub(crate) const JOB_SUBMITTED: &str = "Ingress";
    /// A dispatch has ended; the event carries its result.
    pub(crate) const DISPATCH_FINISHED: &str = "Reply";
    /// An engine has reported the progress of a dispatch.
    pub(crate) const DISPATCH_PROGRESS: &str = "Progress";
    /// The first bytes of a job's result have been sent to its client.
    pub(crate) const RESPONSE_STARTED: &str = "HeadReceived";
    /// The client of a job has disconnected.
    pub(crate) const CLIENT_DISCONNECTED: &str = "Expired";
    /// A health check has ended; the event carries its result.
    pub(crate) const HEALTH_CHECK_FINISHED: &str = "Checked";
    /// The instance's timer has fired.
    pub(crate) const TIMER_FIRED: &str = "TimeoutFired";
    /// The endpoint list of an instance has changed or is unavailable.
    pub(crate) const ENDPOINT_LIST_UPDATE: &str = "DirectoryUpdate";
}

/// The names of the steps that instances return.
pub(crate) mod steps {
    /// Sets the priority and the memory grant of the job's next [`DISPATCH`].
    pub(crate) const SET_DISPATCH_OPTIONS: &str = "SetTerms";
    /// Cancels a dispatch in flight.
    pub(crate) const CANCEL_DISPATCH: &str = "Revoke";
    /// Rejects a job; its client may retry later.
    pub(crate) const REJECT_JOB: &str = "Reject";
    /// Answers the client that the job has failed. Unlike after [`REJECT_JOB`], the job may have run.
    pub(crate) const FAIL_JOB: &str = "EndFailed";
    /// Dispatches a job to an engine.
    pub(crate) const DISPATCH: &str = "Attempt";
    /// Sends a health check to an engine.
    pub(crate) const CHECK_HEALTH: &str = "Touch";
    /// Subscribes the instance to [`ENDPOINT_LIST_UPDATE`](super::events::ENDPOINT_LIST_UPDATE)s.
    pub(crate) const SUBSCRIBE: &str = "KeepInformed";
    /// Writes a line to the instance's log.
    pub(crate) const WRITE_LOG: &str = "WriteLog";
    /// Sets a timer of the instance.
    pub(crate) const SET_TIMER: &str = "SetTimer";
}

/// The fields of steps.
pub(crate) mod step_fields {
    /// The dispatch's priority at the engine.
    pub(crate) const PRIORITY: &str = "Rank";
    /// The memory that the dispatch may use, in megabytes.
    pub(crate) const MEMORY_GRANT_MB: &str = "GrantMb";
    /// How long the client of a rejected job should wait before it retries, in milliseconds.
    pub(crate) const RETRY_AFTER_MS: &str = "Pause";
    /// The timeout of a dispatch, in milliseconds.
    pub(crate) const TIMEOUT_MS: &str = "Limit";
    /// Whether to subscribe; this adapter only sends `true`.
    pub(crate) const ENABLE: &str = "Enable";
    /// The line to log.
    pub(crate) const MESSAGE: &str = "Message";
    /// The time until a timer fires, in milliseconds.
    pub(crate) const DELAY_MS: &str = "FromNow";
    /// The number that identifies a timer of the instance.
    pub(crate) const TIMER_NUMBER: &str = "Tag";
}

/// The fields of [`events::START_INSTANCE`], [`events::ENDPOINT_LIST`] and [`events::ENDPOINT_LIST_UPDATE`].
pub(crate) mod instance_fields {
    /// The instance's settings.
    pub(crate) const SETTINGS: &str = "Conf";
    /// The seed of the controller's random numbers.
    pub(crate) const SEED: &str = "Seed";
    /// In the settings: the list of job classes.
    pub(crate) const CLASSES: &str = "Classes";
    /// In a job class of the settings: its latency objective.
    pub(crate) const LATENCY_OBJECTIVE: &str = "Aim";
    /// The entries of an endpoint list.
    pub(crate) const ENDPOINTS: &str = "Members";
    /// The number of an endpoint list; 0 if it is missing.
    pub(crate) const LIST_NUMBER: &str = "Table";
    /// Whether the update contains the complete list, changes only, or no list.
    pub(crate) const UPDATE_KIND: &str = "Kind";
    /// A value of [`UPDATE_KIND`]: the endpoint list is unavailable.
    pub(crate) const UPDATE_KIND_UNAVAILABLE: &str = "refused";
    /// A value of [`UPDATE_KIND`]: the list contains only engines that have changed. Any other value than these two
    /// means a complete list.
    pub(crate) const UPDATE_KIND_CHANGES: &str = "changes";
}

/// The fields of an entry of an endpoint list, besides the [`ENGINE`].
pub(crate) mod endpoint_fields {
    /// When the engine last started, in milliseconds; 0 or missing if its start is not recent.
    pub(crate) const STARTED_AT_MS: &str = "ReadyAt";
    /// The position of its machine type in the settings.
    pub(crate) const MACHINE_TYPE: &str = "Kind";
    /// The position of its location in the settings.
    pub(crate) const LOCATION: &str = "Site";
    /// The number of its replication cell.
    pub(crate) const CELL: &str = "Cell";
    /// Its relative capacity; 1 if it is missing.
    pub(crate) const CAPACITY_HINT: &str = "CapacityHint";
    /// Its lifecycle state, one of the following three.
    pub(crate) const LIFECYCLE: &str = "StageState";
    /// A value of [`LIFECYCLE`]: it accepts dispatches.
    pub(crate) const RUNNING: &str = "Running";
    /// A value of [`LIFECYCLE`]: it finishes its dispatches in flight and accepts no new ones.
    pub(crate) const DRAINING: &str = "Stopping";
    /// A value of [`LIFECYCLE`]: it has been shut down.
    pub(crate) const GONE: &str = "Deleted";
}

/// The fields of [`events::JOB_SUBMITTED`].
pub(crate) mod job_fields {
    /// The position of the job's class in the settings.
    pub(crate) const CLASS: &str = "Type";
    /// The number of the customer that submitted the job.
    pub(crate) const CUSTOMER: &str = "Org";
    /// The job's ordering key in hexadecimal digits; none if it is missing or empty.
    pub(crate) const KEY: &str = "Relation";
    /// How long the client still waits for the answer, in milliseconds.
    pub(crate) const TIME_LEFT_MS: &str = "Left";
    /// The estimated work, in milliseconds on a single thread; only valid if [`FLAG_HAS_COST`] is set.
    pub(crate) const COST_MS: &str = "Cost";
    /// The estimated memory of the job, in megabytes; unknown if it is 0 or missing.
    pub(crate) const MEMORY_MB: &str = "MemMb";
    /// The number of the group of tables that the job reads or writes.
    pub(crate) const TABLE_GROUP: &str = "Tables";
    /// The bitwise OR of the following flags.
    pub(crate) const FLAGS: &str = "Flags";
    /// [`COST_MS`] is valid.
    pub(crate) const FLAG_HAS_COST: u64 = 1;
    /// The client marked the job as a retry.
    pub(crate) const FLAG_IS_RETRY: u64 = 2;
    /// The job writes.
    pub(crate) const FLAG_WRITES: u64 = 4;
}

/// The fields of [`events::DISPATCH_FINISHED`] and [`events::HEALTH_CHECK_FINISHED`].
pub(crate) mod result_fields {
    /// How the dispatch or the health check ended, one of the following eight.
    pub(crate) const STATUS: &str = "Verdict";
    /// A value of [`STATUS`]: the engine completed the job.
    pub(crate) const COMPLETED: &str = "success";
    /// A value of [`STATUS`]: the engine reported a failure.
    pub(crate) const FAILED: &str = "failure";
    /// A value of [`STATUS`]: the engine rejected the job for lack of capacity.
    pub(crate) const OVERLOADED: &str = "overloaded";
    /// A value of [`STATUS`]: no result arrived within the dispatch's timeout.
    pub(crate) const TIMED_OUT: &str = "timed_out";
    /// A value of [`STATUS`]: no byte of the dispatch reached the engine.
    pub(crate) const UNREACHABLE: &str = "unreachable";
    /// A value of [`STATUS`]: the connection was lost after the dispatch was written.
    pub(crate) const CONNECTION_LOST: &str = "broken";
    /// A value of [`STATUS`]: the dispatch was cancelled after it was written.
    pub(crate) const CANCELLED: &str = "withdrawn";
    /// A value of [`STATUS`]: the engine received the dispatch after its deadline and did not run it.
    pub(crate) const EXPIRED: &str = "void";
    /// The time from the first byte written to the last byte read, in milliseconds.
    pub(crate) const ELAPSED_MS: &str = "Rtt";
    /// Whether the client already has the job's final answer.
    pub(crate) const JOB_FINISHED: &str = "Complete";
    /// The work and the memory that the job used, in one number (see [`ACTUAL_COST_MEMORY_STEPS`]); unknown if it is 0
    /// or missing.
    pub(crate) const ACTUAL_COST: &str = "UsedUp";
    /// [`ACTUAL_COST`] divided by this is the work in milliseconds; the remainder is the memory in steps of
    /// [`ACTUAL_COST_MEMORY_STEP_MB`].
    pub(crate) const ACTUAL_COST_MEMORY_STEPS: u64 = 4096;
    /// One step of the memory in [`ACTUAL_COST`], in megabytes.
    pub(crate) const ACTUAL_COST_MEMORY_STEP_MB: f64 = 4.0;
    /// The engine's load report: an object, or a list of pairs of a name and a number.
    pub(crate) const LOAD_REPORT: &str = "Telemetry";
    /// In the load report: the jobs in flight at the engine, from all gateways.
    pub(crate) const JOBS_IN_FLIGHT: &str = "concurrent";
    /// In the load report: the processor utilization, 1 at full use.
    pub(crate) const PROCESSOR_UTILIZATION: &str = "load_share";
    /// In the load report: the memory utilization, 1 at full use.
    pub(crate) const MEMORY_UTILIZATION: &str = "x0";
}

/// The fields of [`events::DISPATCH_PROGRESS`].
pub(crate) mod progress_fields {
    /// Which kind of progress the engine reports, one of the following three; others are ignored.
    pub(crate) const KIND: &str = "Sort";
    /// The meaning depends on [`KIND`]: see its values.
    pub(crate) const AMOUNT: &str = "Amount";
    /// A value of [`KIND`]: [`AMOUNT`] is the completed fraction of the job.
    pub(crate) const KIND_COMPLETED: u64 = 1;
    /// A value of [`KIND`]: the job spills to disk; [`AMOUNT`] is the memory that would have avoided it, in megabytes.
    pub(crate) const KIND_SPILLING: u64 = 2;
    /// A value of [`KIND`]: the job waits at the engine, and [`AMOUNT`] is the reason.
    pub(crate) const KIND_WAITING: u64 = 3;
    /// A value of [`AMOUNT`] with [`KIND_WAITING`]: the job waits for memory.
    pub(crate) const WAITING_FOR_MEMORY: u64 = 1;
    /// A value of [`AMOUNT`] with [`KIND_WAITING`]: the job waits for a bulk load.
    pub(crate) const WAITING_FOR_BULK_LOAD: u64 = 2;
}
