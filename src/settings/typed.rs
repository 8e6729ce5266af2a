//! The typed settings that the decisions use.

use crate::time::TimeDelta;
use std::collections::BTreeMap;

/// All settings of an admission controller.
#[derive(Clone, Debug, Default)]
pub struct ControllerSettings {
    /// Number of gateways that share the pool, at least 1.
    pub gateway_count: f64,
    /// This gateway's position among the gateways, from 0.
    pub gateway_ordinal: f64,
    /// Position of this gateway's location in the list of locations; `None` if the setting is not a position.
    pub location: Option<usize>,
    /// How long before its deadline a job without a result gets its final answer: two clock ticks.
    pub answer_margin: TimeDelta,
    /// Whether the endpoint list has to be requested (polled or subscribed to); otherwise it is pushed.
    pub polls_endpoint_list: bool,
    /// Maximum number of dispatches of one job; infinite if there is no limit.
    pub max_dispatches_per_job: f64,
    /// Points that are deducted for one health check; they limit the checks that a job may cause in a large gateway
    /// fleet.
    pub health_check_price: f64,
    /// Points that are deducted for one dispatch to another location; if positive, engines of the same location are
    /// preferred.
    pub location_crossing_price: f64,
    /// Interval at which engines send progress; `None` if they send none.
    pub progress_interval: Option<TimeDelta>,
    /// Maximum fraction of an engine's memory that one job may be granted.
    pub max_memory_fraction_per_job: f64,
    /// Optional operations that this gateway may use.
    pub permissions: Permissions,
    /// Dispatch options that engines support.
    pub engine_capabilities: EngineCapabilities,
    /// Content and delivery of the engines' load reports.
    pub reports: ReportSettings,
    /// Limits agreed with the operators of the pool.
    pub contract: ContractSettings,
    /// The job classes; [`Job::class`](crate::interface::Job::class) is a position in this list.
    pub classes: Vec<ClassSettings>,
    /// The known machine types, by position.
    pub machine_types: BTreeMap<usize, MachineType>,
}

/// Optional operations that this gateway may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct Permissions {
    /// Whether engines may be health-checked.
    pub health_checks: bool,
    /// Whether dispatches may be cancelled.
    pub cancellation: bool,
}

/// Dispatch options that engines support.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineCapabilities {
    /// Whether engines use the priority of a dispatch.
    pub priorities: bool,
    /// Whether engines use the memory grant of a dispatch.
    pub memory_grants: bool,
}

/// Content and delivery of the engines' load reports.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportSettings {
    /// Whether reports include the load that all gateways cause: jobs in flight or processor utilization.
    pub include_total_load: bool,
    /// Whether engines send reports only in answer to health checks.
    pub are_pulled: bool,
}

/// Limits agreed with the operators of the pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct ContractSettings {
    /// Window of the retry budget, in which jobs and retries are counted; `None` if retries are unlimited.
    pub retry_budget_window: Option<TimeDelta>,
    /// Retries allowed in any window, regardless of the number of jobs.
    pub min_retries: f64,
    /// Additional retries allowed per job submitted in the window.
    pub retries_per_job: f64,
    /// Length of a key's quiet period: how long the next job of the key is held back after a dispatch whose outcome is
    /// unknown and which may still run.
    pub key_quiet_time: TimeDelta,
    /// Time from an engine's start until it has its full capacity.
    pub warm_up_time: TimeDelta,
    /// Fraction of its full capacity that an engine has at its start.
    pub initial_capacity_fraction: f64,
    /// Work that may be sent to a warming engine within a window, as a multiple of what it can do in that time; 0 for
    /// no limit.
    pub warm_up_overload_factor: f64,
    /// Window in which the work sent to a warming engine is limited.
    pub warm_up_window: TimeDelta,
}

/// Whether a job may be sent again after a dispatch that may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySafety {
    /// The job may be sent again to any engine.
    #[default]
    Restartable,
    /// The job has an idempotency key. It may be sent again to engines that share their record of keys with the one
    /// where it may have run first, as long as they remember the key.
    IdempotencyKey,
    /// The job must not be sent again.
    RunOnce,
}

/// Which engines share their record of idempotency keys.
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
    /// Whether a job may be sent again after a dispatch that may have run.
    pub retry_safety: RetrySafety,
    /// Which engines share their record of idempotency keys.
    pub deduplication_scope: DeduplicationScope,
    /// How long engines remember an idempotency key.
    pub deduplication_window: TimeDelta,
    /// Fixed part of a job's latency objective: the objective is this plus `objective_stretch` times the job's run
    /// time.
    pub latency_objective: TimeDelta,
    /// Factor on a job's estimated run time (its work divided by its threads) in its latency objective, which is
    /// `latency_objective` plus the product.
    pub objective_stretch: f64,
    /// Maximum time that clients wait for an answer.
    pub client_timeout: TimeDelta,
    /// Value of an answer that meets the latency objective.
    pub priority_weight: f64,
    /// Fraction of that value that a late answer still has.
    pub late_value_ratio: f64,
    /// Number of threads that a job runs on, at least 1.
    pub threads: f64,
    /// Whether its jobs are bulk loads, which lock their tables.
    pub locks_tables: bool,
    /// Whether its jobs have to wait at the engine while a bulk load locks their tables.
    pub waits_for_bulk_loads: bool,
    /// Whether the jobs of one key run one at a time, in the order of arrival.
    pub ordered_by_key: bool,
    /// The locations in which its jobs may run; `None` for all.
    pub locations: Option<Vec<usize>>,
    /// The machine types on which its jobs may run; `None` for all.
    pub machine_types: Option<Vec<usize>>,
}

/// Size of the engines of one machine type; a value is `None` if the settings lack it.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineType {
    /// Number of cores.
    pub cores: Option<f64>,
    /// Memory (MB).
    pub memory_mb: Option<f64>,
}
