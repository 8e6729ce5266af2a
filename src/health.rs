//! Budget for health checks, and the load of an engine as shown by the elapsed time of its checks.

use crate::concurrency::OVERLOAD_SLOWDOWN;
use crate::engine::Engine;
use crate::estimators::MeanSuccessiveDifference;
use crate::settings::ControllerSettings;
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// Minimum interval between health checks of one engine. A load report that is older is refreshed by a check.
pub const MIN_CHECK_INTERVAL: TimeDelta = TimeDelta::from_millis(500);

/// Maximum number of tokens in the bucket; each allows one health check.
const MAX_TOKENS: f64 = 12.0;
/// Fraction of [`MAX_TOKENS`] that a large gateway fleet reserves for jobs of at least the mean priority weight.
const RESERVED_TOKEN_FRACTION: f64 = 0.5;
/// Tokens added for each job in a small gateway fleet.
const TOKENS_PER_JOB_IN_SMALL_FLEET: f64 = 0.25;
/// Maximum number of tokens added for each job in a large gateway fleet.
const MAX_TOKENS_PER_JOB: f64 = 4.0;
/// Points that health checks may cost for each job in a large gateway fleet.
const CHECK_POINTS_PER_JOB: f64 = 0.025;
/// Number of health checks that give load reports for both engines of a job's pair.
const CHECKS_PER_PAIR: f64 = 2.0;

/// Below this processor utilization, differences between the elapsed times of an engine's checks are jitter, not load.
const IDLE_UTILIZATION: f64 = 0.5;
/// Number of recent differences between consecutive checks over which a location's jitter is averaged, approximately.
const MAX_JITTER_SAMPLES: f64 = 32.0;
/// Minimum number of such differences before elapsed times are taken as a sign of load.
const MIN_JITTER_SAMPLES: u32 = 4;
/// A check shows load only if it exceeds the location's minimum time by more than this multiple of the mean jitter.
const MIN_JITTER_MULTIPLE: f64 = 4.0;
/// Factor by which the minimum time of a location grows with each check, so that it does not stay too low permanently.
const MIN_TIME_GROWTH_PER_CHECK: f64 = 1.0005;
/// Lower bound of a location's minimum time (ms).
const MIN_TIME_FLOOR_MS: f64 = 1e-3;

/// Number of health checks added to the budget for each submitted job; in a large gateway fleet it depends on their
/// price.
pub fn checks_per_job(settings: &ControllerSettings, gateway_fleet_is_large: bool) -> f64 {
    if !gateway_fleet_is_large {
        return TOKENS_PER_JOB_IN_SMALL_FLEET;
    }
    (CHECK_POINTS_PER_JOB / settings.health_check_price.max(1e-6)).min(MAX_TOKENS_PER_JOB)
}

/// Whether the budget is too small for health checks of both engines of each job's pair.
pub fn lacks_load_reports(settings: &ControllerSettings, gateway_fleet_is_large: bool) -> bool {
    gateway_fleet_is_large && checks_per_job(settings, gateway_fleet_is_large) < CHECKS_PER_PAIR
}

/// Token bucket that limits health checks, and statistics of their elapsed times by location.
#[derive(Default)]
pub struct HealthChecks {
    tokens: f64,
    /// Minimum elapsed time of a check (ms) at each location; grows slowly.
    min_elapsed_ms: BTreeMap<usize, f64>,
    /// Mean difference (ms) between consecutive checks of an idle engine, at each location.
    jitter_ms: BTreeMap<usize, MeanSuccessiveDifference>,
}

impl HealthChecks {
    /// Adds the tokens for a submitted job, see [`checks_per_job`].
    pub fn add_tokens(&mut self, checks: f64) {
        self.tokens = (self.tokens + checks).min(MAX_TOKENS);
    }

    /// Takes the token for one check.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Whether a token for one more check is left after `count` other checks have taken theirs.
    pub fn has_token_after(&self, count: usize) -> bool {
        self.tokens >= 1.0 + count as f64
    }

    /// Whether there are more tokens than those reserved for jobs of at least the mean priority weight.
    pub fn has_unreserved_tokens(&self) -> bool {
        self.tokens > RESERVED_TOKEN_FRACTION * MAX_TOKENS
    }

    /// Raises the engine's processor utilization to the load that the check's elapsed time shows.
    ///
    /// Reported processor utilization is capped at full use and falls when memory runs out. The elapsed time also shows
    /// an overload, once the jitter of checks without load is known.
    pub fn observe_elapsed(&mut self, engine: &mut Engine, elapsed: TimeDelta) {
        let elapsed_ms = elapsed.as_millis_f64();
        let location = engine.endpoint.location;
        let min_ms = self.min_elapsed_ms.entry(location).or_insert(f64::INFINITY);
        *min_ms = (*min_ms * MIN_TIME_GROWTH_PER_CHECK).min(elapsed_ms).max(MIN_TIME_FLOOR_MS);
        let jitter = self.jitter_ms.entry(location).or_default();
        let is_idle = engine.reported.processor.is_some_and(|utilization| utilization < IDLE_UTILIZATION);
        let previous = engine.health_check.idle_elapsed_ms.take();
        engine.health_check.idle_elapsed_ms = is_idle.then_some(elapsed_ms);
        if let Some((previous, current)) = previous.zip(engine.health_check.idle_elapsed_ms) {
            jitter.add((current - previous).abs(), MAX_JITTER_SAMPLES);
        }
        let shows_load = jitter.count() >= MIN_JITTER_SAMPLES
            && elapsed_ms > *min_ms + MIN_JITTER_MULTIPLE * jitter.mean();
        let utilization_by_time = if shows_load { elapsed_ms / *min_ms / OVERLOAD_SLOWDOWN } else { 0.0 };
        engine.reported.processor =
            engine.reported.processor.map(|utilization| utilization.max(utilization_by_time));
    }
}

/// Whether a warm engine appears to have restarted although the endpoint list shows no restart: it had many jobs in
/// flight (`jobs_before`) and now reports none.
pub fn has_unlisted_restart(
    engine: &Engine,
    jobs_before: f64,
    now: Timestamp,
    warm_up_time: TimeDelta,
) -> bool {
    let emptied =
        jobs_before > engine.cores / 2.0 && engine.reported.jobs_in_flight.is_some_and(|jobs| jobs < 1.0);
    let was_warm = engine.endpoint.started_at.is_none_or(|started_at| started_at + warm_up_time < now);
    emptied && was_warm
}
