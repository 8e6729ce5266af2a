//! Ensures that a request is answered exactly once, whether by the controller's thread, the job's thread, or admission.

use super::cancellation::{CancellationToken, ClientLiveness};
use super::client_job_ids::ReservedJobId;
use super::client_session::ClientSession;
use crate::codec::client::{Reply, RequestId};
use crate::lifecycle::clock;
use crate::lifecycle::sync::lock;
use crate::limits::Permit;
use crate::session::dispatch_ledger::DispatchLedger;
use crate::telemetry::counters;
use crate::telemetry::invariants::{self, Invariant};
use pebblevane::interface::JobId;
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::{Arc, Mutex, OnceLock, Weak};

/// An answer that is later than the client's timeout by more than this counts as lost.
const ANSWER_GRACE_PERIOD: TimeDelta = TimeDelta::from_millis(500);

/// Answers one request, at most once. A registered request has to be answered before its responder is dropped, unless
/// the client has cancelled it.
pub struct Responder {
    /// The connection, which its owner drops when it ends. A job may outlive its client, where its dispatch can't be
    /// cancelled; it must not keep the descriptor then.
    session: Weak<ClientSession>,
    request_id: RequestId,
    /// The client's own id of the job, for the log.
    client_job_id: Box<str>,
    /// The reservation of `client_job_id`, until the request is answered.
    reserved_id: Mutex<Option<ReservedJobId>>,
    /// The record of the dispatches that were sent for the job.
    ledger: Arc<DispatchLedger>,
    /// The end of the client's timeout.
    deadline: Timestamp,
    /// The controller's id of the job, set when the request is registered.
    job: OnceLock<JobId>,
    cancellation: Arc<CancellationToken>,
}

impl Responder {
    /// Creates a responder for a request that is not registered yet. `deadline` is the end of the client's timeout.
    pub fn new(
        session: &Arc<ClientSession>,
        request_id: RequestId,
        client_job_id: ReservedJobId,
        ledger: Arc<DispatchLedger>,
        deadline: Timestamp,
    ) -> Responder {
        Responder {
            session: Arc::downgrade(session),
            request_id,
            client_job_id: client_job_id.as_str().into(),
            reserved_id: Mutex::new(Some(client_job_id)),
            ledger,
            deadline,
            job: OnceLock::new(),
            cancellation: Arc::default(),
        }
    }

    /// Opens the request on its connection, now that its job has a number at the controller. From then on it has to be
    /// answered, unless the client cancels it.
    pub fn register(&self, job: JobId) {
        // This fails only if the request is already registered, and a request is registered once.
        let _ = self.job.set(job);
        match self.session.upgrade() {
            Some(session) => session.open(self.request_id, job, self.cancellation.clone()),
            None => self.cancellation.cancel(),
        }
    }

    /// Whether the request has been answered or cancelled.
    pub fn is_finished(&self) -> bool {
        self.cancellation.is_cancelled()
    }

    /// Answers the request and returns true, or returns false if it has already been answered or cancelled. The
    /// client's id of the job is released first, so that a client that has its answer may use the id again, unless the
    /// job must not run again.
    pub fn respond(&self, reply: &Reply) -> bool {
        self.respond_with(reply, None)
    }

    /// Answers the request with a result, as [`Responder::respond`] does. `memory` is the permit for the answer: the
    /// part that the client does not read at once needs no further memory.
    pub fn respond_with_result(&self, rows: &[u8], memory: Permit) -> bool {
        self.respond_with(&Reply::Completed { rows }, Some(memory))
    }

    fn respond_with(&self, reply: &Reply, memory: Option<Permit>) -> bool {
        self.release_id();
        let session = self.session.upgrade();
        let responded = session.is_some_and(|session| session.respond(self.request_id, reply, memory));
        if responded {
            self.record_response(reply);
        }
        responded
    }

    /// Ends the reservation of the client's id. If the job may have run and must not run again, the id stays unusable: the
    /// client may not receive the answer, and submit the job again.
    fn release_id(&self) {
        let Some(reserved_id) = lock(&self.reserved_id).take() else { return };
        if self.ledger.close() {
            reserved_id.retain();
        }
    }

    fn record_response(&self, reply: &Reply) {
        let overdue = clock::now() - self.deadline;
        let overdue_ms = overdue.as_millis_f64();
        tracing::debug!(job = %self.client_job_id, answer = reply.kind(), overdue_ms, "job answered");
        if overdue > TimeDelta(0) {
            counters::LATE_RESPONSES.increment();
        }
        if overdue > ANSWER_GRACE_PERIOD {
            invariants::report_violation(Invariant::AnsweredInTime, &self.client_job_id);
        }
    }

    /// The connection if the request is registered and neither answered nor cancelled.
    fn session_if_open(&self) -> Option<Arc<ClientSession>> {
        let job = self.job.get()?;
        self.session.upgrade().filter(|session| session.is_open_for(self.request_id, *job))
    }
}

impl ClientLiveness for Responder {
    /// Also searches the bytes that were received from the client but not yet read for a cancellation.
    fn is_waiting(&self) -> bool {
        if self.session_if_open().is_some_and(|session| session.apply_unread_cancellation(self.request_id)) {
            tracing::debug!(job = %self.client_job_id, "job cancelled by unread bytes");
        }
        !self.is_finished()
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        if self.session_if_open().is_some() {
            invariants::report_violation(Invariant::Answered, &self.client_job_id);
        }
        self.release_id();
    }
}
