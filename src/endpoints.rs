//! Follows the endpoint list: which engines there are, which run, and when the list is asked for again.

use crate::admission;
use crate::interface::{Endpoint, EngineId, ListScope};
use crate::state::ControllerState;
use crate::time::TimeDelta;
use crate::timers::Timer;
use std::collections::BTreeSet;

const MIN_POLL_BACKOFF: TimeDelta = TimeDelta(250_000);
/// What chance adds to the backoff at most, over the least one.
const POLL_BACKOFF_JITTER: f64 = 3.0;

/// Takes over what the endpoint list says.
pub fn update(state: &mut ControllerState, scope: ListScope, endpoints: Vec<Endpoint>) {
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

/// The list could not be had: the old one stands and is asked for again.
pub fn unavailable(state: &mut ControllerState) {
    if state.settings.polls_endpoint_list {
        let backoff = MIN_POLL_BACKOFF.mul_f64(1.0 + POLL_BACKOFF_JITTER * state.random.next_f64());
        state.schedule_in(backoff, Timer::PollEndpointList);
    }
}
