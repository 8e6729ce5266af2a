//! What is done at regular intervals: limits move, silent engines are ejected, half-open ones checked, what is not
//! used any more is evicted.

use crate::concurrency::{EngineLoad, GatewayLoad, HEALTHY_SLOWDOWN, MIN_LIMIT_OF_SHARE, MIN_LIMIT_SLOWDOWN};
use crate::engine::THREADS_PER_CORE;
use crate::health::MAX_CHECK_AGE;
use crate::interface::EngineId;
use crate::job::PendingJob;
use crate::state::ControllerState;
use crate::time::TimeDelta;
use crate::timers::Timer;
use crate::utilization::{Demand, utilization};
use crate::{admission, rules, stuck_jobs};
use std::collections::BTreeSet;

/// The interval of maintenance.
pub const INTERVAL: TimeDelta = TimeDelta(250_000);

/// How long engines that are gone and table groups that are not met are remembered.
const RETENTION: TimeDelta = TimeDelta(60_000_000);

/// Runs all maintenance and schedules the next run.
pub fn run(state: &mut ControllerState) {
    state.schedule_in(INTERVAL, Timer::Maintenance);
    state.selection.step_target(state.now);
    update_limits(state);
    stuck_jobs::observe_overdue_jobs(state);
    stuck_jobs::expire_hopeless_jobs(state);
    stuck_jobs::eject_silent_engines(state);
    check_half_open_engines(state);
    evict_unused(state);
    admission::place_waiting_jobs(state);
}

fn update_limits(state: &mut ControllerState) {
    let pool_slowdown = state.concurrency.update_slowdown(state.now);
    update_gateway_limit(state, pool_slowdown);
    update_saturation(state, pool_slowdown);
    for class in &mut state.classes {
        class.update_baselines(state.now);
    }
    let (now, visibility) = (state.now, state.visibility());
    for engine in state.pool.engines.values_mut() {
        let utilization = utilization(engine, Demand::NONE, &state.traffic, now);
        let jobs_are_reported = engine.reported.jobs_in_flight.is_some();
        let load = EngineLoad { utilization, pool_slowdown, jobs_are_reported };
        engine.limit.update(now, visibility, load);
    }
}

fn update_gateway_limit(state: &mut ControllerState, pool_slowdown: f64) {
    let (now, traffic) = (state.now, &state.traffic);
    let load = GatewayLoad {
        in_flight: state.pool.threads_in_flight(),
        expected_when_healthy: traffic.expected_threads(now, HEALTHY_SLOWDOWN),
        expected_at_least: traffic.expected_threads(now, MIN_LIMIT_SLOWDOWN),
        equal_share: MIN_LIMIT_OF_SHARE * THREADS_PER_CORE * state.pool.running_cores
            / state.settings.gateway_count,
    };
    state.concurrency.update_limit(pool_slowdown, load);
}

fn update_saturation(state: &mut ControllerState, pool_slowdown: f64) {
    let jobs_wait = state.concurrency.saturated && rules::jobs_wait_for_capacity(state);
    state.concurrency.update_saturation(pool_slowdown, jobs_wait);
}

/// Health-checks the half-open engines that have nothing in flight.
fn check_half_open_engines(state: &mut ControllerState) {
    if !state.settings.permissions.health_checks {
        return;
    }
    for id in state.pool.running.clone() {
        let engine = &state.pool.engines[&id];
        let is_due = engine.ejection.half_open
            && engine.in_flight.dispatches == 0
            && state.now - engine.health_check.sent_at >= MAX_CHECK_AGE;
        if is_due {
            state.start_health_check(id);
        }
    }
}

/// Forgets engines that are gone and that no open job concerns, and table groups and keys that are not in use any more.
fn evict_unused(state: &mut ControllerState) {
    let now = state.now;
    let used: BTreeSet<EngineId> = state.jobs.values().flat_map(PendingJob::engines).collect();
    let evicted = state.pool.evict_unused(now, RETENTION, &used);
    state.actions.forgotten_engines.extend(evicted);
    state.traffic.evict_unused(now, RETENTION);
    let traffic = &state.traffic;
    state.pool.retain_engine_orders(|table_group| traffic.is_active_table_group(table_group));
    state.key_order.evict_unused(now);
}
