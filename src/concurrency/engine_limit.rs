//! Decides how much this gateway may send to one engine at a time.

use super::{
    HEALTHY_SLOWDOWN, LIMIT_GROWTH, LIMIT_REDUCTION, LoadVisibility, MIN_LIMIT_OF_SHARE, MIN_USE_TO_GROW,
    OVERLOAD_SLOWDOWN, PRIOR_RUN_MS, SlowdownSample,
};
use crate::estimators::DecayingAverage;
use crate::job_class::MAX_JOB_SLOWDOWN;
use crate::time::{TimeDelta, Timestamp};

/// Two threads a core or all the memory: more in flight can do no good.
pub const MAX_ENGINE_LIMIT: f64 = 1.0;
/// The part of the limit that must be in use for it to shrink.
const MIN_USE_TO_SHRINK: f64 = 0.5;
/// What is left of the limit after the engine rejected a job for lack of capacity.
const REDUCTION_ON_OVERLOAD: f64 = 0.8;
/// How long nothing is sent to an engine that rejected a job for lack of capacity.
const OVERLOAD_PAUSE: TimeDelta = TimeDelta(250_000);

/// An engine's concurrency limit, as a utilization that this gateway may cause.
#[derive(Default)]
pub struct EngineLimit {
    /// The limit.
    pub max_utilization: f64,
    /// This gateway's equal share of the engine; 1 where the limit is for all gateways.
    pub equal_share: f64,
    /// The limit is on the utilization that all gateways cause, according to load reports: an equal share would be
    /// less than a job.
    pub covers_all_gateways: bool,
    /// It rejected a job for lack of capacity: nothing is sent there until then.
    pub overloaded_until: Timestamp,
    /// Time that jobs took there over the time that they take without load.
    pub slowdown: DecayingAverage,
}

/// What moves an engine's limit.
#[derive(Clone, Copy, Debug)]
pub struct EngineLoad {
    /// Utilization that counts against the limit.
    pub utilization: f64,
    /// Slowdown of the whole pool.
    pub pool_slowdown: f64,
    /// The engine reports its jobs in flight.
    pub jobs_are_reported: bool,
}

impl EngineLimit {
    /// The slowdown of an engine's jobs, drawn towards none where little is known.
    pub fn slowdown_at(&self, now: Timestamp, visibility: LoadVisibility) -> f64 {
        let mut slowdown = self.slowdown;
        slowdown.update_mean(now, visibility.slowdown_time_constant(), 1.0, PRIOR_RUN_MS)
    }

    /// Adds a job's slowdown.
    pub fn observe_slowdown(&mut self, now: Timestamp, visibility: LoadVisibility, sample: SlowdownSample) {
        // A small job that is stuck for seconds says as much of its engine as a large one does.
        let max = MAX_JOB_SLOWDOWN * (PRIOR_RUN_MS / sample.run_ms).max(1.0);
        let (slowdown, weight) = (sample.slowdown.min(max), sample.run_ms * sample.weight);
        self.slowdown.add(now, visibility.slowdown_time_constant(), slowdown, weight);
    }

    /// Moves the limit.
    pub fn update(&mut self, now: Timestamp, visibility: LoadVisibility, load: EngineLoad) {
        let slowdown = self.update_slowdown(now, visibility, load);
        let min = self.min_limit(slowdown, visibility, load);
        if slowdown > OVERLOAD_SLOWDOWN && load.utilization > MIN_USE_TO_SHRINK * self.max_utilization {
            self.max_utilization = (self.max_utilization * LIMIT_REDUCTION).max(min);
        } else if slowdown < HEALTHY_SLOWDOWN && load.utilization > MIN_USE_TO_GROW * self.max_utilization {
            self.max_utilization = (self.max_utilization * LIMIT_GROWTH).min(MAX_ENGINE_LIMIT);
        }
    }

    /// The engine rejected a job for lack of capacity: lowers the limit and pauses dispatches for a moment.
    pub fn overloaded(&mut self, now: Timestamp, own_utilization: f64) {
        let full_at = if self.covers_all_gateways { self.max_utilization } else { own_utilization };
        let min = MIN_LIMIT_OF_SHARE * self.equal_share;
        self.overloaded_until = now + OVERLOAD_PAUSE;
        self.max_utilization = self.max_utilization.min(full_at * REDUCTION_ON_OVERLOAD).max(min);
    }

    fn update_slowdown(&mut self, now: Timestamp, visibility: LoadVisibility, load: EngineLoad) -> f64 {
        // Reported processor use can't exceed full use: an engine little seen is presumed to be as slow as the pool.
        let rests_on_processor_use = self.covers_all_gateways && !load.jobs_are_reported;
        let presumed = if rests_on_processor_use { load.pool_slowdown } else { 1.0 };
        self.slowdown.update_mean(now, visibility.slowdown_time_constant(), presumed, PRIOR_RUN_MS)
    }

    /// The least limit; lower for an engine that is slower than the pool, where that is known.
    fn min_limit(&self, slowdown: f64, visibility: LoadVisibility, load: EngineLoad) -> f64 {
        let relative =
            if visibility.lacks_load_reports { 1.0 } else { (load.pool_slowdown / slowdown).min(1.0) };
        MIN_LIMIT_OF_SHARE * self.equal_share * relative
    }
}
