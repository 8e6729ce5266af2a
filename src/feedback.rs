//! Learns from progress, results and health checks: costs, latencies, slowdown, failures.

use crate::concurrency::{self, OVERLOAD_SLOWDOWN, SlowdownSample};
use crate::engine::Engine;
use crate::interface::{DispatchResult, DispatchStatus, EngineId, JobId, LoadReport, ProgressUpdate};
use crate::job::{ExecutionMode, InFlightDispatch, PossibleRun};
use crate::selection;
use crate::state::ControllerState;
use crate::time::{TimeDelta, Timestamp};

/// A completed fraction so small tells no time for the whole.
pub const MIN_TELLING_FRACTION: f64 = 0.02;

/// Weight of the slowdown of a job that still runs.
const RUNNING_JOB_WEIGHT: f64 = 0.25;
/// The least time that a bulk load is believed to lock its tables (ms).
const MIN_BULK_LOAD_MS: f64 = 250.0;

/// How far the job is whose time is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStage {
    /// It still runs: the time is projected or counted so far.
    Running,
    /// It is finished.
    Finished,
}

/// What a job's time tells of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowdownScope {
    /// Only its engine.
    Engine,
    /// Its engine and the pool.
    Pool,
}

/// A job's time on an engine.
#[derive(Clone, Copy, Debug)]
pub struct ElapsedTime {
    /// The job.
    pub job: JobId,
    /// The engine.
    pub engine: EngineId,
    /// The time of the whole job (ms).
    pub elapsed_ms: f64,
    /// How far the job is.
    pub stage: JobStage,
    /// What the time tells of.
    pub scope: SlowdownScope,
    /// How the job runs.
    pub mode: ExecutionMode,
}

/// Notes a job's time against its unloaded run time, and what is usual for its class without load.
pub fn observe_elapsed(state: &mut ControllerState, time: ElapsedTime) {
    let (now, visibility) = (state.now, state.visibility());
    let job = &state.jobs[&time.job];
    let class = &mut state.classes[job.request.class];
    let run_ms = job.run_ms.max(1.0);
    let is_finished = time.stage == JobStage::Finished;
    let class_slowdown = class.slowdown_mut(time.mode);
    if is_finished {
        class_slowdown.observe(now, time.elapsed_ms / run_ms, run_ms);
    }
    // A gateway that starts in an overload believes estimates: no job comes back to show their baseline.
    let presumed = (visibility.lacks_load_reports && !is_finished).then_some(1.0);
    let Some(baseline) = class_slowdown.baseline.or(presumed) else { return };
    let Some(engine) = state.pool.engines.get_mut(&time.engine) else { return };
    let slowdown = time.elapsed_ms / run_ms / baseline;
    let weight = if is_finished { 1.0 } else { RUNNING_JOB_WEIGHT };
    let sample = SlowdownSample { slowdown, run_ms, weight };
    // What is known of an engine's overload is that engine's: the pool is what jobs meet elsewhere.
    let is_known_overload =
        || visibility.lacks_load_reports && engine.limit.slowdown_at(now, visibility) > OVERLOAD_SLOWDOWN;
    if time.scope == SlowdownScope::Pool && !is_known_overload() {
        state.concurrency.observe_slowdown(now, sample);
    }
    engine.limit.observe_slowdown(now, visibility, sample);
}

/// Learns from an engine's progress; says whether it concerned the dispatch in flight.
pub fn progress(state: &mut ControllerState, id: JobId, attempt: u32, update: ProgressUpdate) -> bool {
    let now = state.now;
    let Some(job) = state.jobs.get_mut(&id) else { return false };
    let dispatch = job.in_flight_mut().filter(|dispatch| dispatch.attempt == attempt);
    let Some(dispatch) = dispatch else { return false };
    dispatch.update(now, update);
    if let ProgressUpdate::SpillingToDisk(missing_mb) = update {
        observe_spill(state, id, missing_mb);
    }
    engine_progressed(state, id, update);
    observe_projected_time(state, id);
    true
}

