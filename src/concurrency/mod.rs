//! Decides how much may be in flight: the limit of each engine, the limit of this gateway, and whether the pool
//! is saturated.
//!
//! A limit grows while it is used and jobs keep their pace, and shrinks when they do not. *Slowdown* is the time
//! that a job takes over the time that it would take without load.

mod engine_limit;
mod gateway_limit;

pub use engine_limit::{EngineLimit, EngineLoad, MAX_ENGINE_LIMIT};
pub use gateway_limit::{GatewayConcurrency, GatewayLoad, MIN_LIMIT_SLOWDOWN};

use crate::time::TimeDelta;

/// From this slowdown on limits shrink.
pub const OVERLOAD_SLOWDOWN: f64 = 2.0;
/// Below this slowdown limits grow.
pub const HEALTHY_SLOWDOWN: f64 = 1.5;
/// The least limit of an engine or a gateway, over its equal share.
pub const MIN_LIMIT_OF_SHARE: f64 = 0.5;

const LIMIT_GROWTH: f64 = 1.05;
const LIMIT_REDUCTION: f64 = 0.93;
/// The part of a limit that must be in use for the limit to grow.
const MIN_USE_TO_GROW: f64 = 0.7;

/// How far back slowdown counts.
const SLOWDOWN_TIME_CONSTANT: TimeDelta = TimeDelta(3_000_000);
/// How far back an engine's slowdown counts without reports: as far as to the last job there.
const SLOWDOWN_TIME_CONSTANT_WITHOUT_REPORTS: TimeDelta = TimeDelta(15_000_000);
/// The absence of slowdown is presumed with the weight of this much unloaded run time (ms).
const PRIOR_RUN_MS: f64 = 500.0;

/// What this gateway can know of the load that other gateways cause.
#[derive(Clone, Copy, Debug)]
pub struct LoadVisibility {
    /// The gateways are too many for each to have its own limit of an engine: limits cover all of them.
    pub gateway_fleet_is_large: bool,
    /// Reports can't be had for each job's pair: gateways decide on their own figures.
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
    /// Time taken over unloaded time, over the baseline of the class.
    pub slowdown: f64,
    /// How long the job runs without load (ms).
    pub run_ms: f64,
    /// Weight of the sample; 1 for a finished job.
    pub weight: f64,
}
