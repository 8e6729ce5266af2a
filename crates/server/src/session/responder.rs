//! The one way of a request to its one answer, whoever gives it: the module, the job's thread or whoever admits jobs.

use crate::codec::client::Reply;
use crate::lifecycle::clock;
use crate::session::cancellation::{CancellationToken, ClientLiveness};
use crate::session::client_session::{ClientJobId, ClientSession};
use crate::telemetry::counters;
use crate::telemetry::invariants::{self, Invariant};
use pebblevane::interface::JobId;
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};

/// An answer later than this after its client's wait counts as a lost request.
const LOST_AFTER: TimeDelta = TimeDelta(500_000);

pub struct Responder {
    client: Arc<ClientSession>,
    message: u32,
    /// The client's own id of the job, for the log.
    id: Box<str>,
    /// The client's hold on that id until the answer.
    name: Mutex<Option<ClientJobId>>,
    /// When the client stops waiting.
    deadline: Timestamp,
    job: OnceLock<JobId>,
    wanted: Arc<CancellationToken>,
}

impl Responder {
    pub fn new(
        client: Arc<ClientSession>,
        message: u32,
        id: &str,
        name: ClientJobId,
        deadline: Timestamp,
    ) -> Responder {
        let (name, wanted) = (Mutex::new(Some(name)), Arc::default());
        Responder { client, message, id: id.into(), name, deadline, job: OnceLock::new(), wanted }
    }

    /// From now on an answer is owed, until it is given or the client takes the request back.
    pub fn register(&self, job: JobId) {
        let _ = self.job.set(job);
        self.client.open(self.message, job, self.wanted.clone());
    }

    /// The job has its answer, or its client has left.
    pub fn is_finished(&self) -> bool {
        self.wanted.is_cancelled()
    }

    /// Gives the answer, unless it has been given or the client has left; says whether it did. Whoever has it may ask
    /// again under the same id at once.
    pub fn respond(&self, reply: &Reply) -> bool {
        drop(self.name.lock().unwrap_or_else(PoisonError::into_inner).take());
        let answered = self.client.answer(self.message, reply);
        if answered {
            let late = clock::now() - self.deadline;
            tracing::debug!(job = %self.id, answer = reply.kind(), overdue_ms = late.as_millis_f64(), "job answered");
            if late > TimeDelta(0) {
                counters::LATE_RESPONSES.increment();
            }
            if late > LOST_AFTER {
                invariants::violated(Invariant::AnsweredInTime, &self.id);
            }
        }
        answered
    }
}

impl ClientLiveness for Responder {
    /// Also looks at what the client has sent and nobody has read yet.
    fn is_waiting(&self) -> bool {
        let owed = self.job.get().is_some_and(|job| self.client.waits_for(self.message, *job));
        if owed && self.client.has_withdrawn(self.message) {
            tracing::debug!(job = %self.id, "job cancelled by unread bytes");
            self.client.forget(self.message);
        }
        !self.wanted.is_cancelled()
    }
}

impl Drop for Responder {
    /// Whoever drops the last hold on a request has answered it, or its client has left.
    fn drop(&mut self) {
        if self.job.get().is_some_and(|job| self.client.waits_for(self.message, *job)) {
            invariants::violated(Invariant::Answered, &self.id);
        }
    }
}
