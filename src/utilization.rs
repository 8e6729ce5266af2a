//! Utilization of an engine: as caused by this gateway, or by all gateways according to load reports.

use crate::engine::Engine;
use crate::time::{TimeDelta, Timestamp};
use crate::traffic::Traffic;

/// Maximum age of a load report that is used; in place of an older one, the gateway uses its own figures.
pub const MAX_REPORT_AGE: TimeDelta = TimeDelta::from_millis(2_500);

/// Resources that a job would use at an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Number of threads.
    pub threads: f64,
    /// Memory (MB).
    pub memory_mb: f64,
}

impl Demand {
    /// No additional job.
    pub const NONE: Demand = Demand { threads: 0.0, memory_mb: 0.0 };
}

/// Utilization that this gateway causes, with `added`: that of threads or of memory, whichever is higher.
pub fn own_utilization(engine: &Engine, added: Demand) -> f64 {
    let threads = (engine.in_flight.threads + added.threads) / engine.thread_capacity();
    let added_memory = added.memory_mb.min(engine.max_job_memory_mb);
    let memory = (engine.in_flight.memory_mb + added_memory) / engine.memory_mb.max(1.0);
    threads.max(memory)
}

/// Utilization that is compared with the engine's limit, with `added`. If the limit covers all gateways and there is a
/// recent load report, it is that of all gateways: as reported, plus what this gateway has sent since, and at least
/// this gateway's own. Otherwise it is this gateway's own.
pub fn utilization(engine: &Engine, added: Demand, traffic: &Traffic, now: Timestamp) -> f64 {
    let own = own_utilization(engine, added);
    let reported = &engine.reported;
    if !engine.limit.covers_all_gateways || now - reported.reported_at > MAX_REPORT_AGE {
        return own;
    }
    let utilization_of_jobs = |jobs: f64| {
        let by_memory = jobs * traffic.typical_memory_mb() / engine.memory_mb.max(1.0);
        by_memory.max(jobs * traffic.typical_threads() / engine.thread_capacity())
    };
    let reported_use = reported.jobs_in_flight.map_or(reported.processor.unwrap_or(0.0), utilization_of_jobs);
    let sent_since = (reported.threads_sent_since + added.threads) / engine.thread_capacity();
    own.max(reported_use.max(reported.memory.unwrap_or(0.0)) + sent_since)
}
