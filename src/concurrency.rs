//! Decides how much may be in flight: the limit of each engine, the limit of this gateway, and whether the pool
//! is saturated.
//!
//! A limit grows while it is used and jobs keep their pace, and shrinks when they do not. *Slowdown* is the time
//! that a job takes over the time that it would take without load.

use crate::engine::{Engine, EngineLimit, THREADS_PER_CORE};
use crate::estimators::DecayingAverage;
use crate::job_class::MAX_SLOWDOWN;
use crate::time::{TimeDelta, Timestamp};
use crate::utilization::{Demand, own_utilization};

/// From this slowdown on limits shrink.
pub const OVERLOAD_SLOWDOWN: f64 = 2.0;
/// Below this slowdown limits grow.
pub const HEALTHY_SLOWDOWN: f64 = 1.5;
/// From this slowdown on jobs that find no engine under its limit wait.
const SATURATION_SLOWDOWN: f64 = 1.4;
/// This gateway's limit never falls below what it has in flight at this slowdown.
pub const MIN_LIMIT_SLOWDOWN: f64 = 0.7;

/// Two threads a core or all the memory: more in flight can do no good.
pub const MAX_ENGINE_LIMIT: f64 = 1.0;
/// The least limit, over an equal share of an engine.
const MIN_LIMIT_OF_SHARE: f64 = 0.5;
const LIMIT_GROWTH: f64 = 1.05;
const LIMIT_REDUCTION: f64 = 0.93;
/// The part of a limit that must be in use for the limit to grow.
const MIN_USE_TO_GROW: f64 = 0.7;
/// The part of an engine's limit that must be in use for the limit to shrink.
const MIN_USE_TO_SHRINK: f64 = 0.5;
/// What is left of an engine's limit after it rejected a job for lack of capacity.
const REDUCTION_ON_OVERLOAD: f64 = 0.8;
/// How long nothing is sent to an engine that rejected a job for lack of capacity.
const OVERLOAD_PAUSE: TimeDelta = TimeDelta(250_000);

/// How far back slowdown counts.
const SLOWDOWN_TIME_CONSTANT: TimeDelta = TimeDelta(3_000_000);
/// How far back an engine's slowdown counts without reports: as far as to the last job there.
const SLOWDOWN_TIME_CONSTANT_WITHOUT_REPORTS: TimeDelta = TimeDelta(15_000_000);
/// No slowdown is presumed as firmly as this much unloaded run time would show it (ms).
const PRIOR_RUN_MS: f64 = 500.0;

/// What this gateway can know of the load that other gateways cause.
#[derive(Clone, Copy, Debug)]
pub struct LoadVisibility {
    /// Gateways are so many that limits are for all of them together.
    pub fleet_is_large: bool,
    /// Reports can't be had for each job's pair: gateways decide on their own figures.
    pub lacks_load_reports: bool,
}

impl LoadVisibility {
    fn slowdown_time_constant(self) -> TimeDelta {
        if self.lacks_load_reports { SLOWDOWN_TIME_CONSTANT_WITHOUT_REPORTS } else { SLOWDOWN_TIME_CONSTANT }
    }
}

/// What a job tells of slowdown.
#[derive(Clone, Copy, Debug)]
pub struct SlowdownSample {
    /// Time taken over unloaded time, over the baseline of the class.
    pub slowdown: f64,
    /// How long the job runs without load (ms).
    pub run_ms: f64,
    /// Weight of the sample; 1 for a finished job.
    pub weight: f64,
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
        let max = MAX_SLOWDOWN * (PRIOR_RUN_MS / sample.run_ms).max(1.0);
        let (slowdown, weight) = (sample.slowdown.min(max), sample.run_ms * sample.weight);
        self.slowdown.add(now, visibility.slowdown_time_constant(), slowdown, weight);
    }

    /// Moves the limit by the utilization and the slowdown of the engine and of the pool.
    fn update(&mut self, now: Timestamp, visibility: LoadVisibility, presumed: f64, load: EngineLoad) {
        let time_constant = visibility.slowdown_time_constant();
        let slowdown = self.slowdown.update_mean(now, time_constant, presumed, PRIOR_RUN_MS);
        let relative = (load.pool_slowdown / slowdown).min(1.0);
        let min = MIN_LIMIT_OF_SHARE
            * self.equal_share
            * if visibility.lacks_load_reports { 1.0 } else { relative };
        if slowdown > OVERLOAD_SLOWDOWN && load.utilization > MIN_USE_TO_SHRINK * self.limit {
            self.limit = (self.limit * LIMIT_REDUCTION).max(min);
        } else if slowdown < HEALTHY_SLOWDOWN && load.utilization > MIN_USE_TO_GROW * self.limit {
            self.limit = (self.limit * LIMIT_GROWTH).min(MAX_ENGINE_LIMIT);
        }
    }
}

/// What moves an engine's limit.
#[derive(Clone, Copy, Debug)]
pub struct EngineLoad {
    /// Utilization that counts against the limit.
    pub utilization: f64,
    /// Slowdown of the whole pool.
    pub pool_slowdown: f64,
}

/// Moves an engine's limit.
pub fn update_engine_limit(
    engine: &mut Engine,
    now: Timestamp,
    visibility: LoadVisibility,
    load: EngineLoad,
) {
    // Where reported processor use stands still at full, an engine little seen is presumed to be as slow as the pool.
    let processor_only = engine.limit.covers_all_gateways && engine.reported.jobs_in_flight.is_none();
    let presumed = if processor_only { load.pool_slowdown } else { 1.0 };
    engine.limit.update(now, visibility, presumed, load);
}

/// An engine rejected a job for lack of capacity: lowers its limit and leaves it alone for a moment.
pub fn engine_overloaded(engine: &mut Engine, now: Timestamp) {
    let own = own_utilization(engine, Demand::NONE);
    let limit = &mut engine.limit;
    let full_at = if limit.covers_all_gateways { limit.limit } else { own };
    let min = MIN_LIMIT_OF_SHARE * limit.equal_share;
    limit.overloaded_until = now + OVERLOAD_PAUSE;
    limit.limit = limit.limit.min(full_at * REDUCTION_ON_OVERLOAD).max(min);
}

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
        let (slowdown, weight) = (sample.slowdown.min(MAX_SLOWDOWN), sample.run_ms * sample.weight);
        self.slowdown.add(now, SLOWDOWN_TIME_CONSTANT, slowdown, weight);
    }

    /// Counts a job that an engine rejected for lack of capacity.
    pub fn observe_overload(&mut self, now: Timestamp, run_ms: f64) {
        self.slowdown.add(now, SLOWDOWN_TIME_CONSTANT, MAX_SLOWDOWN, run_ms);
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

/// This gateway's equal share of the pool, in threads: half of what uses it fully.
pub fn equal_share_of_pool(pool_cores: f64, gateway_count: f64) -> f64 {
    MIN_LIMIT_OF_SHARE * THREADS_PER_CORE * pool_cores / gateway_count
}
