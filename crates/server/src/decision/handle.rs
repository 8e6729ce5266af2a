//! The handle on the controller's thread. Events reach the thread through one bounded channel. Only events about the
//! endpoint list, a graceful shutdown, and clients that disconnect or cancel jobs bypass it.

use crate::codec::client::Reply;
use crate::codec::event_bus::Event;
use crate::decision::event::ControllerEvent;
use crate::discovery::EndpointListener;
use crate::job::{AdmittedJob, DispatchListener};
use crate::lifecycle::sync::lock;
use crossbeam_channel::Sender;
use pebblevane::interface::{DispatchResult, EngineId, Job, JobId, ProgressUpdate};
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// The retry delay that is sent to clients whose jobs are rejected because one of the program's own limits is reached.
pub const LOCAL_LIMIT_RETRY_DELAY: TimeDelta = TimeDelta::from_millis(1_000);

/// The handle on the controller's thread, through which other threads submit jobs and report events.
pub struct ControllerHandle {
    events: Sender<ControllerEvent>,
    urgent_events: Sender<ControllerEvent>,
    /// Jobs whose clients have disconnected or cancelled them. This list bypasses the bounded channel; the limit on
    /// open jobs bounds it.
    disconnected: Mutex<Vec<JobId>>,
    next_job: Mutex<u32>,
    /// The number of jobs that were submitted and are not released yet.
    pub open_jobs: AtomicUsize,
}

impl ControllerHandle {
    /// A handle that sends on these channels.
    pub(super) fn new(
        events: Sender<ControllerEvent>,
        urgent_events: Sender<ControllerEvent>,
    ) -> ControllerHandle {
        ControllerHandle {
            events,
            urgent_events,
            disconnected: Mutex::default(),
            next_job: Mutex::default(),
            open_jobs: AtomicUsize::new(0),
        }
    }

    /// Submits a job, or rejects it if the event queue is full. Returns whether it was submitted; if so, the controller
    /// has to answer it. Jobs are numbered in the order of submission. This never blocks on the controller's thread,
    /// since it is called by the one thread that serves all clients.
    #[must_use]
    pub fn submit(&self, job: Job, arrived: Timestamp, admitted: AdmittedJob) -> bool {
        let responder = admitted.responder.clone();
        let mut next_job = lock(&self.next_job);
        let id = JobId(*next_job);
        responder.register(id);
        self.open_jobs.fetch_add(1, SeqCst);
        let event = ControllerEvent::JobSubmitted { id, job, arrived, admitted: Box::new(admitted) };
        if self.events.try_send(event).is_err() {
            self.open_jobs.fetch_sub(1, SeqCst);
            responder.respond(&Reply::Rejected { retry_after: LOCAL_LIMIT_RETRY_DELAY });
            return false;
        }
        *next_job += 1;
        true
    }

    /// Notifies the thread that the client of a job has disconnected or cancelled the job. The job's cancellation token
    /// has been cancelled already.
    pub fn client_disconnected(&self, id: JobId) {
        lock(&self.disconnected).push(id);
        // If the event queue is full, the thread is awake, and it handles these jobs before its next event.
        let _ = self.events.try_send(ControllerEvent::ClientsDisconnected);
    }

    /// Notifies the thread that a graceful shutdown has begun: all jobs must be answered by `answered_by`.
    pub fn begin_shutdown(&self, answered_by: Timestamp) {
        let _ = self.urgent_events.send(ControllerEvent::ShutdownBegun { answered_by });
    }

    /// Notifies the thread that a health check has ended.
    pub(super) fn health_check_finished(&self, engine: EngineId, result: DispatchResult) {
        self.send(ControllerEvent::HealthCheckFinished { engine, result });
    }

    /// Returns the jobs whose clients have disconnected or cancelled them since the last call.
    #[must_use]
    pub(super) fn take_disconnected(&self) -> Vec<JobId> {
        std::mem::take(&mut *lock(&self.disconnected))
    }

    fn send(&self, event: ControllerEvent) {
        // The controller's thread ends only with the process.
        let _ = self.events.send(event);
    }
}

impl DispatchListener for ControllerHandle {
    fn dispatch_progress(&self, job: JobId, attempt: u32, update: ProgressUpdate) {
        self.send(ControllerEvent::DispatchProgress { id: job, attempt, update });
    }

    fn dispatch_finished(&self, job: JobId, attempt: u32, result: DispatchResult) {
        self.send(ControllerEvent::DispatchFinished { id: job, attempt, result });
    }
}

impl EndpointListener for ControllerHandle {
    fn endpoints_changed(&self, event: Event, last_complete: Option<Timestamp>) {
        let _ = self.urgent_events.send(ControllerEvent::EndpointsChanged { event, last_complete });
    }

    fn connection_lost(&self) {
        let _ = self.urgent_events.send(ControllerEvent::EndpointListUnavailable);
    }
}
