//! The concurrency limit of this gateway for the whole pool, and whether the pool is saturated.

use super::{
    LIMIT_GROWTH, LIMIT_REDUCTION, MIN_USE_TO_GROW, OVERLOAD_SLOWDOWN, PRIOR_RUN_MS, SLOWDOWN_TIME_CONSTANT,
    SlowdownSample,
};
use crate::estimators::DecayingAverage;
use crate::job_class::MAX_JOB_SLOWDOWN;
use crate::time::Timestamp;

/// The limit does not fall below the threads that the arriving work keeps in flight at this slowdown.
pub const MIN_LIMIT_SLOWDOWN: f64 = 0.7;
/// Above this slowdown the pool is saturated.
const SATURATION_SLOWDOWN: f64 = 1.4;

/// Load of this gateway, from which its limit is updated, in threads.
#[derive(Clone, Copy, Debug)]
pub struct GatewayLoad {
    /// Threads that this gateway has in flight.
    pub in_flight: f64,
    /// Threads that the arriving work keeps in flight at [`HEALTHY_SLOWDOWN`](super::HEALTHY_SLOWDOWN).
    pub expected_when_healthy: f64,
    /// Threads that the arriving work keeps in flight at [`MIN_LIMIT_SLOWDOWN`].
    pub expected_at_min_slowdown: f64,
    /// [`MIN_LIMIT_FRACTION_OF_SHARE`](super::MIN_LIMIT_FRACTION_OF_SHARE) of this gateway's equal share of the pool.
    pub min_share: f64,
}

/// Slowdown and saturation of the pool as this gateway observes them, and this gateway's limit.
pub struct GatewayConcurrency {
    /// The pool is saturated: jobs that find no engine under its limit wait.
    pub saturated: bool,
    /// Maximum number of threads that this gateway may have in flight; applies without load reports.
    max_threads: f64,
    slowdown: DecayingAverage,
}

impl Default for GatewayConcurrency {
    fn default() -> GatewayConcurrency {
        GatewayConcurrency {
            saturated: false,
            max_threads: f64::INFINITY,
            slowdown: DecayingAverage::default(),
        }
    }
}

impl GatewayConcurrency {
    /// Maximum number of threads that this gateway may have in flight.
    pub fn max_threads(&self) -> f64 {
        self.max_threads
    }

    /// Adds a job's slowdown to the mean of the pool.
    pub fn observe_slowdown(&mut self, now: Timestamp, sample: SlowdownSample) {
        let (slowdown, weight) = (sample.slowdown.min(MAX_JOB_SLOWDOWN), sample.run_ms * sample.weight);
        self.slowdown.add(now, SLOWDOWN_TIME_CONSTANT, slowdown, weight);
    }

    /// Counts a job that an engine rejected for lack of capacity, as one with the maximum slowdown.
    pub fn observe_overload(&mut self, now: Timestamp, run_ms: f64) {
        self.slowdown.add(now, SLOWDOWN_TIME_CONSTANT, MAX_JOB_SLOWDOWN, run_ms);
    }

    /// Mean slowdown of the pool, close to 1 (none) if few jobs have been observed.
    pub fn update_slowdown(&mut self, now: Timestamp) -> f64 {
        self.slowdown.update_mean(now, SLOWDOWN_TIME_CONSTANT, 1.0, PRIOR_RUN_MS)
    }

    /// Raises or lowers this gateway's limit.
    pub fn update_limit(&mut self, pool_slowdown: f64, load: GatewayLoad) {
        if pool_slowdown > OVERLOAD_SLOWDOWN {
            let reduced = self.max_threads.min(load.expected_when_healthy) * LIMIT_REDUCTION;
            self.max_threads = reduced.max(load.min_share).max(load.expected_at_min_slowdown);
        } else if load.in_flight > MIN_USE_TO_GROW * self.max_threads {
            self.max_threads *= LIMIT_GROWTH;
        }
    }

    /// Updates whether the pool is saturated. Once saturated, it remains so while jobs wait for capacity.
    pub fn update_saturation(&mut self, pool_slowdown: f64, jobs_wait_for_capacity: bool) {
        self.saturated = pool_slowdown > SATURATION_SLOWDOWN || (self.saturated && jobs_wait_for_capacity);
    }
}
