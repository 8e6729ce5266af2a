//! Drives an [`AdmissionController`] by hand: a test submits jobs, reports what engines did and advances the clock, and
//! the harness records every event with the controller's actions as a line of a trace.
//!
//! A line of the trace consists of the time in ms, the event, a colon and the actions that follow from the event.
//! Timer events have no name and appear only if actions follow.
//!
//! Events:
//! - `endpoints [0 Running, 1 Gone]`: the endpoint list changes
//! - `submit 3`: a client submits job 3
//! - `Completed 3.0`, or another [`DispatchStatus`]: dispatch 0 of job 3 ends
//! - `WaitingForBulkLoad 3.0`, or another [`ProgressUpdate`]: the engine reports progress of that dispatch
//! - `load report 1: 40`: a health check of engine 1 returns its load
//! - `begin shutdown`: the gateway's process begins to shut down
//!
//! Actions:
//! - `dispatch 3 to 1`, with a memory grant `dispatch 3 to 1 with 800 MB`: job 3 is sent to engine 1
//! - `cancel dispatch 3.0`: dispatch 0 of job 3 is cancelled at its engine
//! - `reject 3`: job 3 gets the final answer [`FinalAnswer::Rejected`]
//! - `cancel job 3`: job 3 gets the final answer [`FinalAnswer::Cancelled`]
//! - `health check 1`: a health check is sent to engine 1

use crate::builder::HarnessBuilder;
use crate::jobs::{DEFAULT_MEMORY_MB, JobSpec};
use expect_test::Expect;
use pebblevane::controller::AdmissionController;
use pebblevane::interface::{
    Actions, ActualCost, DispatchId, DispatchResult, DispatchStatus, Endpoint, EngineId, FinalAnswer, JobId,
    LifecycleState, ListScope, LoadReport, ProgressUpdate,
};
use pebblevane::time::{TimeDelta, Timestamp};
use std::fmt::Write;

/// Interval at which the harness fires the controller's timer while time advances.
const TIMER_INTERVAL_MS: f64 = 5.0;
/// Elapsed time of a health check unless a test sets another one.
const DEFAULT_HEALTH_CHECK_MS: f64 = 1.0;

/// The load that engines report in answer to health checks: one value for each engine, by its number. Engines beyond
/// the end of the list do not answer health checks.
pub enum LoadReports {
    /// Jobs in flight from all gateways.
    JobsInFlight(Vec<f64>),
    /// Processor utilization, 1 at full use.
    Utilization(Vec<f64>),
}

impl LoadReports {
    fn value(&self, engine: EngineId) -> Option<f64> {
        let (LoadReports::JobsInFlight(values) | LoadReports::Utilization(values)) = self;
        values.get(engine.0 as usize).copied()
    }
    fn report(&self, value: f64) -> LoadReport {
        match self {
            LoadReports::JobsInFlight(_) => {
                LoadReport { jobs_in_flight: Some(value), ..LoadReport::default() }
            }
            LoadReports::Utilization(_) => {
                LoadReport { processor_utilization: Some(value), ..LoadReport::default() }
            }
        }
    }
}

/// A dispatch that the controller has sent.
pub struct SentDispatch {
    pub at_ms: f64,
    pub job: JobId,
    pub engine: u32,
}

/// An admission controller with a simulated clock, and a record of its events and actions.
pub struct ControllerHarness {
    controller: AdmissionController,
    now_ms: f64,
    trace: String,
    load_reports: LoadReports,
    /// Elapsed time of each engine's health checks, by its number; [`DEFAULT_HEALTH_CHECK_MS`] for engines beyond the
    /// end of the list.
    pub health_check_ms: Vec<f64>,
    /// Engines with a health check in flight, which is answered after the next timer event.
    health_checks_in_flight: Vec<EngineId>,
    /// All dispatches, in the order in which they were sent.
    pub dispatches: Vec<SentDispatch>,
    /// Rejected jobs, in the order of their rejection.
    pub rejections: Vec<JobId>,
    /// Number of health checks that were sent.
    pub health_checks_sent: usize,
    next_job: u32,
    engines_reachable: bool,
    actual_work_ms: Option<f64>,
}

