//! The stream of jobs that comes to this gateway and the work that it sends out.

use crate::estimators::DecayingAverage;
use crate::job::PendingJob;
use crate::job_class::JobClass;
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// How far back the mix of jobs, and the work sent to the pool and to each engine, counts.
pub const WORK_TIME_CONSTANT: TimeDelta = TimeDelta(15_000_000);
/// How far back the rate of arrivals counts.
const ARRIVAL_TIME_CONSTANT: TimeDelta = TimeDelta(5_000_000);

/// The jobs that were recently admitted and the work that was recently sent.
///
/// Threads, memory and value are weighed by how long the jobs run, so that they are those of a job in flight.
#[derive(Default)]
pub struct Traffic {
    /// Value of a job, whatever its work.
    pub priority_weight: DecayingAverage,
    /// Value per second of work.
    pub value_rate: DecayingAverage,
    /// Work sent to the pool (ms on one thread).
    pub dispatched_work: DecayingAverage,
    /// Work of arriving jobs (ms on one thread).
    pub arrivals: DecayingAverage,
    threads: DecayingAverage,
    memory_mb: DecayingAverage,
    jobs: DecayingAverage,
    table_groups: BTreeMap<u64, DecayingAverage>,
    observed_since: Timestamp,
}

impl Traffic {
    /// Nothing seen yet.
    pub fn new(now: Timestamp) -> Traffic {
        Traffic { observed_since: now, ..Traffic::default() }
    }

    /// Counts a job that is accepted.
    pub fn observe_arrival(&mut self, now: Timestamp, job: &PendingJob, class: &JobClass) {
        let (value, threads) = (class.settings.priority_weight, class.settings.threads);
        let memory = job.memory_mb * class.memory_factor.value();
        let value_rate = value / (job.work_ms.max(1.0) / 1000.0);
        self.threads.add(now, WORK_TIME_CONSTANT, threads, job.run_ms);
        self.memory_mb.add(now, WORK_TIME_CONSTANT, memory, job.run_ms);
        self.value_rate.add(now, WORK_TIME_CONSTANT, value_rate, job.work_ms);
        self.priority_weight.add(now, WORK_TIME_CONSTANT, value, 1.0);
        let group = self.table_groups.entry(job.request.table_group).or_default();
        group.add(now, WORK_TIME_CONSTANT, 0.0, 1.0);
        self.jobs.add(now, WORK_TIME_CONSTANT, 0.0, 1.0);
        self.arrivals.add(now, ARRIVAL_TIME_CONSTANT, job.work_ms * class.spill_factor(), 1.0);
    }

    /// Counts work that is sent out.
    pub fn observe_dispatch(&mut self, now: Timestamp, work_ms: f64) {
        self.dispatched_work.add(now, WORK_TIME_CONSTANT, work_ms, 1.0);
    }

    /// Threads of the typical job in flight.
    pub fn typical_threads(&self) -> f64 {
        self.threads.mean_or(1.0)
    }

    /// Memory (MB) granted to the typical job in flight.
    pub fn typical_memory_mb(&self) -> f64 {
        self.memory_mb.mean_or(0.0)
    }

    /// A table group's share of the other jobs, drawn towards none as if `prior_jobs` had been seen.
    pub fn share_of_table_group(&self, group: u64, prior_jobs: f64) -> f64 {
        let others = |own: &DecayingAverage| (own.weight() - 1.0).max(0.0);
        self.table_groups.get(&group).map_or(0.0, others) / (self.jobs.weight() + prior_jobs)
    }

    /// Jobs that arrive per second.
    pub fn update_arrival_rate(&mut self, now: Timestamp) -> f64 {
        self.arrivals.update_rate_per_second(now, ARRIVAL_TIME_CONSTANT)
    }

    /// Threads that this gateway has in flight at a slowdown, by the work that arrives: rate times time.
    pub fn expected_threads(&self, now: Timestamp, slowdown: f64) -> f64 {
        let time_constant = ARRIVAL_TIME_CONSTANT.as_millis_f64();
        let observed = (now - self.observed_since).as_millis_f64().max(1.0);
        let seen = 1.0 - (-(observed / time_constant)).exp();
        slowdown * self.arrivals.sum_at(now, ARRIVAL_TIME_CONSTANT) / (seen * time_constant)
    }

    /// Whether jobs of this table group came recently.
    pub fn is_active_table_group(&self, group: u64) -> bool {
        self.table_groups.contains_key(&group)
    }

    /// Drops the table groups without a job within the retention period.
    pub fn evict_unused(&mut self, now: Timestamp, retention: TimeDelta) {
        self.table_groups.retain(|_, group| now - group.updated_at() < retention);
    }

    /// Number of entries that may grow with use.
    pub fn retained_entries(&self) -> usize {
        self.table_groups.len()
    }
}
