//! Periodic maintenance: updates limits, ejects silent engines, health-checks half-open ones and evicts unused entries.

use crate::concurrency::{
    EngineLoad, GatewayLoad, HEALTHY_SLOWDOWN, MIN_LIMIT_FRACTION_OF_SHARE, MIN_LIMIT_SLOWDOWN,
};
use crate::engine::THREADS_PER_CORE;
use crate::health::MIN_CHECK_INTERVAL;
use crate::interface::EngineId;
use crate::job::PendingJob;
use crate::state::ControllerState;
use crate::time::TimeDelta;
use crate::timers::Timer;
use crate::utilization::{Demand, utilization};
use crate::{admission, rules, stuck_jobs};
use std::collections::BTreeSet;

/// Interval between two runs of maintenance.
pub const INTERVAL: TimeDelta = TimeDelta::from_millis(250);

/// How long engines that are gone and table groups without new jobs are kept.
const RETENTION: TimeDelta = TimeDelta::from_millis(60_000);

/// Runs all maintenance and schedules the next run.
pub fn run(state: &mut ControllerState) {
    state.schedule_in(INTERVAL, Timer::Maintenance);
    state.selection.step_target(state.now);
    update_limits(state);
    stuck_jobs::observe_overdue_jobs(state);
    stuck_jobs::shed_late_jobs(state);
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
        expected_at_min_slowdown: traffic.expected_threads(now, MIN_LIMIT_SLOWDOWN),
        min_share: MIN_LIMIT_FRACTION_OF_SHARE * THREADS_PER_CORE * state.pool.running_cores
            / state.settings.gateway_count,
    };
    state.concurrency.update_limit(pool_slowdown, load);
}

fn update_saturation(state: &mut ControllerState, pool_slowdown: f64) {
    let jobs_wait = state.concurrency.saturated && rules::jobs_wait_for_capacity(state);
    state.concurrency.update_saturation(pool_slowdown, jobs_wait);
}

/// Starts health checks of the half-open engines that have no dispatch in flight.
fn check_half_open_engines(state: &mut ControllerState) {
    if !state.settings.permissions.health_checks {
        return;
    }
    for id in state.pool.running.clone() {
        let engine = &state.pool.engines[&id];
        let is_due = engine.ejection.half_open
            && engine.in_flight.dispatches == 0
            && state.now - engine.health_check.sent_at >= MIN_CHECK_INTERVAL;
        if is_due {
            state.start_health_check(id);
        }
    }
}

/// Evicts engines that are gone, have sent nothing for [`RETENTION`] and have no open job. Also evicts table groups and
/// keys that are no longer in use.
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
