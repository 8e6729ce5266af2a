//! Decides how a job ends without an engine's answer: rejected or cancelled; cancels what is in flight and releases
//! the job.

use crate::interface::{DispatchId, FinalAnswer, JobId};
use crate::retry;
use crate::state::ControllerState;
use crate::time::TimeDelta;
use crate::timers::Timer;

/// When the client of a rejected job is to try again.
const RETRY_AFTER: TimeDelta = TimeDelta(1_000_000);

/// Gives a job its final answer: rejected where a retry is harmless, else cancelled for good.
pub fn expire(state: &mut ControllerState, id: JobId) {
    let Some(job) = state.jobs.get_mut(&id).filter(|job| !job.is_finished()) else { return };
    let class = &state.classes[job.request.class].settings;
    let answer = if retry::client_retry_is_harmless(job, class) {
        FinalAnswer::Rejected { retry_after: RETRY_AFTER }
    } else {
        FinalAnswer::Cancelled
    };
    job.finish();
    state.actions.answers.push((id, answer));
    cancel_dispatch(state, id);
    release(state, id);
}

/// Cancels a job's dispatch in flight, where that is allowed.
pub fn cancel_dispatch(state: &mut ControllerState, id: JobId) {
    if !state.settings.permissions.cancellation {
        return;
    }
    let dispatch = state.jobs.get_mut(&id).and_then(|job| job.in_flight_mut());
    if let Some(dispatch) = dispatch.filter(|dispatch| !dispatch.cancelled) {
        dispatch.cancelled = true;
        state.actions.cancellations.push(DispatchId { job: id, attempt: dispatch.attempt });
    }
}

/// Forgets a job that is over and has nothing in flight; the next job of its key may then run.
pub fn release(state: &mut ControllerState, id: JobId) {
    let Some(job) = state.jobs.get(&id).filter(|job| job.is_releasable()) else { return };
    if let Some(key) = state.ordering_key(job) {
        if let Some(unknown_at) = job.outcome_unknown_at {
            state.key_order.keep_quiet(key, unknown_at + state.settings.contract.key_quiet_time);
        }
        state.key_order.remove(key, id);
        let available_at = state.key_order.quiet_until(key).unwrap_or(state.now);
        state.timers.schedule_at(available_at, Timer::KeyAvailable);
    }
    if state.jobs.remove(&id).is_some_and(|job| job.is_queued()) {
        state.waiting.remove(id);
    }
    state.actions.released_jobs.push(id);
}
