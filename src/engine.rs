//! The state of one engine: its entry in the endpoint list, its size, what is in flight there, and what was learned
//! from its results. No decisions are made here.

use crate::concurrency::EngineLimit;
use crate::estimators::{DecayingAverage, SlidingWindow};
use crate::interface::{Endpoint, EngineId, JobId, LoadReport};
use crate::job_class::JobClass;
use crate::outlier::Ejection;
use crate::settings::ControllerSettings;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Threads per core that use an engine fully.
pub const THREADS_PER_CORE: f64 = 2.0;

/// Minimum number of cores that an engine is assumed to have.
const MIN_CORES: f64 = 0.1;
/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Totals of this gateway's dispatches in flight at one engine.
#[derive(Debug, Default)]
pub struct InFlightTotals {
    /// Threads that the dispatches use.
    pub threads: f64,
    /// Memory (MB) that is counted for the dispatches.
    pub memory_mb: f64,
    /// Number of dispatches.
    pub dispatches: u32,
    /// Table groups that the dispatches lock, one entry for each bulk load.
    locked_table_groups: Vec<u64>,
}

/// The load that an engine last reported.
#[derive(Debug, Default)]
pub struct ReportedLoad {
    /// When the last report arrived.
    pub reported_at: Timestamp,
    /// Processor utilization, 1 at full use.
    pub processor: Option<f64>,
    /// Memory utilization, 1 at full use.
    pub memory: Option<f64>,
    /// Jobs in flight from all gateways.
    pub jobs_in_flight: Option<f64>,
    /// Threads of the jobs that this gateway has sent to the engine since the last report.
    pub threads_sent_since: f64,
}

/// State of an engine's health checks.
#[derive(Debug, Default)]
pub struct HealthCheckState {
    /// Whether a check is in flight.
    pub in_flight: bool,
    /// When the last check was sent.
    pub sent_at: Timestamp,
    /// Elapsed time of the last check (ms), if the engine was not busy according to its report.
    pub idle_elapsed_ms: Option<f64>,
}

impl HealthCheckState {
    /// Records that a check is sent now, unless one is in flight; returns whether it is to be sent.
    pub fn start(&mut self, now: Timestamp) -> bool {
        if self.in_flight {
            return false;
        }
        self.in_flight = true;
        self.sent_at = now;
        true
    }
}

/// The state of one engine.
#[derive(Default)]
pub struct Engine {
    /// Its entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Hash of its name, the same at every gateway.
    pub name_hash: u64,
    /// Number of cores.
    pub cores: f64,
    /// Memory (MB); infinite if the settings give none.
    pub memory_mb: f64,
    /// Maximum memory (MB) counted for one job; 0 if the settings give no memory.
    pub max_job_memory_mb: f64,
    /// Moving average of the time that a dispatch takes here (ms), by the position of the job's class.
    pub class_latency_ms: Vec<Option<f64>>,
    /// Totals of this gateway's dispatches in flight.
    pub in_flight: InFlightTotals,
    /// The load that it last reported.
    pub reported: ReportedLoad,
    /// Its concurrency limit.
    pub limit: EngineLimit,
    /// Its state of ejection as an outlier.
    pub ejection: Ejection,
    /// Its health checks.
    pub health_check: HealthCheckState,
    /// When it last sent a job's answer or progress; before that, when it was added or restarted.
    pub last_response_at: Timestamp,
    /// Work recently sent to it, for the slow-start budget: each dispatch counts with the typical work of its class (ms
    /// on a single thread).
    pub slow_start_work: SlidingWindow,
    /// Estimated work recently sent to it (ms on a single thread).
    pub recent_work: DecayingAverage,
    /// Table groups that a bulk load of another gateway locks, as shown by jobs that waited for it, and the time until
    /// which the lock is assumed to last.
    pub locked_tables_until: BTreeMap<u64, Timestamp>,
    /// The engine to which its address has passed.
    pub replaced_by: Option<Replacement>,
}

