//! Decides whether a dispatch is allowed at all: the seven rules, checked before every dispatch.
//!
//! 1. A job gets one final answer in time; nothing is sent for a job that has it.
//! 2. Nothing that may have run is run again unless it may be repeated there and then.
//! 3. Nothing is sent to a draining engine.
//! 4. No more is sent to a warming engine than slow start allows, by all gateways together.
//! 5. Jobs of one key run one by one in the order of arrival, where their class is ordered by key.
//! 6. A job runs only in the locations and on the machine types that its class is confined to.
//! 7. Retries keep to the retry budget.

use crate::interface::{EngineId, JobId, LifecycleState};
use crate::settings::RetrySafety;
use crate::state::ControllerState;
use crate::{placement, retry};

/// Whether a job may be dispatched now, as far as that does not depend on the engine.
pub fn may_dispatch(state: &ControllerState, id: JobId) -> bool {
    let job = &state.jobs[&id];
    // Rule 1, and no two dispatches at once.
    let is_open = !job.is_finished() && job.in_flight().is_none();
    // Rule 5.
    let is_next = || state.ordering_key(job).is_none_or(|key| state.key_order.is_next(key, id, state.now));
    // Rule 7.
    let within_budget =
        || job.dispatch_count == 0 || state.retry_budget.allows_retry(&state.settings, state.now);
    is_open && is_next() && within_budget() && may_dispatch_again(state, id)
}

/// Whether a job may have one more dispatch, as far as its time, its effect and their number go.
pub fn may_dispatch_again(state: &ControllerState, id: JobId) -> bool {
    let job = &state.jobs[&id];
    retry::may_dispatch_again(job, state.class_settings_of(job), &state.settings, state.now)
}

/// Whether a job may be dispatched to this engine now.
pub fn may_dispatch_to(state: &ControllerState, id: JobId, engine: EngineId) -> bool {
    let (job, engine) = (&state.jobs[&id], &state.pool.engines[&engine]);
    let class = state.class_of(job);
    // Rule 2, as far as the dispatch's deadline does not see to it.
    let first_run = job.possible_run.filter(|_| class.settings.retry_safety == RetrySafety::IdempotencyKey);
    let keeps_idempotency = first_run.is_none_or(|run| {
        let first = &state.pool.engines[&run.engine].endpoint;
        retry::shares_idempotency_keys(&class.settings, first, &engine.endpoint)
    });
    // Rule 3: at once, well within the grace. Rule 4.
    let takes_work = engine.endpoint.lifecycle == LifecycleState::Running
        && state.slow_start().remaining_budget(engine) >= class.typical_work_ms();
    // Rule 6.
    keeps_idempotency && takes_work && placement::allows(&class.settings, &engine.endpoint)
}

/// Whether any job waits for capacity, not for its key's turn or for the retry budget.
pub fn jobs_wait_for_capacity(state: &ControllerState) -> bool {
    let waits = |id: &JobId| state.jobs.contains_key(id) && may_dispatch(state, *id);
    state.waiting.jobs.iter().any(waits)
}
