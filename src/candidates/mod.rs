//! Decides which engines a job may be sent to: the first ones with capacity in its table group's hashed order.

mod capacity;
mod order;
mod walk;

use crate::concurrency::MAX_ENGINE_UTILIZATION;
use crate::dispatch::Target;
use crate::engine::Engine;
use crate::interface::{EngineId, JobId};
use crate::rules;
use crate::selection::SelectionContext;
use crate::state::ControllerState;
use crate::utilization::{Demand, own_utilization};
use walk::{Candidates, Walk};

/// Number of engines that serve a table group, as a multiple of the engines that its share of the traffic needs. The
/// same multiple of this gateway's mean work per engine is the share that one engine may get.
const REPLICATION_FACTOR: f64 = 1.5;

/// Chooses an engine for a job; `None` if the job has to wait for an engine or for a health check.
pub fn choose(state: &mut ControllerState, id: JobId) -> Option<Target> {
    if !rules::may_dispatch(state, id) {
        return None;
    }
    let order = state.pool.engine_order(state.jobs[&id].request.table_group);
    let draw = if state.pool.gateway_fleet_is_large() { state.random.next_f64() } else { 0.0 };
    let candidates = Walk::new(state, id, &order, draw).run();
    if !candidates.to_check.is_empty() {
        start_health_checks(state, &candidates.to_check);
        state.waiting.found_no_capacity = false;
        return None;
    }
    state.waiting.found_no_capacity = candidates.has_none_available();
    let pair = pick_pair(state, candidates);
    match pair[..] {
        [first, second, ..] => Some(choose_in_pair(state, [first, second], id)),
        [engine] => Some(Target { engine, choice: None }),
        [] => None,
    }
}

fn start_health_checks(state: &mut ControllerState, engines: &[EngineId]) {
    for engine in engines {
        if state.start_health_check(*engine) {
            state.health_checks.take_token();
        }
    }
}

/// The engines to choose from: a pair in this gateway's location if the walk found one, otherwise those with capacity
/// in the best tier.
///
/// If fewer than two have capacity, the least busy engines of the tier are used, even if they have reached their
/// limits. This is not done in a large gateway fleet or if the pool is saturated.
fn pick_pair(state: &ControllerState, candidates: Candidates) -> Vec<EngineId> {
    let visibility = state.visibility();
    let tier = candidates.best_tier(visibility.lacks_load_reports);
    let Candidates { mut eligible, mut available, local, .. } = candidates;
    let pair = if local.len() == 2 { local } else { std::mem::take(&mut available[tier]) };
    if pair.len() >= 2 || state.concurrency.saturated || visibility.gateway_fleet_is_large {
        return pair;
    }
    least_busy(state, std::mem::take(&mut eligible[tier]))
}

/// The engines that this gateway does not use fully by itself, the least busy one first.
fn least_busy(state: &ControllerState, mut engines: Vec<EngineId>) -> Vec<EngineId> {
    let (all, slow_start) = (&state.pool.engines, state.slow_start());
    engines.retain(|id| own_utilization(&all[id], Demand::NONE) < MAX_ENGINE_UTILIZATION);
    let load =
        |engine: &Engine| engine.in_flight.threads / (engine.cores * slow_start.capacity_fraction(engine));
    engines.sort_by(|a, b| load(&all[a]).total_cmp(&load(&all[b])));
    engines
}

fn choose_in_pair(state: &mut ControllerState, pair: [EngineId; 2], id: JobId) -> Target {
    let mut context = SelectionContext {
        now: state.now,
        gateway_count: state.settings.gateway_count,
        classes: &state.classes,
        pool: &mut state.pool,
        traffic: &mut state.traffic,
        random: &mut state.random,
    };
    let (engine, choice) = state.selection.choose(pair, &state.jobs[&id], &mut context);
    Target { engine, choice: Some(choice) }
}
