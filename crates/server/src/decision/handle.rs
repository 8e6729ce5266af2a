//! The handle on the controller's thread. Events reach the thread through one bounded channel, except that changes of
//! the endpoint list, a graceful shutdown and disconnecting clients bypass it.

use crate::codec::client::Reply;
use crate::codec::event_bus::Event;
use crate::decision::event::ControllerEvent;
use crate::discovery::EndpointListener;
use crate::job::{AdmittedJob, JobReporter};
use crate::lifecycle::sync::lock;
use crossbeam_channel::Sender;
use pebblevane::interface::{DispatchResult, EngineId, Job, JobId, ProgressUpdate};
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

/// The retry delay for clients whose jobs are rejected by one of the program's own limits.
pub const LOCAL_LIMIT_RETRY_DELAY: TimeDelta = TimeDelta(1_000_000);

/// The handle on the controller's thread.
pub struct ControllerHandle {
    events: Sender<ControllerEvent>,
    urgent_events: Sender<ControllerEvent>,
    /// Jobs whose clients have disconnected. They bypass the bounded channel; there are no more of them than open jobs.
    disconnected: Mutex<Vec<JobId>>,
    next_job: Mutex<u32>,
    /// Jobs that were submitted and are not yet released.
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

    /// Submits a job, or rejects it if the event queue is full. Returns whether it was submitted; the controller then
    /// has to answer it. Jobs are numbered in the order of submission. This never blocks on the controller, since the
    /// thread that reads all clients calls it.
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

    /// The client of a job has disconnected. The job's token has been cancelled already.
    pub fn client_disconnected(&self, id: JobId) {
        lock(&self.disconnected).push(id);
        // If the event queue is full the thread is awake, and checks for disconnected clients before the next event.
        let _ = self.events.try_send(ControllerEvent::ClientsDisconnected);
    }

    /// A graceful shutdown has begun: all jobs are to be answered by `deadline`.
    pub fn begin_shutdown(&self, deadline: Timestamp) {
        let _ = self.urgent_events.send(ControllerEvent::ShutdownBegun { deadline });
    }

    /// A health check has ended.
    pub(super) fn health_check_finished(&self, engine: EngineId, result: DispatchResult) {
        self.send(ControllerEvent::HealthCheckFinished { engine, result });
    }

    /// Takes the jobs whose clients have disconnected since this was last called.
    #[must_use]
    pub(super) fn take_disconnected(&self) -> Vec<JobId> {
        std::mem::take(&mut *lock(&self.disconnected))
    }

    fn send(&self, event: ControllerEvent) {
        // The controller's thread ends only with the process.
        let _ = self.events.send(event);
    }
}

impl JobReporter for ControllerHandle {
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
