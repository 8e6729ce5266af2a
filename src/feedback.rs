//! Updates estimates from progress, results and health checks: costs, latencies, slowdown and failures.

use crate::engine::Engine;
use crate::interface::{DispatchResult, DispatchStatus, EngineId, JobId, LoadReport, ProgressUpdate};
use crate::job::{InFlightDispatch, PossibleRun};
use crate::slowdown::{self, ElapsedTime, JobStage, MIN_COMPLETED_FRACTION, SlowdownScope};
use crate::state::ControllerState;
use crate::time::{TimeDelta, Timestamp};
use crate::utilization::{Demand, own_utilization};
use crate::{health, selection};

/// Minimum time for which another gateway's bulk load is assumed to keep its tables locked (ms).
const MIN_BULK_LOAD_MS: f64 = 250.0;

/// Handles an engine's progress update; returns whether it belongs to the dispatch in flight.
pub fn handle_progress(state: &mut ControllerState, id: JobId, attempt: u32, update: ProgressUpdate) -> bool {
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
    engine.last_response_at = state.now;
    engine.ejection.progressed();
    if update == ProgressUpdate::WaitingForBulkLoad {
        engine.locked_tables_until.insert(job.request.table_group, locked_until);
    }
}

/// The expected duration of a bulk load: the highest mean latency of the classes of bulk loads, and at least
/// [`MIN_BULK_LOAD_MS`].
fn bulk_load_time(state: &ControllerState) -> TimeDelta {
    let bulk_loads = state.classes.iter().filter(|class| class.settings.locks_tables);
    let latencies = bulk_loads.filter_map(|class| class.latency_ms);
    TimeDelta::from_millis_f64(latencies.fold(MIN_BULK_LOAD_MS, f64::max))
}

/// Records the total time of a running job, projected from the fraction that is completed.
fn observe_projected_time(state: &mut ControllerState, id: JobId) {
    let Some(dispatch) = state.jobs[&id].in_flight() else { return };
    if dispatch.completed_fraction <= MIN_COMPLETED_FRACTION || dispatch.waited_for_bulk_load {
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
    slowdown::observe_elapsed(state, time);
}

/// Handles the result of a dispatch: removes it from its job and updates the estimates. Returns false if the job's
/// dispatch in flight is another one.
pub fn handle_result(state: &mut ControllerState, id: JobId, attempt: u32, result: &DispatchResult) -> bool {
    let Some(job) = state.jobs.get_mut(&id) else { return false };
    if result.job_finished {
        job.finish();
    }
    let Some(dispatch) = job.take_dispatch(attempt) else { return false };
    if may_have_run(result.status) {
        let run = PossibleRun { engine: dispatch.engine, sent_at: dispatch.sent_at };
        job.possible_run = job.possible_run.or(Some(run));
    }
    if outcome_is_unknown(result.status) {
        job.outcome_unknown_at = Some(state.now);
    }
    observe_result(state, id, &dispatch, result);
    true
}

fn may_have_run(status: DispatchStatus) -> bool {
    !matches!(status, DispatchStatus::Overloaded | DispatchStatus::Unreachable | DispatchStatus::Expired)
}

fn outcome_is_unknown(status: DispatchStatus) -> bool {
    matches!(status, DispatchStatus::TimedOut | DispatchStatus::ConnectionLost | DispatchStatus::Cancelled)
}

fn observe_result(
    state: &mut ControllerState,
    id: JobId,
    dispatch: &InFlightDispatch,
    result: &DispatchResult,
) {
    record_load_report(state, dispatch.engine, result.load_report.as_ref());
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
            let own_utilization = own_utilization(engine, Demand::NONE);
            engine.limit.observe_overload(state.now, own_utilization);
            state.concurrency.observe_overload(state.now, job.run_ms);
        }
        _ => {}
    }
}

/// Records an engine's load report, if the result carries one.
fn record_load_report(state: &mut ControllerState, engine: EngineId, report: Option<&LoadReport>) {
    if let Some((engine, report)) = state.pool.engines.get_mut(&engine).zip(report) {
        engine.record_load_report(state.now, report);
    }
}

/// Updates the estimates with a job that an engine has completed.
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
        slowdown::observe_elapsed(state, time);
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
        class.memory_factor.observe_no_spill();
    }
}

fn engine_answered(state: &mut ControllerState, id: JobId, dispatch: &InFlightDispatch) {
    let Some(engine) = state.pool.engines.get_mut(&dispatch.engine) else { return };
    engine.last_response_at = state.now;
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

/// Handles the result of a health check.
pub fn handle_health_check(state: &mut ControllerState, id: EngineId, result: &DispatchResult) {
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
        engine.record_load_report(now, report);
    }
    let needs_elapsed_time =
        |engine: &Engine| engine.limit.covers_all_gateways || engine.reported.jobs_in_flight.is_none();
    if result.status == DispatchStatus::Completed && needs_elapsed_time(engine) {
        state.health_checks.observe_elapsed(engine, result.elapsed);
        detect_restart(state, id, jobs_before, now);
    }
}

/// Starts the warm-up of an engine that appears to have restarted although the endpoint list shows no restart. It
/// does not have its full capacity yet, although its reports show that it is idle.
fn detect_restart(state: &mut ControllerState, id: EngineId, jobs_before: f64, now: Timestamp) {
    let warm_up_time = state.settings.contract.warm_up_time;
    let Some(engine) = state.pool.engines.get_mut(&id) else { return };
    if health::has_unlisted_restart(engine, jobs_before, now, warm_up_time) {
        engine.endpoint.started_at = Some(now);
        state.pool.warming_up.push(id);
    }
}
