//! Decides when an engine is health-checked, and what a check's elapsed time shows of its load.

use crate::concurrency::OVERLOAD_SLOWDOWN;
use crate::engine::Engine;
use crate::estimators::MeanSuccessiveDifference;
use crate::settings::ControllerSettings;
use crate::time::{TimeDelta, Timestamp};
use std::collections::BTreeMap;

/// The age from which a report of all gateways' load is refreshed; engines are checked at most this often.
pub const MAX_CHECK_AGE: TimeDelta = TimeDelta(500_000);

/// The most health checks that are saved up for later jobs.
const MAX_TOKENS: f64 = 12.0;
/// The part of the saved checks that jobs of little value leave to others.
const TOKENS_FOR_VALUABLE_JOBS: f64 = 0.5;
const CHECKS_PER_JOB_IN_SMALL_FLEET: f64 = 0.25;
const MAX_CHECKS_PER_JOB: f64 = 4.0;
/// Points that health checks may cost, per job.
const PRICE_PER_JOB: f64 = 0.025;
/// Checks that a job needs for its pair.
const CHECKS_PER_PAIR: f64 = 2.0;

/// Below this processor utilization a check's time varies by itself, not by load.
const IDLE_UTILIZATION: f64 = 0.5;
/// Differences behind the mean variation of checks at a location.
const VARIATION_MEMORY: f64 = 32.0;
/// The fewest differences that the variation may rest on.
const MIN_VARIATION_COUNT: u32 = 4;
/// A check shows load only if it takes longer than the least time by this multiple of the mean variation.
const MIN_VARIATIONS_ABOVE_LEAST: f64 = 4.0;
/// How fast the least time of a location rises from check to check.
const LEAST_TIME_RISE: f64 = 1.0005;
const MIN_LEAST_TIME_MS: f64 = 1e-3;

/// Health checks that the ordinary job may cause: in a large fleet, by the price of a check.
pub fn checks_per_job(settings: &ControllerSettings, gateway_fleet_is_large: bool) -> f64 {
    if !gateway_fleet_is_large {
        return CHECKS_PER_JOB_IN_SMALL_FLEET;
    }
    (PRICE_PER_JOB / settings.health_check_price.max(1e-6)).min(MAX_CHECKS_PER_JOB)
}

/// Whether checks are too dear for each job's pair.
pub fn lacks_load_reports(settings: &ControllerSettings, gateway_fleet_is_large: bool) -> bool {
    gateway_fleet_is_large && checks_per_job(settings, gateway_fleet_is_large) < CHECKS_PER_PAIR
}

/// The budget of health checks, and what is usual for their time at each location.
#[derive(Default)]
pub struct HealthChecks {
    tokens: f64,
    /// The least time of a check (ms); rises slowly.
    least_elapsed_ms: BTreeMap<usize, f64>,
    /// How much checks of one engine that is not busy vary from one to the next (ms).
    variation_ms: BTreeMap<usize, MeanSuccessiveDifference>,
}

impl HealthChecks {
    /// A job was submitted: adds the checks that it may cause.
    pub fn add_tokens(&mut self, checks: f64) {
        self.tokens = (self.tokens + checks).min(MAX_TOKENS);
    }

    /// Takes the token of one check.
    pub fn take_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Whether one more check can be paid for besides `count` others.
    pub fn has_token_besides(&self, count: usize) -> bool {
        self.tokens >= 1.0 + count as f64
    }

    /// Whether enough is saved up for jobs of little value too.
    pub fn has_tokens_for_all(&self) -> bool {
        self.tokens > TOKENS_FOR_VALUABLE_JOBS * MAX_TOKENS
    }

    /// Raises the engine's processor utilization to what the check's elapsed time shows.
    ///
    /// Reported processor utilization is capped at full use and falls when memory runs out. The elapsed time shows
    /// more, once it is known how much it varies without load.
    pub fn observe_elapsed(&mut self, engine: &mut Engine, elapsed: TimeDelta) {
        let elapsed_ms = elapsed.as_millis_f64();
        let location = engine.endpoint.location;
        let least = self.least_elapsed_ms.entry(location).or_insert(f64::INFINITY);
        *least = (*least * LEAST_TIME_RISE).min(elapsed_ms).max(MIN_LEAST_TIME_MS);
        let variation = self.variation_ms.entry(location).or_default();
        let is_idle = engine.reported.processor.is_some_and(|utilization| utilization < IDLE_UTILIZATION);
        let previous = engine.health_check.idle_elapsed_ms.take();
        engine.health_check.idle_elapsed_ms = is_idle.then_some(elapsed_ms);
        if let Some((previous, current)) = previous.zip(engine.health_check.idle_elapsed_ms) {
            variation.add((current - previous).abs(), VARIATION_MEMORY);
        }
        let shows_load = variation.count() >= MIN_VARIATION_COUNT
            && elapsed_ms > *least + MIN_VARIATIONS_ABOVE_LEAST * variation.mean();
        let by_time = if shows_load { elapsed_ms / *least / OVERLOAD_SLOWDOWN } else { 0.0 };
        engine.reported.processor = engine.reported.processor.map(|utilization| utilization.max(by_time));
    }
}

/// Whether an engine has restarted unseen by the endpoint list: it had many jobs in flight and then none.
pub fn has_restarted_unseen(
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
