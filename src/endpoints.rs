//! Applies updates of the endpoint list to the pool, and polls the list again after a failure.

use crate::admission;
use crate::interface::{Endpoint, EngineId, ListScope};
use crate::state::ControllerState;
use crate::time::TimeDelta;
use crate::timers::Timer;
use std::collections::BTreeSet;

/// Minimum delay before the endpoint list is polled again after a failure.
const MIN_POLL_BACKOFF: TimeDelta = TimeDelta::from_millis(250);
/// Maximum random addition to the backoff, as a multiple of [`MIN_POLL_BACKOFF`].
const POLL_BACKOFF_JITTER: f64 = 3.0;

/// Applies an update of the endpoint list to the pool and tries to place the waiting jobs. If the list is complete,
/// engines that are not in it are marked as gone.
pub fn apply_update(state: &mut ControllerState, scope: ListScope, endpoints: Vec<Endpoint>) {
    let listed: BTreeSet<EngineId> = endpoints.iter().map(|endpoint| endpoint.engine).collect();
    for endpoint in endpoints {
        if state.pool.update_endpoint(&state.settings, endpoint, state.now) {
            state.selection.restart_target_steps();
        }
    }
    if scope == ListScope::Complete {
        state.pool.mark_missing(&listed);
    }
    state.pool.rebuild(state.settings.gateway_count);
    admission::place_waiting_jobs(state);
}

/// Handles a failed request for the endpoint list: the last list remains in use, and if the list is polled, it is
/// requested again after a backoff.
pub fn handle_list_unavailable(state: &mut ControllerState) {
    if state.settings.polls_endpoint_list {
        let backoff = MIN_POLL_BACKOFF.mul_f64(1.0 + POLL_BACKOFF_JITTER * state.random.next_f64());
        state.schedule_in(backoff, Timer::PollEndpointList);
    }
}
