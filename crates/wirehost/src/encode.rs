//! Writes what a call decided as the wire's steps.

use pebblevane::interface::*;
use serde_json::{Value as Json, json};

/// The names that an instance's numbers stand for on the wire.
pub trait Names {
    fn manager(&self) -> &str;
    fn request(&self, job: JobId) -> u32;
    fn engine(&self, engine: EngineId) -> &str;
}

pub fn steps(decided: &Decided, names: &impl Names, steps: &mut Vec<Json>) {
    let manager = names.manager();
    let set_terms = |job: JobId, terms: &Terms| {
        json!({"SetTerms": {"ManagerId": manager, "RequestId": names.request(job), "Rank": terms.rank,
            "GrantMb": terms.grant_mb}})
    };
    for &(job, copy) in &decided.recalls {
        let id = names.request(job);
        steps.push(json!({"Revoke": {"ManagerId": manager, "RequestId": id, "Copy": copy}}));
    }
    for &(job, answer) in &decided.answers {
        let id = names.request(job);
        steps.push(match answer {
            Answer::Throttled(back_in) => {
                json!({"Reject": {"ManagerId": manager, "RequestId": id, "Pause": back_in.ms()}})
            }
            Answer::Cancelled => json!({"EndFailed": {"ManagerId": manager, "RequestId": id}}),
        });
    }
    for dispatch in &decided.dispatches {
        if let Some(terms) = &dispatch.terms {
            steps.push(set_terms(dispatch.job, terms));
        }
        steps.push(json!({"Attempt": {"ManagerId": manager, "RequestId": names.request(dispatch.job),
            "Engine": names.engine(dispatch.engine), "Limit": dispatch.limit.ms()}}));
    }
    for &engine in &decided.probes {
        steps.push(json!({"Touch": {"ManagerId": manager, "Engine": names.engine(engine)}}));
    }
    if decided.subscribe {
        steps.push(json!({"KeepInformed": {"ManagerId": manager, "Enable": true}}));
    }
    for line in &decided.log {
        steps.push(json!({"WriteLog": {"ManagerId": manager, "Message": line}}));
    }
}
