//! The admission controller: routes each event to the concern that decides on it and gathers the actions.
//!
//! `docs/design.md` gives the reasons for the decisions.

use crate::interface::{Actions, DispatchResult, Endpoint, EngineId, Job, JobId, ListScope, ProgressUpdate};
use crate::settings::{ControllerSettings, Settings};
use crate::state::ControllerState;
use crate::time::Timestamp;
use crate::timers::Timer;
use crate::{admission, completion, draining, endpoints, feedback, maintenance, stuck_jobs};

/// Decides which job goes to which engine, when, and which jobs are rejected.
///
/// It does no input or output and reads no clock: every event comes with its time and returns the actions that
/// the caller has to carry out. Events have to come in the order of time.
pub struct AdmissionController {
    state: ControllerState,
}

impl AdmissionController {
    /// A controller that knows no engines yet. `seed` starts its random draws.
    pub fn new(now: Timestamp, seed: u64, settings: &Settings) -> AdmissionController {
        let settings = ControllerSettings::from(settings);
        let mut state = ControllerState::new(now, seed, settings);
        state.actions.subscribe = state.settings.polls_endpoint_list;
        state.schedule_in(maintenance::INTERVAL, Timer::Maintenance);
        AdmissionController { state }
    }

    /// The endpoint list has changed.
    pub fn endpoints_changed(
        &mut self,
        now: Timestamp,
        scope: ListScope,
        endpoints: Vec<Endpoint>,
    ) -> Actions {
        self.state.now = now;
        endpoints::update(&mut self.state, scope, endpoints);
        self.take_actions()
    }

    /// A call to the endpoint list failed: the old list stands and is asked for again.
    pub fn endpoint_list_unavailable(&mut self, now: Timestamp) -> Actions {
        self.state.now = now;
        endpoints::unavailable(&mut self.state);
        self.take_actions()
    }

    /// A client has submitted a job. Its class has to be one of the settings'.
    pub fn submit(&mut self, now: Timestamp, id: JobId, job: Job) -> Actions {
        self.state.now = now;
        admission::submit(&mut self.state, id, job);
        self.take_actions()
    }

    /// A dispatch has ended. `attempt` counts the job's dispatches from 0.
    pub fn dispatch_finished(
        &mut self,
        now: Timestamp,
        id: JobId,
        attempt: u32,
        result: DispatchResult,
    ) -> Actions {
        self.state.now = now;
        if feedback::result(&mut self.state, id, attempt, &result) {
            admission::dispatch_failed(&mut self.state, id, result.status);
            completion::release(&mut self.state, id);
            admission::capacity_may_be_free(&mut self.state);
        }
        self.take_actions()
    }

    /// An engine has sent progress of a dispatch.
    pub fn dispatch_progress(
        &mut self,
        now: Timestamp,
        id: JobId,
        attempt: u32,
        update: ProgressUpdate,
    ) -> Actions {
        self.state.now = now;
        if feedback::progress(&mut self.state, id, attempt, update) {
            stuck_jobs::reevaluate(&mut self.state, id);
        }
        self.take_actions()
    }

    /// A streamed answer has begun: from here on the job is the client's.
    pub fn response_started(&mut self, now: Timestamp, id: JobId, attempt: u32) -> Actions {
        self.state.now = now;
        if let Some(job) = self.state.jobs.get_mut(&id)
            && job.in_flight().is_some_and(|dispatch| dispatch.attempt == attempt)
        {
            job.finish();
        }
        self.take_actions()
    }

    /// The client has left.
    pub fn client_disconnected(&mut self, now: Timestamp, id: JobId) -> Actions {
        self.state.now = now;
        if let Some(job) = self.state.jobs.get_mut(&id) {
            job.finish();
        }
        completion::cancel_dispatch(&mut self.state, id);
        completion::release(&mut self.state, id);
        self.take_actions()
    }

    /// A health check has ended.
    pub fn health_check_finished(
        &mut self,
        now: Timestamp,
        engine: EngineId,
        result: DispatchResult,
    ) -> Actions {
        self.state.now = now;
        feedback::health_check(&mut self.state, engine, &result);
        admission::place_waiting_jobs(&mut self.state);
        self.take_actions()
    }

    /// A planned shutdown: the process ends at `end`.
    pub fn begin_shutdown(&mut self, now: Timestamp, end: Timestamp) -> Actions {
        self.state.now = now;
        draining::begin_shutdown(&mut self.state, end);
        self.take_actions()
    }

    /// The time of [`Actions::next_timer`] has come.
    pub fn timer_fired(&mut self, now: Timestamp) -> Actions {
        self.state.now = now;
        while let Some(timer) = self.state.timers.pop_due(now) {
            self.fire(timer);
        }
        self.take_actions()
    }

    /// Number of entries that may grow with use, for whoever watches that it does not.
    pub fn retained_entries(&self) -> usize {
        self.state.retained_entries()
    }

    fn fire(&mut self, timer: Timer) {
        let state = &mut self.state;
        match timer {
            Timer::Maintenance => maintenance::run(state),
            Timer::PollEndpointList => state.actions.subscribe = true,
            Timer::AnswerDeadline(id) => completion::expire(state, id),
            Timer::ShutdownDeadline(open) => {
                for id in open {
                    completion::expire(state, id);
                }
            }
            Timer::KeyAvailable => admission::place_waiting_jobs(state),
            Timer::PlaceWaitingJobs => admission::retry_waiting_jobs(state),
        }
    }

    fn take_actions(&mut self) -> Actions {
        self.state.actions.next_timer = self.state.timers.next_at();
        std::mem::take(&mut self.state.actions)
    }
}
