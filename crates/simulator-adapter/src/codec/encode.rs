//! Encodes the controller's actions as steps.

use crate::codec::wire_names::step_fields::{ENABLE, FROM_NOW, GRANT_MB, LIMIT, MESSAGE, PAUSE, RANK, TAG};
use crate::codec::wire_names::steps::{
    ATTEMPT, END_FAILED, KEEP_INFORMED, REJECT, REVOKE, SET_TERMS, SET_TIMER, TOUCH, WRITE_LOG,
};
use crate::codec::wire_names::{COPY, ENGINE, MANAGER_ID, REQUEST_ID};
use pebblevane::interface::{Actions, Dispatch, DispatchId, DispatchOptions, EngineId, FinalAnswer, JobId};
use pebblevane::time::TimeDelta;
use serde_json::{Value as Json, json};

/// The number of an instance's only timer.
const TIMER_TAG: u32 = 0;

/// The names that an instance's jobs and engines have on the wire.
pub(crate) trait WireIds {
    /// The name of the instance.
    fn manager(&self) -> &str;
    /// The number of a job that is not released.
    fn request(&self, job: JobId) -> u32;
    /// The name of an engine that is not forgotten.
    fn engine(&self, engine: EngineId) -> &str;
}

/// Encodes actions in the order in which they are to be carried out.
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
        steps.push(json!({TOUCH: {MANAGER_ID: ids.manager(), ENGINE: ids.engine(engine)}}));
    }
    if actions.subscribe {
        steps.push(json!({KEEP_INFORMED: {MANAGER_ID: ids.manager(), ENABLE: true}}));
    }
    for line in &actions.log {
        steps.push(json!({WRITE_LOG: {MANAGER_ID: ids.manager(), MESSAGE: line}}));
    }
}

/// Encodes a timer that fires after this time.
pub(crate) fn encode_timer(delay: TimeDelta, ids: &impl WireIds) -> Json {
    let delay_ms = delay.as_millis_f64().max(0.0);
    json!({SET_TIMER: {MANAGER_ID: ids.manager(), FROM_NOW: delay_ms, TAG: TIMER_TAG}})
}

fn encode_cancellation(dispatch: DispatchId, ids: &impl WireIds) -> Json {
    let request = ids.request(dispatch.job);
    json!({REVOKE: {MANAGER_ID: ids.manager(), REQUEST_ID: request, COPY: dispatch.attempt}})
}

fn encode_answer(job: JobId, answer: FinalAnswer, ids: &impl WireIds) -> Json {
    let (manager, request) = (ids.manager(), ids.request(job));
    match answer {
        FinalAnswer::Rejected { retry_after } => {
            let pause_ms = retry_after.as_millis_f64();
            json!({REJECT: {MANAGER_ID: manager, REQUEST_ID: request, PAUSE: pause_ms}})
        }
        FinalAnswer::Cancelled => json!({END_FAILED: {MANAGER_ID: manager, REQUEST_ID: request}}),
    }
}

fn encode_options(job: JobId, options: &DispatchOptions, ids: &impl WireIds) -> Json {
    json!({SET_TERMS: {MANAGER_ID: ids.manager(), REQUEST_ID: ids.request(job), RANK: options.priority,
        GRANT_MB: options.memory_grant_mb}})
}

fn encode_dispatch(dispatch: &Dispatch, ids: &impl WireIds) -> Json {
    json!({ATTEMPT: {MANAGER_ID: ids.manager(), REQUEST_ID: ids.request(dispatch.job),
        ENGINE: ids.engine(dispatch.engine), LIMIT: dispatch.timeout.as_millis_f64()}})
}
