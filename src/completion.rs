//! Ends jobs: gives the final answer to jobs without a result, cancels their dispatches and releases finished jobs.

use crate::interface::{DispatchId, FinalAnswer, JobId};
use crate::retry;
use crate::state::ControllerState;
use crate::time::TimeDelta;
use crate::timers::Timer;

/// Delay after which the client of a rejected job should retry.
const REJECTION_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(1_000);

/// Ends a job that has no result, and cancels its dispatch in flight. The final answer is a rejection if a retry by the
/// client is harmless, otherwise a permanent cancellation.
pub fn finish_without_result(state: &mut ControllerState, id: JobId) {
    let Some(job) = state.jobs.get_mut(&id).filter(|job| !job.is_finished()) else { return };
    let class = &state.classes[job.request.class].settings;
    let answer = if retry::client_retry_is_harmless(job, class) {
        FinalAnswer::Rejected { retry_after: REJECTION_RETRY_DELAY }
    } else {
        FinalAnswer::Cancelled
    };
    job.finish();
    state.actions.answers.push((id, answer));
    cancel_dispatch(state, id);
    release(state, id);
}

/// Cancels a job's dispatch in flight, if the settings permit cancellation.
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

/// Removes a finished job that has no dispatch in flight. The next job of its key may then run, after a quiet period
/// if it is unknown whether this job still runs.
pub fn release(state: &mut ControllerState, id: JobId) {
    let Some(job) = state.jobs.get(&id).filter(|job| job.is_releasable()) else { return };
    if let Some(key) = state.ordering_key(job) {
        if let Some(unknown_at) = job.outcome_unknown_at {
            state.key_order.start_quiet_period(key, unknown_at + state.settings.contract.key_quiet_time);
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
