//! Decides how much memory a dispatch asks its engine to grant.
//!
//! The grant is the estimate times what earlier jobs of the class taught, and at least what goes with the job's
//! threads, as far as it may need that: while threads are under the concurrency limit all such grants fit.

use crate::engine::Engine;
use crate::job::PendingJob;
use crate::job_class::JobClass;
use crate::memory_factor::MAX_MEMORY_FACTOR;

/// The memory (MB) that a job is granted on this engine.
pub fn memory_grant_mb(job: &PendingJob, class: &JobClass, engine: &Engine) -> f64 {
    let share_of_threads = engine.memory_mb * class.settings.threads / engine.thread_capacity();
    let at_least = share_of_threads.min(job.memory_mb * MAX_MEMORY_FACTOR);
    (job.memory_mb * class.memory_factor.value()).max(at_least).round()
}
