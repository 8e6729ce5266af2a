//! Processes client messages, and submits jobs to the admission controller.

use super::close_reason::ReadError;
use super::context::ClientContext;
use crate::codec::client::{
    ClientRequest, FailureReason, InvalidRequest, Message, ProtocolError, Reply, RequestId,
};
use crate::codec::sql;
use crate::decision::LOCAL_LIMIT_RETRY_DELAY;
use crate::job::{AdmittedJob, RESERVED_RESULT_BYTES};
use crate::lifecycle::clock;
use crate::limits::Permit;
use crate::session::client_job_ids::{ReservationError, ReservedJobId};
use crate::session::client_session::ClientSession;
use crate::session::dispatch_ledger::DispatchLedger;
use crate::session::responder::Responder;
use crate::telemetry::counters;
use pebblevane::interface::Job;
use pebblevane::time::Timestamp;
use std::sync::Arc;

/// Whether a message was accepted. Clients whose messages are refused are read more slowly.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The job was submitted to the controller, or the message was processed.
    Accepted,
    /// The message is invalid, or a limit of the program is reached.
    Refused,
}

/// The permits that an open job holds.
struct JobPermits {
    job_slot: Permit,
    memory: Permit,
}

/// Processes a message. `arrived_at` is the earliest time at which it can have arrived.
///
/// # Errors
/// If a request has the id of an open request, because its client could not distinguish the two answers.
pub(super) fn handle_message(
    context: &ClientContext,
    session: &Arc<ClientSession>,
    message: Message,
    arrived_at: Timestamp,
) -> Result<Outcome, ReadError> {
    if message.request_id().is_some_and(|request_id| session.is_open(request_id)) {
        return Err(ProtocolError::DuplicateRequestId.into());
    }
    Ok(match message {
        Message::Submit(request) => admit(context, session, request, arrived_at),
        Message::Cancel(request_ids) => {
            cancel_requests(context, session, &request_ids);
            Outcome::Accepted
        }
        Message::HealthCheck(request_id) => {
            session.write_deferred(request_id, &Reply::Health(context.shutdown.is_healthy()));
            Outcome::Accepted
        }
        Message::Invalid { request_id, reason } => refuse_invalid(session, request_id, reason),
        Message::Discarded(request_id) => reject_at_limit(session, request_id),
        Message::UnknownNotification => Outcome::Refused,
    })
}

fn cancel_requests(context: &ClientContext, session: &ClientSession, request_ids: &[RequestId]) {
    for job in request_ids.iter().filter_map(|request_id| session.cancel(*request_id)) {
        counters::JOBS_ABANDONED.increment();
        context.controller.client_disconnected(job);
    }
}

fn refuse_invalid(session: &ClientSession, request_id: RequestId, reason: InvalidRequest) -> Outcome {
    counters::INVALID_REQUESTS.increment();
    session.write_deferred(request_id, &Reply::Failed { reason: FailureReason::InvalidRequest(reason) });
    Outcome::Refused
}

/// Submits a job to the controller, unless its id is in use or one of the program's own limits is reached.
fn admit(
    context: &ClientContext,
    session: &Arc<ClientSession>,
    request: ClientRequest,
    arrived_at: Timestamp,
) -> Outcome {
    let client_job_id = match context.client_job_ids.reserve(&request.client_job_id) {
        Ok(client_job_id) => client_job_id,
        Err(error) => return refuse_invalid(session, request.request_id, id_in_use(error)),
    };
    let Some(permits) = acquire_permits(context, session, &request) else {
        return reject_at_limit(session, request.request_id);
    };
    let deadline = arrived_at + request.client_timeout;
    let left_ms = (deadline - clock::now()).as_millis_f64();
    tracing::debug!(job = %request.client_job_id, left_ms, "job submitted");
    let job = controller_job(&request);
    let admitted = admitted_job(context, session, request, client_job_id, permits, deadline);
    if context.controller.submit(job, arrived_at, admitted) {
        counters::JOBS_ADMITTED.increment();
        Outcome::Accepted
    } else {
        counters::LOCAL_LIMIT_REJECTIONS.increment();
        Outcome::Refused
    }
}

fn id_in_use(error: ReservationError) -> InvalidRequest {
    match error {
        ReservationError::Open => InvalidRequest::DuplicateJobId,
        ReservationError::MayHaveRun => InvalidRequest::JobMayHaveRun,
    }
}

/// The permits for a job, its statement and its result; `None` if the connection or the program is at its limit.
fn acquire_permits(
    context: &ClientContext,
    session: &ClientSession,
    request: &ClientRequest,
) -> Option<JobPermits> {
    let job_slot = session.has_capacity().then(|| context.open_jobs.acquire(1)).flatten();
    let memory = context.buffer_bytes.acquire(request.statement.len() + RESERVED_RESULT_BYTES);
    Some(JobPermits { job_slot: job_slot?, memory: memory? })
}

/// Rejects a job without asking the controller. This is the only decision that the server makes itself.
fn reject_at_limit(session: &ClientSession, request_id: RequestId) -> Outcome {
    counters::LOCAL_LIMIT_REJECTIONS.increment();
    session.write_deferred(request_id, &Reply::Rejected { retry_after: LOCAL_LIMIT_RETRY_DELAY });
    Outcome::Refused
}

/// The job as it is submitted to the controller.
fn controller_job(request: &ClientRequest) -> Job {
    Job {
        class: request.class,
        time_left: request.client_timeout,
        cost: request.estimated_cost,
        memory_mb: request.memory_mb,
        table_group: sql::table_group(&request.statement).unwrap_or(0),
        is_retry: request.is_retry,
        ..Job::default()
    }
}

/// The job as it is passed to the thread that dispatches and answers it.
fn admitted_job(
    context: &ClientContext,
    session: &Arc<ClientSession>,
    request: ClientRequest,
    client_job_id: ReservedJobId,
    permits: JobPermits,
    deadline: Timestamp,
) -> AdmittedJob {
    let class = &context.classes[request.class];
    let ledger = Arc::new(DispatchLedger::new(&request.client_job_id, class.retry_safety, deadline));
    let responder = Responder::new(session, request.request_id, client_job_id, ledger.clone(), deadline);
    AdmittedJob {
        responder: Arc::new(responder),
        ledger,
        client_job_id: request.client_job_id,
        class: class.name.clone(),
        statement: request.statement.into(),
        memory: permits.memory,
        job_slot: permits.job_slot,
    }
}
