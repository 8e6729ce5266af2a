//! The admission controller: passes each event to the modules that handle it and collects the resulting actions.
//!
//! `docs/design.md` gives the reasons for the decisions.

use crate::interface::{Actions, DispatchResult, Endpoint, EngineId, Job, JobId, ListScope, ProgressUpdate};
use crate::settings::{ControllerSettings, Settings};
use crate::state::ControllerState;
use crate::time::Timestamp;
use crate::timers::Timer;
use crate::{admission, completion, endpoints, feedback, maintenance, shutdown, stuck_jobs};

/// Decides which job goes to which engine, when, and which jobs are rejected.
///
/// It does no input or output and reads no clock: the caller passes each event with its time, in the order of time, and
/// carries out the returned actions.
pub struct AdmissionController {
    state: ControllerState,
}

impl AdmissionController {
    /// Creates a controller without engines. `seed` initializes its random number generator.
    pub fn new(now: Timestamp, seed: u64, settings: &Settings) -> AdmissionController {
        let settings = ControllerSettings::from(settings);
        let mut state = ControllerState::new(now, seed, settings);
        state.actions.subscribe = state.settings.polls_endpoint_list;
        state.schedule_in(maintenance::INTERVAL, Timer::Maintenance);
        AdmissionController { state }
    }

    /// Handles an update of the endpoint list.
    pub fn endpoints_changed(
        &mut self,
        now: Timestamp,
        scope: ListScope,
        endpoints: Vec<Endpoint>,
    ) -> Actions {
        self.state.now = now;
        endpoints::apply_update(&mut self.state, scope, endpoints);
        self.take_actions()
    }

    /// Handles a failed request for the endpoint list: the last list remains in use, and a polled list is requested
    /// again later.
    pub fn endpoint_list_unavailable(&mut self, now: Timestamp) -> Actions {
        self.state.now = now;
        endpoints::handle_list_unavailable(&mut self.state);
        self.take_actions()
    }

    /// Handles a job that a client has submitted. `job.class` must be the position of a class in the settings.
    pub fn submit(&mut self, now: Timestamp, id: JobId, job: Job) -> Actions {
        self.state.now = now;
        admission::submit(&mut self.state, id, job);
        self.take_actions()
    }

    /// Handles the end of a dispatch. `attempt` is its number among the job's dispatches, from 0.
    pub fn dispatch_finished(
        &mut self,
        now: Timestamp,
        id: JobId,
        attempt: u32,
        result: DispatchResult,
    ) -> Actions {
        self.state.now = now;
        if feedback::handle_result(&mut self.state, id, attempt, &result) {
            admission::retry_or_finish(&mut self.state, id, result.status);
            completion::release(&mut self.state, id);
            admission::capacity_may_be_free(&mut self.state);
        }
        self.take_actions()
    }

    /// Handles a progress update that an engine has sent for a dispatch.
    pub fn dispatch_progress(
        &mut self,
        now: Timestamp,
        id: JobId,
        attempt: u32,
        update: ProgressUpdate,
    ) -> Actions {
        self.state.now = now;
        if feedback::handle_progress(&mut self.state, id, attempt, update) {
            stuck_jobs::cancel_if_stuck(&mut self.state, id);
        }
        self.take_actions()
    }

    /// Handles the start of a streamed answer. The job counts as finished, since the client receives the answer from
    /// here on and the job can't be dispatched again.
    pub fn response_started(&mut self, now: Timestamp, id: JobId, attempt: u32) -> Actions {
        self.state.now = now;
        if let Some(job) = self.state.jobs.get_mut(&id)
            && job.in_flight().is_some_and(|dispatch| dispatch.attempt == attempt)
        {
            job.finish();
        }
        self.take_actions()
    }

    /// Handles a client that has disconnected or has cancelled its job: cancels the job's dispatch in flight.
    pub fn client_disconnected(&mut self, now: Timestamp, id: JobId) -> Actions {
        self.state.now = now;
        if let Some(job) = self.state.jobs.get_mut(&id) {
            job.finish();
        }
        completion::cancel_dispatch(&mut self.state, id);
        completion::release(&mut self.state, id);
        self.take_actions()
    }

    /// Handles the result of a health check.
    pub fn health_check_finished(
        &mut self,
        now: Timestamp,
        engine: EngineId,
        result: DispatchResult,
    ) -> Actions {
        self.state.now = now;
        feedback::handle_health_check(&mut self.state, engine, &result);
        admission::place_waiting_jobs(&mut self.state);
        self.take_actions()
    }

    /// Begins a graceful shutdown of the process: all jobs get their final answer before `answered_by`.
    pub fn begin_shutdown(&mut self, now: Timestamp, answered_by: Timestamp) -> Actions {
        self.state.now = now;
        shutdown::begin_shutdown(&mut self.state, answered_by);
        self.take_actions()
    }

    /// Runs the timers that are due. The caller calls it at the time of [`Actions::next_timer`] or soon after.
    pub fn timer_fired(&mut self, now: Timestamp) -> Actions {
        self.state.now = now;
        while let Some(timer) = self.state.timers.pop_due(now) {
            self.fire(timer);
        }
        self.take_actions()
    }

    /// Number of retained entries (jobs, engines, table groups, keys), for detecting unbounded growth.
    pub fn retained_entries(&self) -> usize {
        self.state.retained_entries()
    }

    fn fire(&mut self, timer: Timer) {
        let state = &mut self.state;
        match timer {
            Timer::Maintenance => maintenance::run(state),
            Timer::PollEndpointList => state.actions.subscribe = true,
            Timer::AnswerDeadline(id) => completion::finish_without_result(state, id),
            Timer::ShutdownDeadline(open) => {
                for id in open {
                    completion::finish_without_result(state, id);
                }
            }
            Timer::KeyAvailable => admission::place_waiting_jobs(state),
            Timer::PlaceWaitingJobs => admission::placement_timer_fired(state),
        }
    }

    fn take_actions(&mut self) -> Actions {
        self.state.actions.next_timer = self.state.timers.next_at();
        std::mem::take(&mut self.state.actions)
    }
}
