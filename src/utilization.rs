//! How much of an engine is in use: by this gateway alone, or by all gateways according to load reports.

use crate::engine::Engine;
use crate::time::{TimeDelta, Timestamp};
use crate::traffic::Traffic;

/// Older reports are ignored: the gateway's own figure stands in.
pub const MAX_REPORT_AGE: TimeDelta = TimeDelta(2_500_000);

/// What a job would add to an engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    /// Threads.
    pub threads: f64,
    /// Memory (MB).
    pub memory_mb: f64,
}

impl Demand {
    /// Nothing is added.
    pub const NONE: Demand = Demand { threads: 0.0, memory_mb: 0.0 };
}

/// The utilization that this gateway causes: threads or memory, whichever is more.
pub fn own_utilization(engine: &Engine, added: Demand) -> f64 {
    let threads = (engine.in_flight.threads + added.threads) / engine.thread_capacity();
    let added_memory = added.memory_mb.min(engine.max_job_memory_mb);
    let memory = (engine.in_flight.memory_mb + added_memory) / engine.memory_mb.max(1.0);
    threads.max(memory)
}

/// The utilization that counts against the engine's limit: all gateways', as last reported, where the limit
/// covers all of them.
pub fn utilization(engine: &Engine, added: Demand, traffic: &Traffic, now: Timestamp) -> f64 {
    let own = own_utilization(engine, added);
    let reported = &engine.reported;
    if !engine.limit.covers_all_gateways || now - reported.reported_at > MAX_REPORT_AGE {
        return own;
    }
    let by_jobs = |jobs: f64| {
        let by_memory = jobs * traffic.typical_memory_mb() / engine.memory_mb.max(1.0);
        by_memory.max(jobs * traffic.typical_threads() / engine.thread_capacity())
    };
    let reported_use = reported.jobs_in_flight.map_or(reported.processor.unwrap_or(0.0), by_jobs);
    let sent_since = (reported.threads_sent_since + added.threads) / engine.thread_capacity();
    own.max(reported_use.max(reported.memory.unwrap_or(0.0)) + sent_since)
}
