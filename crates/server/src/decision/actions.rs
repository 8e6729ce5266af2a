//! Carries out the actions that the controller returns.

use crate::decision::controller_thread::ControllerThread;
use crate::engine::handle::HealthCheckResult;
use crate::job::{DispatchCommand, JobCommand};
use crate::lifecycle::clock;
use pebblevane::interface::{
    Actions, Dispatch, DispatchId, DispatchResult, DispatchStatus, EngineId, FinalAnswer, JobId, LoadReport,
};
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::atomic::Ordering::SeqCst;

impl ControllerThread {
    /// Carries out the actions that the controller returned at `now`.
    pub(super) fn carry_out(&mut self, now: Timestamp, actions: Actions) {
        // Actions that only set the next timer are not logged.
        if actions != (Actions { next_timer: actions.next_timer, ..Actions::default() }) {
            tracing::trace!(?actions, "controller actions");
        }
        for dispatch in actions.cancellations {
            self.cancel(dispatch);
        }
        for (id, answer) in actions.answers {
            self.answer(id, answer);
        }
        let dispatches = actions.dispatches.into_iter();
        let not_started: Vec<DispatchId> =
            dispatches.filter_map(|dispatch| self.dispatch(now, &dispatch).err()).collect();
        for engine in actions.health_checks {
            self.check_health(engine);
        }
        for line in actions.log {
            tracing::info!(line, "controller");
        }
        for id in actions.released_jobs {
            self.release(id);
        }
        for engine in actions.forgotten_engines {
            self.endpoints.remove_id(engine);
        }
        self.next_timer = actions.next_timer;
        // Reported last: the controller reacts with further actions, whose `next_timer` must not be overwritten.
        for dispatch in not_started {
            self.finish_unstarted(dispatch);
        }
    }

    fn cancel(&self, dispatch: DispatchId) {
        if let Some(open) = self.jobs.get(&dispatch.job) {
            open.command(JobCommand::Cancel { attempt: dispatch.attempt });
        }
    }

    fn answer(&mut self, id: JobId, answer: FinalAnswer) {
        if let Some(open) = self.jobs.get_mut(&id).filter(|open| !open.is_answered()) {
            open.answer(answer);
        }
    }

    /// Hands a dispatch to its job's thread. It is dropped if its job or its engine is unknown.
    ///
    /// # Errors
    /// The dispatch, if no thread could be created for its job.
    fn dispatch(&mut self, now: Timestamp, dispatch: &Dispatch) -> Result<(), DispatchId> {
        let engine = self.endpoints.engine(dispatch.engine);
        let Some((open, engine)) = self.jobs.get_mut(&dispatch.job).zip(engine) else { return Ok(()) };
        let attempt = open.next_attempt();
        if !open.start(dispatch.job, &self.workers, &self.handle) {
            return Err(DispatchId { job: dispatch.job, attempt });
        }
        open.command(JobCommand::Dispatch(DispatchCommand {
            engine: engine.clone(),
            attempt,
            // The timeout starts at the controller's decision: the job's thread may start later, and the client's
            // timeout is already running.
            deadline: now + dispatch.timeout,
            begin_by: dispatch.begin_by,
            priority: dispatch.options.map(|options| options.priority),
        }));
        Ok(())
    }

    /// Sends a health check. If the command queue is full or the engine is unknown, the check counts as timed out.
    fn check_health(&mut self, engine: EngineId) {
        let handle = self.handle.clone();
        let callback = move |result: HealthCheckResult| {
            let result = health_check_result(result.status, result.load_report, result.elapsed);
            handle.health_check_finished(engine, result);
        };
        let sent =
            self.endpoints.engine(engine).is_some_and(|engine| engine.check_health(Box::new(callback)));
        if !sent {
            let result = health_check_result(DispatchStatus::TimedOut, None, TimeDelta::default());
            let now = clock::now();
            let actions = self.controller.health_check_finished(now, engine, result);
            self.carry_out(now, actions);
        }
    }

    fn release(&mut self, id: JobId) {
        if let Some(open) = self.jobs.remove(&id) {
            open.command(JobCommand::Release);
            self.handle.open_jobs.fetch_sub(1, SeqCst);
        }
    }

    /// Reports to the controller that a dispatch was never sent because its job got no thread, and that the job has
    /// been answered with a rejection.
    fn finish_unstarted(&mut self, dispatch: DispatchId) {
        let result = DispatchResult {
            status: DispatchStatus::Unreachable,
            elapsed: TimeDelta::default(),
            job_finished: true,
            engine_reachable: true,
            actual_cost: None,
            load_report: None,
        };
        let now = clock::now();
        let actions = self.controller.dispatch_finished(now, dispatch.job, dispatch.attempt, result);
        self.carry_out(now, actions);
    }
}

fn health_check_result(
    status: DispatchStatus,
    load_report: Option<LoadReport>,
    elapsed: TimeDelta,
) -> DispatchResult {
    DispatchResult {
        status,
        elapsed,
        job_finished: false,
        engine_reachable: false,
        actual_cost: None,
        load_report,
    }
}
