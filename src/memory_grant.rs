//! The memory that a dispatch asks its engine to grant.
//!
//! The grant is the job's estimate times the memory factor of its class, which is learned from earlier jobs. It is at
//! least the job's share of the engine's memory by its threads, but no more than the maximum factor times the
//! estimate. Such shares of all jobs fit in memory while the threads are within the concurrency limit.

use crate::engine::Engine;
use crate::job::PendingJob;
use crate::job_class::JobClass;
use crate::memory_factor::MAX_MEMORY_FACTOR;

/// Memory (MB) to be granted to a job on this engine.
pub fn memory_grant_mb(job: &PendingJob, class: &JobClass, engine: &Engine) -> f64 {
    let share_by_threads = engine.memory_mb * class.settings.threads / engine.thread_capacity();
    let min_grant = share_by_threads.min(job.memory_mb * MAX_MEMORY_FACTOR);
    (job.memory_mb * class.memory_factor.value()).max(min_grant).round()
}
