//! Writes what a call decided as the wire's steps.

use pebblevane::interface::*;
use serde_json::{Value as Json, json};

/// The names that an instance's numbers stand for on the wire.
pub trait Names {
    fn manager(&self) -> &str;
    fn request(&self, job: JobId) -> u32;
    fn engine(&self, engine: EngineId) -> &str;
}

pub fn steps(decided: &Actions, names: &impl Names, steps: &mut Vec<Json>) {
    let manager = names.manager();
    let set_terms = |job: JobId, terms: &DispatchOptions| {
        json!({"SetTerms": {"ManagerId": manager, "RequestId": names.request(job), "Rank": terms.priority,
            "GrantMb": terms.memory_grant_mb}})
    };
    for dispatch in &decided.cancellations {
        let id = names.request(dispatch.job);
        steps.push(json!({"Revoke": {"ManagerId": manager, "RequestId": id, "Copy": dispatch.attempt}}));
    }
    for &(job, answer) in &decided.answers {
        let id = names.request(job);
        steps.push(match answer {
            FinalAnswer::Rejected { retry_after } => {
                json!({"Reject": {"ManagerId": manager, "RequestId": id, "Pause": retry_after.as_millis_f64()}})
            }
            FinalAnswer::Cancelled => json!({"EndFailed": {"ManagerId": manager, "RequestId": id}}),
        });
    }
    for dispatch in &decided.dispatches {
        if let Some(terms) = &dispatch.options {
            steps.push(set_terms(dispatch.job, terms));
        }
        steps.push(json!({"Attempt": {"ManagerId": manager, "RequestId": names.request(dispatch.job),
            "Engine": names.engine(dispatch.engine), "Limit": dispatch.timeout.as_millis_f64()}}));
    }
    for &engine in &decided.health_checks {
        steps.push(json!({"Touch": {"ManagerId": manager, "Engine": names.engine(engine)}}));
    }
    if decided.subscribe {
        steps.push(json!({"KeepInformed": {"ManagerId": manager, "Enable": true}}));
    }
    for line in &decided.log {
        steps.push(json!({"WriteLog": {"ManagerId": manager, "Message": line}}));
    }
}