fn observe_spill(state: &mut ControllerState, id: JobId, missing_mb: f64) {
    let job = &state.jobs[&id];
    let granted_mb = job.in_flight().map_or(0.0, |dispatch| dispatch.memory_mb);
    if job.memory_mb > 0.0 {
        let needed = (granted_mb + missing_mb) / job.memory_mb;
        state.classes[job.request.class].memory_factor.observe_spill(needed);
    }
}

fn engine_progressed(state: &mut ControllerState, id: JobId, update: ProgressUpdate) {
    let locked_until = state.now + bulk_load_time(state);
    let job = &state.jobs[&id];
    let engine = job.in_flight().and_then(|dispatch| state.pool.engines.get_mut(&dispatch.engine));
    let Some(engine) = engine else { return };
    engine.last_heard_at = state.now;
    engine.ejection.progressed();
    if update == ProgressUpdate::WaitingForBulkLoad {
        engine.locked_tables_until.insert(job.request.table_group, locked_until);
    }
}

/// The time that bulk loads usually take.
fn bulk_load_time(state: &ControllerState) -> TimeDelta {
    let bulk_loads = state.classes.iter().filter(|class| class.settings.locks_tables);
    let latencies = bulk_loads.filter_map(|class| class.latency_ms);
    TimeDelta::from_millis_f64(latencies.fold(MIN_BULK_LOAD_MS, f64::max))
}

/// Notes the time of the whole job, where the fraction that is done tells it.
fn observe_projected_time(state: &mut ControllerState, id: JobId) {
    let Some(dispatch) = state.jobs[&id].in_flight() else { return };
    if dispatch.completed_fraction <= MIN_TELLING_FRACTION || dispatch.waited_for_bulk_load {
        return;
    }
    let time = ElapsedTime {
        job: id,
        engine: dispatch.engine,
        elapsed_ms: dispatch.age(state.now).as_millis_f64() / dispatch.completed_fraction,
        stage: JobStage::Running,
        scope: SlowdownScope::Pool,
        mode: dispatch.mode(),
    };
    observe_elapsed(state, time);
}

/// Takes a job's dispatch in flight if it is this attempt, and learns from its result; says whether it was.
pub fn result(state: &mut ControllerState, id: JobId, attempt: u32, result: &DispatchResult) -> bool {
    let Some(job) = state.jobs.get_mut(&id) else { return false };
    if result.job_finished {
        job.finish();
    }
    let Some(dispatch) = job.take_dispatch(attempt) else { return false };
    if may_have_run(result.status) {
        let run = PossibleRun { engine: dispatch.engine, sent_at: dispatch.sent_at };
        job.possible_run = job.possible_run.or(Some(run));
    }
    if end_is_unknown(result.status) {
        job.outcome_unknown_at = Some(state.now);
    }
    learn(state, id, &dispatch, result);
    true
}

fn may_have_run(status: DispatchStatus) -> bool {
    !matches!(status, DispatchStatus::Overloaded | DispatchStatus::Unreachable | DispatchStatus::Expired)
}

fn end_is_unknown(status: DispatchStatus) -> bool {
    matches!(status, DispatchStatus::TimedOut | DispatchStatus::ConnectionLost | DispatchStatus::Cancelled)
}

fn learn(state: &mut ControllerState, id: JobId, dispatch: &InFlightDispatch, result: &DispatchResult) {
    load_report(state, dispatch.engine, result.load_report.as_ref());
    let job = &state.jobs[&id];
    let class = &state.classes[job.request.class];
    let Some(engine) = state.pool.engines.get_mut(&dispatch.engine) else { return };
    engine.count_result(id, class, job.request.table_group, dispatch.memory_mb);
    match result.status {
        DispatchStatus::Completed => completed(state, id, dispatch, result),
        DispatchStatus::Unreachable | DispatchStatus::ConnectionLost if !result.engine_reachable => {
            engine.ejection.connection_failed(state.now);
        }
        DispatchStatus::Overloaded => {
            concurrency::engine_overloaded(engine, state.now);
            state.concurrency.observe_overload(state.now, job.run_ms);
        }
        _ => {}
    }
}

