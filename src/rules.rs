//! The seven rules that are checked before every dispatch.
//!
//! 1. A job gets exactly one final answer, in time; a job that has it is not dispatched any more.
//! 2. A job that may have run is only run again if its retry safety allows that, on that engine and at that time.
//! 3. No job is sent to a draining engine.
//! 4. All gateways together send no more work to a warming engine than slow start allows.
//! 5. If their class is ordered by key, jobs of one key run one at a time, in the order of arrival.
//! 6. A job runs only in the locations and on the machine types that its class allows.
//! 7. Retries stay within the retry budget.

use crate::interface::{EngineId, JobId, LifecycleState};
use crate::settings::RetrySafety;
use crate::state::ControllerState;
use crate::{placement_constraints, retry};

/// Whether a job may be dispatched now by the rules that do not depend on the engine.
pub fn may_dispatch(state: &ControllerState, id: JobId) -> bool {
    let job = &state.jobs[&id];
    // Rule 1, and a job has at most one dispatch in flight.
    let is_open = !job.is_finished() && job.in_flight().is_none();
    // Rule 5.
    let is_next = || state.ordering_key(job).is_none_or(|key| state.key_order.is_next(key, id, state.now));
    // Rule 7.
    let within_budget =
        || job.dispatch_count == 0 || state.retry_budget.allows_retry(&state.settings, state.now);
    is_open && is_next() && within_budget() && may_dispatch_again(state, id)
}

/// Whether the deadline, the retry safety and the number of dispatches of a job allow one more dispatch.
pub fn may_dispatch_again(state: &ControllerState, id: JobId) -> bool {
    let job = &state.jobs[&id];
    retry::may_dispatch_again(job, state.class_settings_of(job), &state.settings, state.now)
}

/// Whether a job may be dispatched to this engine now by the rules that depend on the engine.
pub fn may_dispatch_to(state: &ControllerState, id: JobId, engine: EngineId) -> bool {
    let (job, engine) = (&state.jobs[&id], &state.pool.engines[&engine]);
    let class = state.class_of(job);
    // Rule 2, as far as the engine matters. `may_dispatch_again` checks whether and until when the job may run again.
    let first_run = job.possible_run.filter(|_| class.settings.retry_safety == RetrySafety::IdempotencyKey);
    let keeps_idempotency = first_run.is_none_or(|run| {
        let shares_keys = |first: &EngineId| {
            let first = state.pool.engines.get(first).map(|first| &first.endpoint);
            retry::shares_idempotency_keys(&class.settings, first, &engine.endpoint)
        };
        state.pool.possible_receivers(run.engine, run.sent_at).iter().all(shares_keys)
    });
    // Rule 3, without using the grace period after the engine starts draining. Rule 4.
    let takes_work = engine.endpoint.lifecycle == LifecycleState::Running
        && state.slow_start().remaining_budget_ms(engine) >= class.typical_work_ms();
    // Rule 6.
    keeps_idempotency && takes_work && placement_constraints::allows(&class.settings, &engine.endpoint)
}

/// Whether any waiting job lacks only capacity, i.e. does not wait for an earlier job of its key or the retry budget.
pub fn jobs_wait_for_capacity(state: &ControllerState) -> bool {
    let waits = |id: &JobId| state.jobs.contains_key(id) && may_dispatch(state, *id);
    state.waiting.jobs.iter().any(waits)
}