impl ControllerHarness {
    /// A builder with the default settings: the gateway is one of two that share a pool without engines.
    pub fn builder() -> HarnessBuilder {
        HarnessBuilder::new()
    }
    /// Creates the harness from the builder's values; its clock starts at 0.
    pub(crate) fn new(controller: AdmissionController, builder: HarnessBuilder) -> ControllerHarness {
        ControllerHarness {
            controller,
            now_ms: 0.0,
            trace: String::new(),
            load_reports: builder.load_reports,
            health_check_ms: Vec::new(),
            health_checks_in_flight: Vec::new(),
            dispatches: Vec::new(),
            rejections: Vec::new(),
            health_checks_sent: 0,
            next_job: 0,
            engines_reachable: builder.engines_reachable,
            actual_work_ms: builder.actual_work_ms,
        }
    }
    pub fn now_ms(&self) -> f64 {
        self.now_ms
    }
    /// Moves the clock without firing timers, as when a process gets no processor time.
    pub fn jump_to(&mut self, at_ms: f64) {
        self.now_ms = at_ms;
    }
    pub fn set_load_reports(&mut self, reports: LoadReports) {
        self.load_reports = reports;
    }
    /// Sets the actual work that engines report for each dispatch that ends from now on.
    pub fn set_actual_work_ms(&mut self, work: f64) {
        self.actual_work_ms = Some(work);
    }
    /// Number of entries that the controller holds in its state.
    pub fn retained_entries(&self) -> usize {
        self.controller.retained_entries()
    }
    /// The last dispatch of a job.
    pub fn last_dispatch(&self, job: JobId) -> Option<&SentDispatch> {
        self.dispatches.iter().rev().find(|dispatch| dispatch.job == job)
    }
    /// Whether the last dispatch of a job went to an engine.
    pub fn was_sent_to(&self, job: JobId, engine: u32) -> bool {
        self.last_dispatch(job).is_some_and(|dispatch| dispatch.engine == engine)
    }
    /// Compares the whole trace with the expected one.
    pub fn expect_trace(&self, trace: &Expect) {
        trace.assert_eq(&self.trace);
    }

    /// Delivers a complete endpoint list; engines that it does not contain are gone.
    pub fn replace_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.endpoints_changed(ListScope::Complete, endpoints);
    }
    /// Delivers the entries of changed endpoints only.
    pub fn update_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.endpoints_changed(ListScope::Changes, endpoints);
    }
    fn endpoints_changed(&mut self, scope: ListScope, endpoints: Vec<Endpoint>) {
        let entries: Vec<String> = endpoints
            .iter()
            .map(|endpoint| format!("{} {:?}", endpoint.engine.0, endpoint.lifecycle))
            .collect();
        let actions = self.controller.endpoints_changed(self.timestamp(), scope, endpoints);
        self.record(&format!("endpoints [{}]", entries.join(", ")), actions);
    }
    /// Submits a job. Jobs are numbered from 0.
    pub fn submit(&mut self, spec: JobSpec) -> JobId {
        let id = JobId(self.next_job);
        self.next_job += 1;
        let actions = self.controller.submit(self.timestamp(), id, spec.into());
        self.record(&format!("submit {}", id.0), actions);
        id
    }
    /// Reports that the first dispatch of a job has completed.
    pub fn complete(&mut self, job: JobId, elapsed_ms: f64) {
        self.finish(attempt(job, 0), DispatchStatus::Completed, elapsed_ms);
    }
    /// Reports the end of a dispatch.
    pub fn finish(&mut self, dispatch: DispatchId, status: DispatchStatus, elapsed_ms: f64) {
        let DispatchId { job, attempt } = dispatch;
        let result = DispatchResult {
            status,
            elapsed: TimeDelta::from_millis_f64(elapsed_ms),
            job_finished: status == DispatchStatus::Completed,
            engine_reachable: self.engines_reachable,
            actual_cost: self.actual_work_ms.map(|work| ActualCost {
                work: TimeDelta::from_millis_f64(work),
                memory_mb: DEFAULT_MEMORY_MB,
            }),
            load_report: None,
        };
        let actions = self.controller.dispatch_finished(self.timestamp(), job, attempt, result);
        self.record(&format!("{status:?} {}.{attempt}", job.0), actions);
    }
    /// Reports an engine's progress update for a dispatch.
    pub fn progress(&mut self, dispatch: DispatchId, update: ProgressUpdate) {
        let DispatchId { job, attempt } = dispatch;
        let actions = self.controller.dispatch_progress(self.timestamp(), job, attempt, update);
        self.record(&format!("{update:?} {}.{attempt}", job.0), actions);
    }
    /// Begins a planned shutdown: the process ends after this time.
    pub fn begin_shutdown(&mut self, within_ms: f64) {
        let deadline = Timestamp::from_millis_f64(self.now_ms + within_ms);
        let actions = self.controller.begin_shutdown(self.timestamp(), deadline);
        self.record("begin shutdown", actions);
    }
    /// Advances the clock. The controller's timer fires every [`TIMER_INTERVAL_MS`], and the health checks in flight
    /// are answered after it.
    pub fn advance(&mut self, ms: f64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.now_ms += TIMER_INTERVAL_MS;
            let actions = self.controller.timer_fired(self.timestamp());
            self.record("", actions);
            for engine in std::mem::take(&mut self.health_checks_in_flight) {
                self.answer_health_check(engine);
            }
        }
    }
    fn answer_health_check(&mut self, engine: EngineId) {
        let Some(value) = self.load_reports.value(engine) else { return };
        let elapsed_ms =
            self.health_check_ms.get(engine.0 as usize).copied().unwrap_or(DEFAULT_HEALTH_CHECK_MS);
        let result = DispatchResult {
            status: DispatchStatus::Completed,
            elapsed: TimeDelta::from_millis_f64(elapsed_ms),
            job_finished: false,
            engine_reachable: false,
            actual_cost: None,
            load_report: Some(self.load_reports.report(value)),
        };
        let actions = self.controller.health_check_finished(self.timestamp(), engine, result);
        self.record(&format!("load report {}: {value}", engine.0), actions);
    }
    fn timestamp(&self) -> Timestamp {
        Timestamp::from_millis_f64(self.now_ms)
    }

    /// Adds an event with its actions to the trace; a timer event has an empty name.
    fn record(&mut self, event: &str, actions: Actions) {
        let parts = describe(&actions);
        if !event.is_empty() || !parts.is_empty() {
            let line = format!("{:<5} {event}: {}", self.now_ms, parts.join(", "));
            writeln!(self.trace, "{}", line.trim_end()).unwrap();
        }
        self.dispatches.extend(actions.dispatches.iter().map(|dispatch| SentDispatch {
            at_ms: self.now_ms,
            job: dispatch.job,
            engine: dispatch.engine.0,
        }));
        let rejected = |(job, answer): &(JobId, FinalAnswer)| {
            matches!(answer, FinalAnswer::Rejected { .. }).then_some(*job)
        };
        self.rejections.extend(actions.answers.iter().filter_map(rejected));
        self.health_checks_sent += actions.health_checks.len();
        self.health_checks_in_flight.extend(actions.health_checks);
    }
}

