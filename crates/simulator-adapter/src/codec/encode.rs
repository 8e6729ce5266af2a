//! Encodes the actions that the controller returns as steps of the simulator's protocol.

use crate::codec::wire_names::step_fields::{
    DELAY_MS, ENABLE, MEMORY_GRANT_MB, MESSAGE, PRIORITY, RETRY_AFTER_MS, TIMEOUT_MS, TIMER_NUMBER,
};
use crate::codec::wire_names::steps::{
    CANCEL_DISPATCH, CHECK_HEALTH, DISPATCH, FAIL_JOB, REJECT_JOB, SET_DISPATCH_OPTIONS, SET_TIMER,
    SUBSCRIBE, WRITE_LOG,
};
use crate::codec::wire_names::{ATTEMPT_NUMBER, ENGINE, INSTANCE_NAME, REQUEST_ID};
use pebblevane::interface::{Actions, Dispatch, DispatchId, DispatchOptions, EngineId, FinalAnswer, JobId};
use pebblevane::time::TimeDelta;
use serde_json::{Value as Json, json};

/// All timers of an instance have the same number: when one fires, the controller is only given the time.
const ONLY_TIMER: u32 = 0;

/// Looks up the names and numbers that the simulator uses for an instance and its jobs and engines.
pub(crate) trait WireIds {
    /// The name of the instance.
    fn instance_name(&self) -> &str;
    /// The simulator's number of a job that the controller has not released.
    fn request(&self, job: JobId) -> u32;
    /// The name of an engine that the controller has not removed.
    fn engine(&self, engine: EngineId) -> &str;
}

/// Appends the actions to `steps`, in the order in which the simulator must carry them out. Timers are encoded
/// separately, by [`encode_timer`].
pub(crate) fn encode_actions(actions: &Actions, ids: &impl WireIds, steps: &mut Vec<Json>) {
    steps.extend(actions.cancellations.iter().map(|&dispatch| encode_cancellation(dispatch, ids)));
    steps.extend(actions.answers.iter().map(|&(job, answer)| encode_answer(job, answer, ids)));
    for dispatch in &actions.dispatches {
        if let Some(options) = &dispatch.options {
            steps.push(encode_options(dispatch.job, options, ids));
        }
        steps.push(encode_dispatch(dispatch, ids));
    }
    for &engine in &actions.health_checks {
        steps.push(json!({CHECK_HEALTH: {INSTANCE_NAME: ids.instance_name(), ENGINE: ids.engine(engine)}}));
    }
    if actions.subscribe {
        steps.push(json!({SUBSCRIBE: {INSTANCE_NAME: ids.instance_name(), ENABLE: true}}));
    }
    for line in &actions.log {
        steps.push(json!({WRITE_LOG: {INSTANCE_NAME: ids.instance_name(), MESSAGE: line}}));
    }
}

/// Encodes setting a timer that fires after `delay`, or at once if `delay` is negative.
pub(crate) fn encode_timer(delay: TimeDelta, ids: &impl WireIds) -> Json {
    let delay_ms = delay.as_millis_f64().max(0.0);
    json!({SET_TIMER: {INSTANCE_NAME: ids.instance_name(), DELAY_MS: delay_ms, TIMER_NUMBER: ONLY_TIMER}})
}

fn encode_cancellation(dispatch: DispatchId, ids: &impl WireIds) -> Json {
    let request = ids.request(dispatch.job);
    json!({CANCEL_DISPATCH: {INSTANCE_NAME: ids.instance_name(), REQUEST_ID: request,
        ATTEMPT_NUMBER: dispatch.attempt}})
}

fn encode_answer(job: JobId, answer: FinalAnswer, ids: &impl WireIds) -> Json {
    let (instance_name, request) = (ids.instance_name(), ids.request(job));
    match answer {
        FinalAnswer::Rejected { retry_after } => {
            let retry_after_ms = retry_after.as_millis_f64();
            json!({REJECT_JOB: {INSTANCE_NAME: instance_name, REQUEST_ID: request, RETRY_AFTER_MS: retry_after_ms}})
        }
        FinalAnswer::Cancelled => json!({FAIL_JOB: {INSTANCE_NAME: instance_name, REQUEST_ID: request}}),
    }
}

fn encode_options(job: JobId, options: &DispatchOptions, ids: &impl WireIds) -> Json {
    json!({SET_DISPATCH_OPTIONS: {INSTANCE_NAME: ids.instance_name(), REQUEST_ID: ids.request(job),
        PRIORITY: options.priority, MEMORY_GRANT_MB: options.memory_grant_mb}})
}

fn encode_dispatch(dispatch: &Dispatch, ids: &impl WireIds) -> Json {
    json!({DISPATCH: {INSTANCE_NAME: ids.instance_name(), REQUEST_ID: ids.request(dispatch.job),
        ENGINE: ids.engine(dispatch.engine), TIMEOUT_MS: dispatch.timeout.as_millis_f64()}})
}
