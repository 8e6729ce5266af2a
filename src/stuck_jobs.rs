//! Handles dispatches that take too long: cancels those of stuck jobs that would meet their objective if dispatched
//! again, sheds late jobs that prolong an overload, ejects engines that send nothing although progress is overdue, and
//! counts the age of overdue dispatches towards the slowdown.

use crate::concurrency::OVERLOAD_SLOWDOWN;
use crate::interface::{EngineId, JobId};
use crate::job::{InFlightDispatch, PendingJob};
use crate::settings::RetrySafety;
use crate::slowdown::{self, ElapsedTime, JobStage, MIN_COMPLETED_FRACTION, SlowdownScope};
use crate::state::ControllerState;
use crate::time::TimeDelta;
use crate::{completion, rules};

/// Number of progress intervals without an update after which progress is overdue.
const MAX_SILENT_INTERVALS: f64 = 2.0;
/// Time without any message, in addition to [`MAX_SILENT_INTERVALS`], after which an engine is ejected.
const SILENCE_MARGIN: TimeDelta = TimeDelta::from_millis(500);
/// A dispatch is cancelled only if its remaining time exceeds this multiple of the time that a new dispatch is
/// expected to take.
const MIN_REMAINING_OVER_NEW_TIME: f64 = 2.0;
/// Lower bound of the fraction of its work that a job is assumed to have left, whatever progress it reports.
const MIN_REMAINING_FRACTION: f64 = 0.05;

/// Cancels the dispatch of a restartable job that is stuck, if a new dispatch would still meet the job's objective
/// and this one would not.
pub fn cancel_if_stuck(state: &mut ControllerState, id: JobId) {
    let job = &state.jobs[&id];
    let is_restartable = state.class_settings_of(job).retry_safety == RetrySafety::Restartable;
    let Some(dispatch) = job.active_dispatch().filter(|dispatch| !dispatch.cancelled) else { return };
    let may_retry = is_restartable && rules::may_dispatch_again(state, id) && state.pool.running.len() > 1;
    let should_retry = || {
        !awaits_first_progress(state, dispatch)
            && has_better_engine(state, job, dispatch)
            && new_dispatch_is_faster(state, job, dispatch)
    };
    if may_retry && should_retry() {
        completion::cancel_dispatch(state, id);
    }
}

/// Whether no progress has been received yet and none is overdue.
fn awaits_first_progress(state: &ControllerState, dispatch: &InFlightDispatch) -> bool {
    let interval_ms = state.settings.progress_interval.unwrap_or_default().as_millis_f64();
    dispatch.completed_fraction == 0.0
        && !dispatch.waited_for_bulk_load
        && dispatch.age(state.now).as_millis_f64() < MAX_SILENT_INTERVALS * interval_ms
}

/// Whether the job may be better off on another engine. A job that waited for a bulk load gains only from an engine
/// where no bulk load locks its tables.
fn has_better_engine(state: &ControllerState, job: &PendingJob, dispatch: &InFlightDispatch) -> bool {
    let table_group = job.request.table_group;
    let is_free = |id: &EngineId| {
        *id != dispatch.engine && !state.pool.engines[id].has_locked_tables(table_group, state.now)
    };
    !dispatch.waited_for_bulk_load || state.pool.running.iter().any(is_free)
}

/// Whether a new dispatch is expected to meet the objective, while this one is expected to miss it and to take longer
/// than a new one by a factor of [`MIN_REMAINING_OVER_NEW_TIME`].
fn new_dispatch_is_faster(state: &ControllerState, job: &PendingJob, dispatch: &InFlightDispatch) -> bool {
    let class = state.class_of(job);
    let scaled_to_job = |latency_ms: f64| latency_ms * job.work_ms / class.typical_work_ms().max(1.0);
    let new_ms = scaled_to_job(class.latency_ms.unwrap_or(0.0));
    let age_ms = dispatch.age(state.now).as_millis_f64();
    let is_progressing = dispatch.completed_fraction > 0.0 && !dispatch.waited_for_bulk_load;
    let remaining_ms =
        if is_progressing { age_ms / dispatch.completed_fraction - age_ms } else { f64::INFINITY };
    let time_left_ms = (job.objective_deadline - state.now).as_millis_f64();
    new_ms < time_left_ms && remaining_ms > time_left_ms.max(MIN_REMAINING_OVER_NEW_TIME * new_ms)
}

