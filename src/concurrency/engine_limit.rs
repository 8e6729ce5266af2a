//! The concurrency limit of one engine.

use super::{
    HEALTHY_SLOWDOWN, LIMIT_GROWTH, LIMIT_REDUCTION, LoadVisibility, MIN_LIMIT_FRACTION_OF_SHARE,
    MIN_USE_TO_GROW, OVERLOAD_SLOWDOWN, PRIOR_RUN_MS, SlowdownSample,
};
use crate::estimators::DecayingAverage;
use crate::job_class::MAX_JOB_SLOWDOWN;
use crate::time::{TimeDelta, Timestamp};

/// Maximum utilization of an engine: two threads per core, or all its memory. More in flight has no benefit.
pub const MAX_ENGINE_UTILIZATION: f64 = 1.0;
/// Fraction of the limit that must be in use for it to shrink.
const MIN_USE_TO_SHRINK: f64 = 0.5;
/// Factor by which the limit is lowered when the engine rejects a job for lack of capacity.
const REDUCTION_ON_OVERLOAD: f64 = 0.8;
/// How long nothing is sent to an engine that rejected a job for lack of capacity.
const OVERLOAD_PAUSE: TimeDelta = TimeDelta::from_millis(250);

/// Concurrency limit of an engine, as a maximum utilization.
#[derive(Default)]
pub struct EngineLimit {
    /// Maximum utilization that this gateway may cause, or all gateways together if `covers_all_gateways`.
    pub max_utilization: f64,
    /// This gateway's equal share of the engine; 1 if the limit covers all gateways.
    pub equal_share: f64,
    /// The limit applies to the utilization that all gateways cause, according to load reports, since an equal share
    /// would be less than one thread.
    pub covers_all_gateways: bool,
    /// End of the pause after the engine rejected a job for lack of capacity; nothing is sent there until then.
    pub overloaded_until: Timestamp,
    /// Mean slowdown of the jobs there, weighted by run time.
    pub slowdown: DecayingAverage,
}

/// Load of an engine and the pool, from which the engine's limit is updated.
#[derive(Clone, Copy, Debug)]
pub struct EngineLoad {
    /// Utilization that counts against the limit.
    pub utilization: f64,
    /// Mean slowdown of the whole pool.
    pub pool_slowdown: f64,
    /// Whether the engine's load reports contain its jobs in flight.
    pub jobs_are_reported: bool,
}

impl EngineLimit {
    /// Mean slowdown of the engine's jobs, close to 1 (none) if few have been observed.
    pub fn slowdown_at(&self, now: Timestamp, visibility: LoadVisibility) -> f64 {
        let mut slowdown = self.slowdown;
        slowdown.update_mean(now, visibility.slowdown_time_constant(), 1.0, PRIOR_RUN_MS)
    }

    /// Adds a job's slowdown to the mean.
    pub fn observe_slowdown(&mut self, now: Timestamp, visibility: LoadVisibility, sample: SlowdownSample) {
        // The cap is higher for short jobs: samples are weighted by run time, and a short job that is stuck for seconds
        // is as strong a sign of an overloaded engine as a long one.
        let max = MAX_JOB_SLOWDOWN * (PRIOR_RUN_MS / sample.run_ms).max(1.0);
        let (slowdown, weight) = (sample.slowdown.min(max), sample.run_ms * sample.weight);
        self.slowdown.add(now, visibility.slowdown_time_constant(), slowdown, weight);
    }

    /// Raises or lowers the limit.
    pub fn update(&mut self, now: Timestamp, visibility: LoadVisibility, load: EngineLoad) {
        let slowdown = self.update_slowdown(now, visibility, load);
        let min = self.min_limit(slowdown, visibility, load);
        if slowdown > OVERLOAD_SLOWDOWN && load.utilization > MIN_USE_TO_SHRINK * self.max_utilization {
            self.max_utilization = (self.max_utilization * LIMIT_REDUCTION).max(min);
        } else if slowdown < HEALTHY_SLOWDOWN && load.utilization > MIN_USE_TO_GROW * self.max_utilization {
            self.max_utilization = (self.max_utilization * LIMIT_GROWTH).min(MAX_ENGINE_UTILIZATION);
        }
    }

    /// Lowers the limit and pauses dispatches after the engine rejected a job for lack of capacity.
    pub fn observe_overload(&mut self, now: Timestamp, own_utilization: f64) {
        let full_at = if self.covers_all_gateways { self.max_utilization } else { own_utilization };
        let min = MIN_LIMIT_FRACTION_OF_SHARE * self.equal_share;
        self.overloaded_until = now + OVERLOAD_PAUSE;
        self.max_utilization = self.max_utilization.min(full_at * REDUCTION_ON_OVERLOAD).max(min);
    }

    fn update_slowdown(&mut self, now: Timestamp, visibility: LoadVisibility, load: EngineLoad) -> f64 {
        // Reported processor utilization can't exceed full use and so does not show an overload. An engine with few
        // observed jobs is then assumed to be as slow as the pool.
        let relies_on_processor_use = self.covers_all_gateways && !load.jobs_are_reported;
        let prior = if relies_on_processor_use { load.pool_slowdown } else { 1.0 };
        self.slowdown.update_mean(now, visibility.slowdown_time_constant(), prior, PRIOR_RUN_MS)
    }

    /// Minimum of the limit. With load reports it is lower for an engine that is slower than the pool.
    fn min_limit(&self, slowdown: f64, visibility: LoadVisibility, load: EngineLoad) -> f64 {
        let relative =
            if visibility.lacks_load_reports { 1.0 } else { (load.pool_slowdown / slowdown).min(1.0) };
        MIN_LIMIT_FRACTION_OF_SHARE * self.equal_share * relative
    }
}
