//! Decides which jobs in flight are cancelled: those that are stuck where a fresh dispatch would be in time, and late
//! ones that keep an overload going.

use crate::concurrency::OVERLOAD_SLOWDOWN;
use crate::interface::{EngineId, JobId};
use crate::job::{InFlightDispatch, PendingJob};
use crate::settings::RetrySafety;
use crate::slowdown::{self, ElapsedTime, JobStage, MIN_COMPLETED_FRACTION, SlowdownScope};
use crate::state::ControllerState;
use crate::time::TimeDelta;
use crate::{completion, rules};

/// Progress intervals without an update after which a dispatch or an engine counts as silent.
const SILENT_INTERVALS: f64 = 2.0;
/// How much longer an engine may be silent before it is ejected.
const SILENCE_MARGIN: TimeDelta = TimeDelta(500_000);
/// A dispatch is cancelled only if its remaining time exceeds this multiple of a fresh dispatch's time.
const MIN_GAIN: f64 = 2.0;
/// The least part of its work that a job is believed to have left.
const MIN_REMAINING_FRACTION: f64 = 0.05;

/// Cancels a restartable job that is stuck, where a fresh dispatch would still meet its objective and this one would
/// not.
pub fn reevaluate(state: &mut ControllerState, id: JobId) {
    let job = &state.jobs[&id];
    let is_restartable = state.class_settings_of(job).retry_safety == RetrySafety::Restartable;
    let Some(dispatch) = job.active_dispatch().filter(|dispatch| !dispatch.cancelled) else { return };
    let may_move = is_restartable && rules::may_dispatch_again(state, id) && state.pool.running.len() > 1;
    let is_stuck = || {
        !awaits_first_progress(state, dispatch)
            && has_better_engine(state, job, dispatch)
            && would_gain(state, job, dispatch)
    };
    if may_move && is_stuck() {
        completion::cancel_dispatch(state, id);
    }
}

/// Whether no progress has come yet and none is overdue.
fn awaits_first_progress(state: &ControllerState, dispatch: &InFlightDispatch) -> bool {
    let interval_ms = state.settings.progress_interval.unwrap_or_default().as_millis_f64();
    dispatch.completed_fraction == 0.0
        && !dispatch.waited_for_bulk_load
        && dispatch.age(state.now).as_millis_f64() < SILENT_INTERVALS * interval_ms
}

/// Behind a bulk load there is no use in going where other bulk loads lock the same tables.
fn has_better_engine(state: &ControllerState, job: &PendingJob, dispatch: &InFlightDispatch) -> bool {
    let table_group = job.request.table_group;
    let is_free = |id: &EngineId| {
        *id != dispatch.engine && !state.pool.engines[id].has_locked_tables(table_group, state.now)
    };
    !dispatch.waited_for_bulk_load || state.pool.running.iter().any(is_free)
}

/// Whether a fresh dispatch would meet the objective, and this one would neither meet it nor come close.
fn would_gain(state: &ControllerState, job: &PendingJob, dispatch: &InFlightDispatch) -> bool {
    let class = state.class_of(job);
    let relative_work = |latency_ms: f64| latency_ms * job.work_ms / class.typical_work_ms().max(1.0);
    let fresh_ms = relative_work(class.latency_ms.unwrap_or(0.0));
    let age_ms = dispatch.age(state.now).as_millis_f64();
    let is_progressing = dispatch.completed_fraction > 0.0 && !dispatch.waited_for_bulk_load;
    let remaining_ms =
        if is_progressing { age_ms / dispatch.completed_fraction - age_ms } else { f64::INFINITY };
    let time_left_ms = (job.objective_deadline - state.now).as_millis_f64();
    fresh_ms < time_left_ms && remaining_ms > time_left_ms.max(MIN_GAIN * fresh_ms)
}

/// Notes the age of jobs that are overdue as their time: from an overload none comes back.
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
    // Silence is evidence against the engine or its network path, not against the pool.
    let engine_speaks =
        state.settings.progress_interval.is_none() || dispatch.last_update_at > dispatch.sent_at;
    let scope = if engine_speaks { SlowdownScope::Pool } else { SlowdownScope::Engine };
    Some(ElapsedTime {
        job: id,
        engine: dispatch.engine,
        elapsed_ms,
        stage: JobStage::Running,
        scope,
        mode: dispatch.mode(),
    })
}

/// Gives up late jobs that keep an overload going and are worth less than a usual job in their place.
pub fn expire_hopeless_jobs(state: &mut ControllerState) {
    let hopeless: Vec<JobId> =
        state.jobs.iter().filter(|(_, job)| is_hopeless(state, job)).map(|(id, _)| *id).collect();
    for id in hopeless {
        completion::expire(state, id);
    }
}

fn is_hopeless(state: &ControllerState, job: &PendingJob) -> bool {
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

/// Ejects engines from which nothing is heard though progress is due, and looks at their jobs again.
pub fn eject_silent_engines(state: &mut ControllerState) {
    let Some(interval) = state.settings.progress_interval else { return };
    let max_silence = interval.mul_f64(SILENT_INTERVALS) + SILENCE_MARGIN;
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
        reevaluate(state, id);
    }
}