/// An engine that has taken over the address of another one.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    /// The later engine.
    pub engine: EngineId,
    /// When it started; `None` if the endpoint list does not tell.
    pub started_at: Option<Timestamp>,
}

impl Engine {
    /// A new or restarted engine with this entry in the endpoint list. What this gateway has in flight there and has
    /// recently sent is kept from `previous`.
    pub fn new(
        settings: &ControllerSettings,
        endpoint: Endpoint,
        previous: Engine,
        now: Timestamp,
    ) -> Engine {
        let machine_type = settings.machine_types.get(&endpoint.machine_type).copied().unwrap_or_default();
        let memory_mb = machine_type.memory_mb;
        Engine {
            name_hash: fnv1a(&endpoint.name),
            cores: machine_type.cores.unwrap_or(endpoint.capacity_hint).max(MIN_CORES),
            memory_mb: memory_mb.unwrap_or(f64::INFINITY),
            max_job_memory_mb: memory_mb.unwrap_or(0.0) * settings.max_memory_fraction_per_job,
            class_latency_ms: vec![None; settings.classes.len()],
            in_flight: previous.in_flight,
            slow_start_work: previous.slow_start_work,
            recent_work: previous.recent_work,
            last_response_at: now,
            endpoint,
            ..Engine::default()
        }
    }

    /// Number of threads that use the engine fully.
    pub fn thread_capacity(&self) -> f64 {
        self.cores * THREADS_PER_CORE
    }

    /// Whether a bulk load locks these tables here, as far as this gateway knows.
    pub fn has_locked_tables(&self, table_group: u64, now: Timestamp) -> bool {
        let locked_by_others =
            || self.locked_tables_until.get(&table_group).is_some_and(|until| *until > now);
        self.in_flight.locked_table_groups.contains(&table_group) || locked_by_others()
    }

    /// Adds a dispatch to the totals when it is sent.
    pub fn count_dispatch(&mut self, id: JobId, class: &JobClass, table_group: u64, memory_mb: f64) {
        self.in_flight.threads += class.settings.threads;
        self.reported.threads_sent_since += class.settings.threads;
        self.in_flight.memory_mb += memory_mb;
        self.in_flight.dispatches += 1;
        if class.settings.locks_tables {
            self.in_flight.locked_table_groups.push(table_group);
        }
        self.ejection.half_open_job = self.ejection.half_open.then_some(id);
    }

    /// Removes a dispatch from the totals when its result has arrived.
    pub fn count_result(&mut self, id: JobId, class: &JobClass, table_group: u64, memory_mb: f64) {
        let in_flight = &mut self.in_flight;
        in_flight.threads = (in_flight.threads - class.settings.threads).max(0.0);
        in_flight.memory_mb = (in_flight.memory_mb - memory_mb).max(0.0);
        in_flight.dispatches = in_flight.dispatches.saturating_sub(1);
        let locked = &mut in_flight.locked_table_groups;
        if class.settings.locks_tables
            && let Some(position) = locked.iter().position(|group| *group == table_group)
        {
            locked.swap_remove(position);
        }
        self.ejection.half_open_job = self.ejection.half_open_job.filter(|job| *job != id);
    }

    /// Records a load report. Values that it lacks are kept from earlier reports; missing processor utilization is
    /// derived from the jobs in flight, as one core per job.
    pub fn record_load_report(&mut self, now: Timestamp, report: &LoadReport) {
        let jobs = report.jobs_in_flight.map(|jobs| jobs.max(0.0));
        let processor = report.processor_utilization.map(|utilization| utilization.max(0.0));
        let memory = report.memory_utilization.map(|utilization| utilization.max(0.0));
        let reported = &mut self.reported;
        reported.processor = processor.or(jobs.map(|jobs| jobs / self.cores)).or(reported.processor);
        reported.jobs_in_flight = jobs.or(reported.jobs_in_flight);
        reported.memory = memory.or(reported.memory);
        reported.reported_at = now;
        reported.threads_sent_since = 0.0;
    }
}

fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
