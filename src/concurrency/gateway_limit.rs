//! Decides how much this gateway may have in flight in all, and whether the pool is saturated.

use super::{
    LIMIT_GROWTH, LIMIT_REDUCTION, MIN_USE_TO_GROW, OVERLOAD_SLOWDOWN, PRIOR_RUN_MS, SLOWDOWN_TIME_CONSTANT,
    SlowdownSample,
};
use crate::estimators::DecayingAverage;
use crate::job_class::MAX_JOB_SLOWDOWN;
use crate::time::Timestamp;

/// The limit never falls below what the arriving work keeps in flight at this slowdown.
pub const MIN_LIMIT_SLOWDOWN: f64 = 0.7;
/// From this slowdown on jobs that find no engine under its limit wait.
const SATURATION_SLOWDOWN: f64 = 1.4;

/// What moves this gateway's limit, in threads.
#[derive(Clone, Copy, Debug)]
pub struct GatewayLoad {
    /// What this gateway has in flight.
    pub in_flight: f64,
    /// What the arriving work keeps in flight at a healthy slowdown.
    pub expected_when_healthy: f64,
    /// What the arriving work keeps in flight at the least.
    pub expected_at_least: f64,
    /// This gateway's equal share of the pool.
    pub equal_share: f64,
}

/// The whole pool as this gateway sees it, and this gateway's own limit.
pub struct GatewayConcurrency {
    /// Jobs that find no engine under its limit wait.
    pub saturated: bool,
    /// Threads that this gateway may have in flight, where loads are unknown.
    limit: f64,
    slowdown: DecayingAverage,
}

impl Default for GatewayConcurrency {
    fn default() -> GatewayConcurrency {
        GatewayConcurrency { saturated: false, limit: f64::INFINITY, slowdown: DecayingAverage::default() }
    }
}

impl GatewayConcurrency {
    /// Threads that this gateway may have in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Adds a job's slowdown to the pool's.
    pub fn observe_slowdown(&mut self, now: Timestamp, sample: SlowdownSample) {
        let (slowdown, weight) = (sample.slowdown.min(MAX_JOB_SLOWDOWN), sample.run_ms * sample.weight);
        self.slowdown.add(now, SLOWDOWN_TIME_CONSTANT, slowdown, weight);
    }

    /// Counts a job that an engine rejected for lack of capacity.
    pub fn observe_overload(&mut self, now: Timestamp, run_ms: f64) {
        self.slowdown.add(now, SLOWDOWN_TIME_CONSTANT, MAX_JOB_SLOWDOWN, run_ms);
    }

    /// The slowdown of the pool, drawn towards none where little is known.
    pub fn update_slowdown(&mut self, now: Timestamp) -> f64 {
        self.slowdown.update_mean(now, SLOWDOWN_TIME_CONSTANT, 1.0, PRIOR_RUN_MS)
    }

    /// Moves this gateway's limit.
    pub fn update_limit(&mut self, pool_slowdown: f64, load: GatewayLoad) {
        if pool_slowdown > OVERLOAD_SLOWDOWN {
            let reduced = self.limit.min(load.expected_when_healthy) * LIMIT_REDUCTION;
            self.limit = reduced.max(load.equal_share).max(load.expected_at_least);
        } else if load.in_flight > MIN_USE_TO_GROW * self.limit {
            self.limit *= LIMIT_GROWTH;
        }
    }

    /// Decides whether the pool is saturated; it stays so while jobs wait for capacity.
    pub fn update_saturation(&mut self, pool_slowdown: f64, jobs_wait_for_capacity: bool) {
        self.saturated = pool_slowdown > SATURATION_SLOWDOWN || (self.saturated && jobs_wait_for_capacity);
    }
}
