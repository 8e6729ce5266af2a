//! The typed settings that the decisions read.

use crate::time::TimeDelta;
use std::collections::BTreeMap;

/// All settings of an admission controller.
#[derive(Clone, Debug, Default)]
pub struct ControllerSettings {
    /// Number of gateways that share the pool, at least 1.
    pub gateway_count: f64,
    /// This gateway's position among the gateways, from 0.
    pub gateway_ordinal: f64,
    /// This gateway's location; none if it is not a position in the list of locations.
    pub location: Option<usize>,
    /// How long before its deadline a job gets its final answer: two ticks of the clock.
    pub answer_margin: TimeDelta,
    /// The endpoint list has to be polled or subscribed to; otherwise it is pushed.
    pub polls_endpoint_list: bool,
    /// The most dispatches of one job; infinite without a limit.
    pub max_dispatches_per_job: f64,
    /// Price of one health check, in points.
    pub health_check_price: f64,
    /// Price of one dispatch to another location, in points.
    pub location_crossing_price: f64,
    /// Interval at which engines send progress; none if they send none.
    pub progress_interval: Option<TimeDelta>,
    /// The part of an engine's memory that one job gets at most.
    pub max_memory_fraction_per_job: f64,
    /// What this gateway may do.
    pub permissions: Permissions,
    /// Options of a dispatch that engines heed.
    pub engine_capabilities: EngineCapabilities,
    /// What engines report of their load.
    pub reports: ReportSettings,
    /// Limits agreed with the operators.
    pub contract: ContractSettings,
    /// The job classes, by position.
    pub classes: Vec<ClassSettings>,
    /// The known machine types, by position.
    pub machine_types: BTreeMap<usize, MachineType>,
}

/// What this gateway may do.
#[derive(Clone, Copy, Debug, Default)]
pub struct Permissions {
    /// Engines may be health-checked.
    pub health_checks: bool,
    /// Dispatches may be cancelled.
    pub cancellation: bool,
}

/// Options of a dispatch that engines heed.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineCapabilities {
    /// Engines heed the priority of a dispatch.
    pub priorities: bool,
    /// Engines heed the memory grant of a dispatch.
    pub memory_grants: bool,
}

/// What engines report of their load.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportSettings {
    /// Reports include the load that all gateways cause: jobs in flight or processor utilization.
    pub include_total_load: bool,
    /// Reports come only with health checks.
    pub are_pulled: bool,
}

/// Limits agreed with the operators.
#[derive(Clone, Copy, Debug, Default)]
pub struct ContractSettings {
    /// Window in which retries are counted; none if they are unlimited.
    pub retry_budget_window: Option<TimeDelta>,
    /// Retries that are allowed in any window.
    pub min_retries: f64,
    /// Retries that are allowed for each job of the window.
    pub retries_per_job: f64,
    /// How long a key rests after a dispatch whose end is unknown.
    pub key_quiet_time: TimeDelta,
    /// How long after its start an engine has its whole capacity.
    pub warm_up_time: TimeDelta,
    /// The part of its capacity that an engine has when it starts.
    pub initial_capacity_fraction: f64,
    /// Work that a warming engine may get in a window, over the work that it can do then; 0 for no limit.
    pub warm_up_overload_factor: f64,
    /// Window in which the work sent to a warming engine is counted.
    pub warm_up_window: TimeDelta,
}

/// What may happen to a job whose first dispatch may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may be run again anywhere.
    #[default]
    Restartable,
    /// It carries an idempotency key: it may be sent again where engines share their memory of such keys.
    IdempotencyKey,
    /// It must not be run again.
    RunOnce,
}

/// Which engines share their memory of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    Pool,
    /// The engines of one location.
    Location,
    /// The engines of one replication cell.
    #[default]
    Cell,
}

/// Settings of one job class.
#[derive(Clone, Debug, Default)]
pub struct ClassSettings {
    /// Whether a job may be run again.
    pub retry_safety: RetrySafety,
    /// Which engines share their memory of idempotency keys.
    pub deduplication_scope: DeduplicationScope,
    /// How long engines remember an idempotency key.
    pub deduplication_window: TimeDelta,
    /// The latency objective of a job without work.
    pub latency_objective: TimeDelta,
    /// How much the objective grows with each unit of a job's work on its threads.
    pub objective_stretch: f64,
    /// How long clients wait.
    pub client_timeout: TimeDelta,
    /// Value of an answer within the objective.
    pub priority_weight: f64,
    /// The part of that value that a late answer has.
    pub late_value_ratio: f64,
    /// Threads that a job runs on, at least 1.
    pub threads: f64,
    /// Its jobs are bulk loads, which lock their tables.
    pub locks_tables: bool,
    /// Its jobs wait for bulk loads of their tables.
    pub waits_for_bulk_loads: bool,
    /// Jobs of one key run one by one, in the order of arrival.
    pub ordered_by_key: bool,
    /// The only locations that its jobs may run in.
    pub locations: Option<Vec<usize>>,
    /// The only machine types that its jobs may run on.
    pub machine_types: Option<Vec<usize>>,
}

/// A machine type.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineType {
    /// Number of cores.
    pub cores: Option<f64>,
    /// Memory (MB).
    pub memory_mb: Option<f64>,
}
