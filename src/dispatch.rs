//! Dispatches jobs to engines, with their priority, memory grant and deadlines. Every dispatch is created here.

use crate::interface::{Dispatch, DispatchOptions, EngineId, JobId};
use crate::job::{InFlightDispatch, PairChoice, PendingJob};
use crate::memory_grant::memory_grant_mb;
use crate::state::ControllerState;
use crate::traffic::WORK_TIME_CONSTANT;
use crate::{retry, rules};

/// Priority of jobs past their latency objective; the lowest.
const PRIORITY_LATE: u8 = 0;
/// Priority of jobs of several threads that are not bulk loads.
const PRIORITY_PARALLEL: u8 = 1;
const PRIORITY_BULK_LOAD: u8 = 2;
const PRIORITY_SINGLE_THREAD: u8 = 3;

/// The engine that was chosen for a job, and how.
#[derive(Clone, Copy, Debug)]
pub struct Target {
    /// Where the job is to be sent.
    pub engine: EngineId,
    /// The selection within a pair; `None` if there was only one candidate.
    pub choice: Option<PairChoice>,
}

/// Dispatches a job to an engine if the rules allow it; returns whether it was dispatched.
pub fn send(state: &mut ControllerState, id: JobId, target: Target) -> bool {
    if !rules::may_dispatch(state, id) || !rules::may_dispatch_to(state, id, target.engine) {
        return false;
    }
    let job = &state.jobs[&id];
    let class = state.class_settings_of(job);
    let dispatch = Dispatch {
        job: id,
        engine: target.engine,
        timeout: job.deadline - state.now,
        begin_by: retry::dispatch_deadline(job, class, state.settings.answer_margin),
        options: options(state, job, target.engine),
    };
    record(state, &dispatch, target.choice);
    state.actions.dispatches.push(dispatch);
    true
}

/// Updates the state of the job, its engine, the traffic and the retry budget with a new dispatch.
fn record(state: &mut ControllerState, dispatch: &Dispatch, choice: Option<PairChoice>) {
    let now = state.now;
    let job = state.jobs.get_mut(&dispatch.job).expect("a job that may be sent is pending");
    let class = &state.classes[job.request.class];
    let engine =
        state.pool.engines.get_mut(&dispatch.engine).expect("an engine that may be sent to is known");
    if job.dispatch_count > 0 {
        state.retry_budget.count_retry(&state.settings, now);
    }
    let granted = dispatch.options.map_or(0.0, |options| options.memory_grant_mb);
    let memory_mb = if granted > 0.0 { granted } else { job.memory_mb }.min(engine.max_job_memory_mb);
    engine.count_dispatch(dispatch.job, class, job.request.table_group, memory_mb);
    engine.slow_start_work.add(now, state.settings.contract.warm_up_window, class.typical_work_ms());
    engine.recent_work.add(now, WORK_TIME_CONSTANT, job.work_ms, 1.0);
    state.traffic.observe_dispatch(now, job.work_ms);
    let in_flight = InFlightDispatch::new(dispatch.engine, job.dispatch_count, now);
    job.dispatched(InFlightDispatch { choice, memory_mb, ..in_flight });
}

/// Priority and memory grant; `None` if engines support neither.
fn options(state: &ControllerState, job: &PendingJob, engine: EngineId) -> Option<DispatchOptions> {
    let capabilities = state.settings.engine_capabilities;
    if !capabilities.priorities && !capabilities.memory_grants {
        return None;
    }
    let grant = || memory_grant_mb(job, state.class_of(job), &state.pool.engines[&engine]);
    Some(DispatchOptions {
        priority: priority(state, job),
        memory_grant_mb: if capabilities.memory_grants { grant() } else { 0.0 },
    })
}

/// The priority of a job at its engine. Jobs with much value for their work go first: those on a single thread, then
/// bulk loads, then other jobs on several threads. Late jobs go last.
fn priority(state: &ControllerState, job: &PendingJob) -> u8 {
    let class = state.class_settings_of(job);
    if state.now > job.objective_deadline {
        PRIORITY_LATE
    } else if class.threads <= 1.0 {
        PRIORITY_SINGLE_THREAD
    } else if class.locks_tables {
        PRIORITY_BULK_LOAD
    } else {
        PRIORITY_PARALLEL
    }
}
