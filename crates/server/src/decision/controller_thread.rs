//! The loop of the controller's thread: takes the next event and calls the controller's method for it.

use crate::codec::event_bus::Event;
use crate::config::NamePositions;
use crate::decision::endpoint_directory::EndpointDirectory;
use crate::decision::event::ControllerEvent;
use crate::decision::handle::ControllerHandle;
use crate::decision::open_job::OpenJob;
use crate::engine::registry::EngineRegistry;
use crate::job::{AdmittedJob, WorkerPool};
use crate::lifecycle::clock;
use crossbeam_channel::{Receiver, select};
use pebblevane::controller::AdmissionController;
use pebblevane::interface::{Actions, DispatchResult, DispatchStatus, Job, JobId, ListScope};
use pebblevane::settings::Settings;
use pebblevane::time::Timestamp;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

/// The maximum wait for an event while no timer is set.
const MAX_IDLE_WAIT: Duration = Duration::from_hours(1);

/// The controller, and what its thread needs to carry out the controller's actions.
pub(super) struct ControllerThread {
    pub(super) controller: AdmissionController,
    pub(super) handle: Arc<ControllerHandle>,
    /// When the controller's next timer fires.
    pub(super) next_timer: Option<Timestamp>,
    pub(super) jobs: BTreeMap<JobId, OpenJob>,
    pub(super) endpoints: EndpointDirectory,
    pub(super) workers: WorkerPool,
}

impl ControllerThread {
    /// The state at the start of the thread, without jobs and engines.
    pub(super) fn new(
        settings: &Settings,
        seed: u64,
        handle: Arc<ControllerHandle>,
        registry: Arc<EngineRegistry>,
    ) -> ControllerThread {
        let name_positions = NamePositions::read(settings);
        ControllerThread {
            controller: AdmissionController::new(clock::now(), seed, settings),
            handle,
            next_timer: None,
            jobs: BTreeMap::new(),
            endpoints: EndpointDirectory::new(name_positions, registry),
            workers: WorkerPool::default(),
        }
    }

    /// Passes the engines that are known at the start to the controller as one complete list.
    pub(super) fn load_initial_endpoints(&mut self, events: Vec<Event>) {
        let now = clock::now();
        let endpoints = self.endpoints.apply_initial(now, events);
        let actions = self.controller.endpoints_changed(now, ListScope::Complete, endpoints);
        self.carry_out(now, actions);
    }

    /// Handles events until the process ends, urgent events first.
    pub(super) fn run(
        mut self,
        events: &Receiver<ControllerEvent>,
        urgent_events: &Receiver<ControllerEvent>,
    ) {
        loop {
            let event = self.next_event(events, urgent_events);
            let now = clock::now();
            self.endpoints.record_wall_clock(now);
            self.handle_disconnected_clients(now);
            if let Some(event) = event {
                self.handle_event(now, event);
            }
            // A due timer fires even if more events are queued. One call handles all timers that are due.
            if self.next_timer.is_some_and(|due| due <= now) {
                let actions = self.controller.timer_fired(now);
                self.carry_out(now, actions);
            }
        }
    }

    /// Waits for an event until the next timer is due.
    fn next_event(
        &self,
        events: &Receiver<ControllerEvent>,
        urgent_events: &Receiver<ControllerEvent>,
    ) -> Option<ControllerEvent> {
        let wait = self.next_timer.map_or(MAX_IDLE_WAIT, clock::duration_until);
        urgent_events.try_recv().ok().or_else(|| {
            select! {
                recv(urgent_events) -> event => event.ok(),
                recv(events) -> event => event.ok(),
                default(wait) => None,
            }
        })
    }

    fn handle_disconnected_clients(&mut self, now: Timestamp) {
        for id in self.handle.take_disconnected() {
            if let Some(open) = self.jobs.get_mut(&id) {
                open.mark_answered();
                let actions = self.controller.client_disconnected(now, id);
                self.carry_out(now, actions);
            }
        }
    }

    fn handle_event(&mut self, now: Timestamp, event: ControllerEvent) {
        let actions = match event {
            ControllerEvent::JobSubmitted { id, mut job, arrived, admitted } => {
                // Subtracts the time since the client's request arrived.
                job.time_left = job.time_left + (arrived - now);
                self.job_submitted(now, id, job, admitted)
            }
            ControllerEvent::DispatchFinished { id, attempt, result } => {
                self.dispatch_finished(now, id, attempt, result)
            }
            ControllerEvent::DispatchProgress { id, attempt, update } => {
                Some(self.controller.dispatch_progress(now, id, attempt, update))
            }
            ControllerEvent::HealthCheckFinished { engine, result } => {
                Some(self.controller.health_check_finished(now, engine, result))
            }
            ControllerEvent::EndpointsChanged { event, last_complete } => {
                Some(self.endpoints_changed(now, event, last_complete))
            }
            ControllerEvent::EndpointListUnavailable => Some(self.controller.endpoint_list_unavailable(now)),
            ControllerEvent::ShutdownBegun { answered_by } => {
                Some(self.controller.begin_shutdown(now, answered_by))
            }
            // `handle_disconnected_clients` has handled their jobs before this event.
            ControllerEvent::ClientsDisconnected => None,
        };
        if let Some(actions) = actions {
            self.carry_out(now, actions);
        }
    }

    fn job_submitted(
        &mut self,
        now: Timestamp,
        id: JobId,
        job: Job,
        admitted: Box<AdmittedJob>,
    ) -> Option<Actions> {
        let open = OpenJob::new(admitted);
        // The client disconnected or cancelled the job while it was queued, so it is not submitted to the controller.
        if open.is_finished() {
            self.handle.open_jobs.fetch_sub(1, SeqCst);
            return None;
        }
        self.jobs.insert(id, open);
        Some(self.controller.submit(now, id, job))
    }

    fn dispatch_finished(
        &mut self,
        now: Timestamp,
        id: JobId,
        attempt: u32,
        mut result: DispatchResult,
    ) -> Option<Actions> {
        let open = self.jobs.get_mut(&id)?;
        // After a disconnect or cancellation, the client expects no answer, even if the controller has not been
        // notified yet.
        if open.is_finished() || result.status == DispatchStatus::Completed {
            open.mark_answered();
        }
        result.job_finished = open.is_answered();
        Some(self.controller.dispatch_finished(now, id, attempt, result))
    }

    fn endpoints_changed(
        &mut self,
        now: Timestamp,
        event: Event,
        last_complete: Option<Timestamp>,
    ) -> Actions {
        let scope = if event.complete { ListScope::Complete } else { ListScope::Changes };
        let endpoints = self.endpoints.apply(now, event, last_complete);
        self.controller.endpoints_changed(now, scope, endpoints)
    }
}