/// Notes an engine's load report, if there is one.
pub fn load_report(state: &mut ControllerState, engine: EngineId, report: Option<&LoadReport>) {
    if let Some((engine, report)) = state.pool.engines.get_mut(&engine).zip(report) {
        engine.note_load_report(state.now, report);
    }
}

/// Learns from a job that an engine has completed.
fn completed(state: &mut ControllerState, id: JobId, dispatch: &InFlightDispatch, result: &DispatchResult) {
    let elapsed_ms = result.elapsed.as_millis_f64();
    learn_costs(state, id, dispatch, result);
    engine_answered(state, id, dispatch);
    let class_index = state.jobs[&id].request.class;
    if let Some(engine) = state.pool.engines.get_mut(&dispatch.engine) {
        let class = &mut state.classes[class_index];
        selection::observe_latency(engine, class, class_index, elapsed_ms);
    }
    learn_choice(state, class_index, dispatch, elapsed_ms);
    if !dispatch.waited_for_bulk_load {
        let time = ElapsedTime {
            job: id,
            engine: dispatch.engine,
            elapsed_ms,
            stage: JobStage::Finished,
            scope: SlowdownScope::Pool,
            mode: dispatch.mode(),
        };
        observe_elapsed(state, time);
    }
}

fn learn_costs(state: &mut ControllerState, id: JobId, dispatch: &InFlightDispatch, result: &DispatchResult) {
    let Some(job) = state.jobs.get_mut(&id) else { return };
    let class = &mut state.classes[job.request.class];
    if let Some(cost) = result.actual_cost {
        class.observe_actual_cost(state.now, cost.work);
        job.run_ms = cost.work.as_millis_f64() / class.settings.threads;
    }
    if !dispatch.spilled {
        class.memory_factor.observe_fit();
    }
}

fn engine_answered(state: &mut ControllerState, id: JobId, dispatch: &InFlightDispatch) {
    let Some(engine) = state.pool.engines.get_mut(&dispatch.engine) else { return };
    engine.last_heard_at = state.now;
    engine.ejection.answered();
    if dispatch.waited_for_bulk_load {
        engine.locked_tables_until.remove(&state.jobs[&id].request.table_group);
    }
}

fn learn_choice(state: &mut ControllerState, class: usize, dispatch: &InFlightDispatch, elapsed_ms: f64) {
    let Some(choice) = &dispatch.choice else { return };
    let latency_ms = choice.pair.map(|engine| {
        if engine == dispatch.engine {
            elapsed_ms
        } else {
            selection::expected_latency_ms(&state.pool, &state.classes, engine, class)
        }
    });
    state.selection.learn(choice, latency_ms);
}

/// Learns from a health check's result.
pub fn health_check(state: &mut ControllerState, id: EngineId, result: &DispatchResult) {
    let now = state.now;
    let Some(engine) = state.pool.engines.get_mut(&id) else { return };
    engine.health_check.in_flight = false;
    match result.status {
        DispatchStatus::Completed => engine.ejection.health_check_passed(now),
        DispatchStatus::Unreachable => engine.ejection.eject(now),
        _ => {}
    }
    let jobs_before = engine.reported.jobs_in_flight.unwrap_or(0.0);
    if let Some(report) = &result.load_report {
        engine.note_load_report(now, report);
    }
    let rests_on_processor =
        |engine: &Engine| engine.limit.covers_all_gateways || engine.reported.jobs_in_flight.is_none();
    if result.status == DispatchStatus::Completed && rests_on_processor(engine) {
        state.health_checks.observe_elapsed(engine, result.elapsed);
        detect_restart(state, id, jobs_before, now);
    }
}

/// An engine that has restarted unseen by the endpoint list warms up, however idle it looks.
fn detect_restart(state: &mut ControllerState, id: EngineId, jobs_before: f64, now: Timestamp) {
    let warm_up_time = state.settings.contract.warm_up_time;
    let Some(engine) = state.pool.engines.get_mut(&id) else { return };
    if crate::health::has_restarted_unseen(engine, jobs_before, now, warm_up_time) {
        engine.endpoint.started_at = Some(now);
        state.pool.warming_up.push(id);
    }
}
