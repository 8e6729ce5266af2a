//! Concurrency limits of each engine and of this gateway, and whether the pool is saturated.
//!
//! A limit grows while it is used and slowdown is low, and shrinks while slowdown is high. *Slowdown* is the ratio of
//! the time that a job takes to the time that it would take without load.

mod engine_limit;
mod gateway_limit;

pub use engine_limit::{EngineLimit, EngineLoad, MAX_ENGINE_UTILIZATION};
pub use gateway_limit::{GatewayConcurrency, GatewayLoad, MIN_LIMIT_SLOWDOWN};

use crate::time::TimeDelta;

/// Above this slowdown, an engine counts as overloaded and limits shrink.
pub const OVERLOAD_SLOWDOWN: f64 = 2.0;
/// Below this slowdown, engine limits grow.
pub const HEALTHY_SLOWDOWN: f64 = 1.5;
/// Minimum limit of an engine or a gateway, as a fraction of the gateway's equal share.
pub const MIN_LIMIT_FRACTION_OF_SHARE: f64 = 0.5;

/// Factor by which each update raises a limit.
const LIMIT_GROWTH: f64 = 1.05;
/// Factor by which each update lowers a limit.
const LIMIT_REDUCTION: f64 = 0.93;
/// Fraction of a limit that must be in use for the limit to grow.
const MIN_USE_TO_GROW: f64 = 0.7;

/// Time constant with which the weight of past slowdown decays.
const SLOWDOWN_TIME_CONSTANT: TimeDelta = TimeDelta::from_millis(3_000);
/// The same for an engine's slowdown without load reports; longer, to reach back to the last job there.
const SLOWDOWN_TIME_CONSTANT_WITHOUT_REPORTS: TimeDelta = TimeDelta::from_millis(15_000);
/// Weight of the prior slowdown in a mean, as unloaded run time (ms).
const PRIOR_RUN_MS: f64 = 500.0;

/// What this gateway can know of the load that other gateways cause.
#[derive(Clone, Copy, Debug)]
pub struct LoadVisibility {
    /// The pool has so many gateways that an equal share of an engine is less than one thread: engine limits cover all
    /// gateways together.
    pub gateway_fleet_is_large: bool,
    /// Health checks are too expensive to get load reports for each job's pair: the gateway relies on its own figures.
    pub lacks_load_reports: bool,
}

impl LoadVisibility {
    fn slowdown_time_constant(self) -> TimeDelta {
        if self.lacks_load_reports { SLOWDOWN_TIME_CONSTANT_WITHOUT_REPORTS } else { SLOWDOWN_TIME_CONSTANT }
    }
}

/// One job's contribution to a mean slowdown.
#[derive(Clone, Copy, Debug)]
pub struct SlowdownSample {
    /// Ratio of elapsed to unloaded run time, divided by the baseline of the job's class.
    pub slowdown: f64,
    /// Unloaded run time of the job (ms).
    pub run_ms: f64,
    /// Weight of the sample; 1 for a finished job.
    pub weight: f64,
}
