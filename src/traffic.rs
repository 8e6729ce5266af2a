//! Statistics of the jobs that arrive at this gateway and of the work that it dispatches.

use crate::estimators::DecayingAverage;
use crate::job::PendingJob;
use crate::job_class::JobClass;
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Time constant of the decay of the mix of jobs, and of the work dispatched to the pool and to each engine.
pub const WORK_TIME_CONSTANT: TimeDelta = TimeDelta::from_millis(15_000);
/// Time constant of the decay of the arrival rate.
const ARRIVAL_TIME_CONSTANT: TimeDelta = TimeDelta::from_millis(5_000);

/// Maximum number of table groups whose jobs are counted separately. Clients choose the groups, so there may be any
/// number of them.
const MAX_TABLE_GROUPS: usize = 16_384;

/// Statistics of recently arrived jobs and recently dispatched work.
///
/// The means of threads and memory are weighted with the jobs' run time, so that they describe a typical job in flight.
/// The mean value per work is weighted with the jobs' work.
#[derive(Default)]
pub struct Traffic {
    /// Mean priority weight of a job; all jobs count the same.
    pub priority_weight: DecayingAverage,
    /// Mean value (priority weight) per second of work.
    pub value_rate: DecayingAverage,
    /// Work dispatched to the pool (ms on a single thread).
    pub dispatched_work: DecayingAverage,
    /// Work of arriving jobs (ms on a single thread), lengthened by spilling as usual for their class.
    pub arrivals: DecayingAverage,
    threads: DecayingAverage,
    memory_mb: DecayingAverage,
    /// Recent jobs; only the weight is used, as a decaying count.
    jobs: DecayingAverage,
    /// The same for each table group.
    table_groups: BTreeMap<u64, DecayingAverage>,
    observed_since: Timestamp,
}

impl Traffic {
    /// Statistics without jobs, observed from `now` on.
    pub fn new(now: Timestamp) -> Traffic {
        Traffic { observed_since: now, ..Traffic::default() }
    }

    /// Adds a job that has arrived and can be done in time.
    pub fn observe_arrival(&mut self, now: Timestamp, job: &PendingJob, class: &JobClass) {
        let (value, threads) = (class.settings.priority_weight, class.settings.threads);
        let memory = job.memory_mb * class.memory_factor.value();
        let value_rate = value / (job.work_ms.max(1.0) / 1000.0);
        self.threads.add(now, WORK_TIME_CONSTANT, threads, job.run_ms);
        self.memory_mb.add(now, WORK_TIME_CONSTANT, memory, job.run_ms);
        self.value_rate.add(now, WORK_TIME_CONSTANT, value_rate, job.work_ms);
        self.priority_weight.add(now, WORK_TIME_CONSTANT, value, 1.0);
        self.count_job_of_table_group(now, job.request.table_group);
        self.jobs.add(now, WORK_TIME_CONSTANT, 0.0, 1.0);
        self.arrivals.add(now, ARRIVAL_TIME_CONSTANT, job.work_ms * class.spill_factor(), 1.0);
    }

    fn count_job_of_table_group(&mut self, now: Timestamp, group: u64) {
        if self.table_groups.len() >= MAX_TABLE_GROUPS && !self.table_groups.contains_key(&group) {
            self.evict_older_half_of_table_groups();
        }
        self.table_groups.entry(group).or_default().add(now, WORK_TIME_CONSTANT, 0.0, 1.0);
    }

    /// Removes the half of the table groups that have been without a job for longest.
    fn evict_older_half_of_table_groups(&mut self) {
        let mut last_jobs: Vec<Timestamp> =
            self.table_groups.values().map(DecayingAverage::updated_at).collect();
        let middle = last_jobs.len() / 2;
        let (_, median, _) = last_jobs.select_nth_unstable(middle);
        let oldest_kept = *median;
        self.table_groups.retain(|_, group| group.updated_at() > oldest_kept);
    }

    /// Adds work that is dispatched.
    pub fn observe_dispatch(&mut self, now: Timestamp, work_ms: f64) {
        self.dispatched_work.add(now, WORK_TIME_CONSTANT, work_ms, 1.0);
    }

    /// Mean number of threads of a job in flight.
    pub fn typical_threads(&self) -> f64 {
        self.threads.mean_or(1.0)
    }

    /// Mean memory (MB) granted to a job in flight.
    pub fn typical_memory_mb(&self) -> f64 {
        self.memory_mb.mean_or(0.0)
    }

    /// Share of the recent jobs, without the current one, that belong to this table group. `prior_jobs` of other groups
    /// are added to the total, so that the share is low while few jobs have arrived.
    pub fn share_of_table_group(&self, group: u64, prior_jobs: f64) -> f64 {
        let others = |own: &DecayingAverage| (own.weight() - 1.0).max(0.0);
        self.table_groups.get(&group).map_or(0.0, others) / (self.jobs.weight() + prior_jobs)
    }

    /// Number of jobs that arrive per second, by the recent arrivals.
    pub fn update_arrival_rate(&mut self, now: Timestamp) -> f64 {
        self.arrivals.update_rate_per_second(now, ARRIVAL_TIME_CONSTANT)
    }

    /// Threads that the arriving work is expected to keep in flight at this slowdown, by Little's law: the rate of
    /// arriving work, times the slowdown.
    pub fn expected_threads(&self, now: Timestamp, slowdown: f64) -> f64 {
        let time_constant = ARRIVAL_TIME_CONSTANT.as_millis_f64();
        let observed = (now - self.observed_since).as_millis_f64().max(1.0);
        // Soon after the start the decaying sum covers only a part of its time constant.
        let covered_fraction = 1.0 - (-(observed / time_constant)).exp();
        slowdown * self.arrivals.sum_at(now, ARRIVAL_TIME_CONSTANT) / (covered_fraction * time_constant)
    }

    /// Whether jobs of this table group have arrived within the retention period.
    pub fn is_active_table_group(&self, group: u64) -> bool {
        self.table_groups.contains_key(&group)
    }

    /// Removes the table groups without a job within the retention period.
    pub fn evict_unused(&mut self, now: Timestamp, retention: TimeDelta) {
        self.table_groups.retain(|_, group| now - group.updated_at() < retention);
    }

    /// Number of entries in the collections that can grow with use.
    pub fn retained_entries(&self) -> usize {
        self.table_groups.len()
    }
}