/// The actions in the form in which the trace shows them.
fn describe(actions: &Actions) -> Vec<String> {
    let mut parts: Vec<String> = Vec::new();
    parts.extend(
        actions.cancellations.iter().map(|id| format!("cancel dispatch {}.{}", id.job.0, id.attempt)),
    );
    parts.extend(actions.answers.iter().map(|(job, answer)| match answer {
        FinalAnswer::Rejected { .. } => format!("reject {}", job.0),
        FinalAnswer::Cancelled => format!("cancel job {}", job.0),
    }));
    parts.extend(actions.dispatches.iter().map(|dispatch| {
        let grant = dispatch
            .options
            .map(|options| format!(" with {} MB", options.memory_grant_mb))
            .unwrap_or_default();
        format!("dispatch {} to {}{grant}", dispatch.job.0, dispatch.engine.0)
    }));
    parts.extend(actions.health_checks.iter().map(|engine| format!("health check {}", engine.0)));
    parts
}

/// Identifies a dispatch of a job by its number, from 0.
pub fn attempt(job: JobId, attempt: u32) -> DispatchId {
    DispatchId { job, attempt }
}

/// An entry for a running engine without a recent start, which is warm.
pub fn running(engine: u32) -> Endpoint {
    endpoint(engine, LifecycleState::Running)
}

/// An entry for a running engine that started at this time.
pub fn running_since(engine: u32, started_at_ms: f64) -> Endpoint {
    Endpoint { started_at: Some(Timestamp::from_millis_f64(started_at_ms)), ..running(engine) }
}

/// An entry for an engine that finishes its dispatches in flight and accepts no new ones.
pub fn draining(engine: u32) -> Endpoint {
    endpoint(engine, LifecycleState::Draining)
}

/// An entry for an engine that has been shut down.
pub fn gone(engine: u32) -> Endpoint {
    endpoint(engine, LifecycleState::Gone)
}

/// An endpoint list entry. Engines with even numbers are in location 0, those with odd numbers in location 1.
fn endpoint(engine: u32, lifecycle: LifecycleState) -> Endpoint {
    Endpoint {
        engine: EngineId(engine),
        name: format!("engine-{engine}"),
        location: engine as usize % 2,
        lifecycle,
        capacity_hint: 1.0,
        replaces: None,
        ..Endpoint::default()
    }
}