/// Records the age of overdue dispatches as their elapsed time. During an overload no job may finish, so that results
/// alone would not show the slowdown.
pub fn observe_overdue_jobs(state: &mut ControllerState) {
    let overdue: Vec<ElapsedTime> =
        state.jobs.iter().filter_map(|(id, job)| overdue_time(state, *id, job)).collect();
    for time in overdue {
        slowdown::observe_elapsed(state, time);
    }
}

fn overdue_time(state: &ControllerState, id: JobId, job: &PendingJob) -> Option<ElapsedTime> {
    let has_no_progress = |dispatch: &&InFlightDispatch| {
        !dispatch.waited_for_bulk_load && dispatch.completed_fraction <= MIN_COMPLETED_FRACTION
    };
    let dispatch = job.active_dispatch().filter(has_no_progress)?;
    let elapsed_ms = dispatch.age(state.now).as_millis_f64();
    if elapsed_ms <= OVERLOAD_SLOWDOWN * job.run_ms {
        return None;
    }
    // Missing progress points to a fault of the engine or its network path, not to a slow pool.
    let has_expected_progress =
        state.settings.progress_interval.is_none() || dispatch.last_update_at > dispatch.sent_at;
    let scope = if has_expected_progress { SlowdownScope::Pool } else { SlowdownScope::Engine };
    Some(ElapsedTime {
        job: id,
        engine: dispatch.engine,
        elapsed_ms,
        stage: JobStage::Running,
        scope,
        mode: dispatch.mode(),
    })
}

/// Sheds late jobs on overloaded engines if the value of their answer per second of remaining work is below the mean of
/// recently arrived jobs, which could run instead. Only restartable jobs are shed, and only if dispatches may be
/// cancelled.
pub fn shed_late_jobs(state: &mut ControllerState) {
    let shed: Vec<JobId> =
        state.jobs.iter().filter(|(_, job)| should_shed(state, job)).map(|(id, _)| *id).collect();
    for id in shed {
        completion::finish_without_result(state, id);
    }
}

fn should_shed(state: &ControllerState, job: &PendingJob) -> bool {
    let class = state.class_settings_of(job);
    let Some(dispatch) = job.active_dispatch().filter(|dispatch| !dispatch.cancelled) else { return false };
    let is_late = class.retry_safety == RetrySafety::Restartable && state.now > job.objective_deadline;
    let Some(engine) = state.pool.engines.get(&dispatch.engine).filter(|_| is_late) else { return false };
    let remaining = (1.0 - dispatch.completed_fraction).max(MIN_REMAINING_FRACTION);
    let remaining_seconds = job.work_ms * remaining / 1000.0;
    let late_value_rate = class.late_value_ratio * class.priority_weight / remaining_seconds.max(1e-3);
    state.settings.permissions.cancellation
        && engine.limit.slowdown_at(state.now, state.visibility()) > OVERLOAD_SLOWDOWN
        && late_value_rate < state.traffic.value_rate.mean_or(0.0)
}

/// Ejects engines that have sent nothing although progress is overdue, and cancels their stuck jobs.
pub fn eject_silent_engines(state: &mut ControllerState) {
    let Some(interval) = state.settings.progress_interval else { return };
    let max_silence = interval.mul_f64(MAX_SILENT_INTERVALS) + SILENCE_MARGIN;
    let is_silent = |dispatch: &&InFlightDispatch| {
        let engine = state.pool.engines.get(&dispatch.engine);
        let last_response_at = engine.map_or(state.now, |engine| engine.last_response_at);
        state.now - dispatch.last_update_at > max_silence && state.now - last_response_at > max_silence
    };
    let silent =
        |(id, job): (&JobId, &PendingJob)| Some((*id, job.active_dispatch().filter(is_silent)?.engine));
    let silent: Vec<(JobId, EngineId)> = state.jobs.iter().filter_map(silent).collect();
    for (id, engine) in silent {
        state.eject(engine);
        cancel_if_stuck(state, id);
    }
}
