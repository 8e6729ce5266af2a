//! One engine: its entry in the endpoint list and the settings, what is in flight there, and what was
//! learnt of it. Nothing here decides.

use crate::concurrency::EngineLimit;
use crate::estimators::{DecayingAverage, SlidingWindow};
use crate::interface::{Endpoint, JobId, LoadReport};
use crate::job_class::JobClass;
use crate::outlier::Ejection;
use crate::settings::ControllerSettings;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// Threads that use an engine fully, per core.
pub const THREADS_PER_CORE: f64 = 2.0;

const MIN_CORES: f64 = 0.1;
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// What this gateway has in flight at an engine.
#[derive(Debug, Default)]
pub struct InFlightTotals {
    /// Threads.
    pub threads: f64,
    /// Memory (MB).
    pub memory_mb: f64,
    /// Dispatches.
    pub dispatches: u32,
    /// Table groups of the bulk loads.
    locked_table_groups: Vec<u64>,
}

/// The load of an engine as it last reported it.
#[derive(Debug, Default)]
pub struct ReportedLoad {
    /// When the last report came.
    pub reported_at: Timestamp,
    /// Processor utilization, 1 at full use.
    pub processor: Option<f64>,
    /// Memory utilization, 1 at full use.
    pub memory: Option<f64>,
    /// Jobs in flight of all gateways.
    pub jobs_in_flight: Option<f64>,
    /// Threads that this gateway has sent since.
    pub threads_sent_since: f64,
}

/// An engine's health checks.
#[derive(Debug, Default)]
pub struct HealthCheckState {
    /// One is in flight.
    pub in_flight: bool,
    /// When the last one was sent.
    pub sent_at: Timestamp,
    /// How long the last one took (ms), if the engine reported that it was not busy.
    pub idle_elapsed_ms: Option<f64>,
}

impl HealthCheckState {
    /// Notes that a check is sent, unless one is in flight; returns whether it is sent.
    pub fn start(&mut self, now: Timestamp) -> bool {
        if self.in_flight {
            return false;
        }
        self.in_flight = true;
        self.sent_at = now;
        true
    }
}

/// One engine.
#[derive(Default)]
pub struct Engine {
    /// What the endpoint list says.
    pub endpoint: Endpoint,
    /// Hash of its name.
    pub name_hash: u64,
    /// Number of cores.
    pub cores: f64,
    /// Memory (MB).
    pub memory_mb: f64,
    /// Memory (MB) that one job gets at most.
    pub max_job_memory_mb: f64,
    /// Mean time that a dispatch of each class takes (ms).
    pub class_latency_ms: Vec<Option<f64>>,
    /// What this gateway has in flight there.
    pub in_flight: InFlightTotals,
    /// Its load as it last reported it.
    pub reported: ReportedLoad,
    /// Its concurrency limit.
    pub limit: EngineLimit,
    /// Its ejection as an outlier.
    pub ejection: Ejection,
    /// Its health checks.
    pub health_check: HealthCheckState,
    /// When an answer or progress last came.
    pub last_response_at: Timestamp,
    /// Typical work sent recently, for the slow-start budget.
    pub slow_start_work: SlidingWindow,
    /// Work sent recently (ms on one thread).
    pub recent_work: DecayingAverage,
    /// Table groups that a bulk load of another gateway is known to lock, and until when that is believed.
    pub locked_tables_until: BTreeMap<u64, Timestamp>,
}

impl Engine {
    /// An engine as the list and the settings describe it; what is in flight there is kept from `previous`.
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

    /// Threads that use it fully.
    pub fn thread_capacity(&self) -> f64 {
        self.cores * THREADS_PER_CORE
    }

    /// Whether a bulk load is known to lock these tables here.
    pub fn has_locked_tables(&self, table_group: u64, now: Timestamp) -> bool {
        let believed = || self.locked_tables_until.get(&table_group).is_some_and(|until| *until > now);
        self.in_flight.locked_table_groups.contains(&table_group) || believed()
    }

    /// Counts a job that goes out to it.
    pub fn count_dispatch(&mut self, id: JobId, class: &JobClass, table_group: u64, memory_mb: f64) {
        self.in_flight.threads += class.settings.threads;
        self.reported.threads_sent_since += class.settings.threads;
        self.in_flight.memory_mb += memory_mb;
        self.in_flight.dispatches += 1;
        if class.settings.locks_tables {
            self.in_flight.locked_table_groups.push(table_group);
        }
        self.ejection.half_open_dispatch = self.ejection.half_open.then_some(id);
    }

    /// Counts a job that comes back from it.
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
        self.ejection.half_open_dispatch = self.ejection.half_open_dispatch.filter(|job| *job != id);
    }

    /// Notes a load report; values that it lacks stay as they were.
    pub fn note_load_report(&mut self, now: Timestamp, report: &LoadReport) {
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
