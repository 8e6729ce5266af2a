//! The jobs that the controller has not released yet.

use crate::codec::client::{FailureReason, Reply};
use crate::decision::handle::{ControllerHandle, LOCAL_LIMIT_RETRY_DELAY};
use crate::job::{AdmittedJob, JobCommand, JobTask, WorkerPool};
use crate::session::dispatch_ledger::DispatchLedger;
use crate::session::responder::Responder;
use crate::telemetry::counters;
use crossbeam_channel::{Sender, bounded};
use pebblevane::interface::{FinalAnswer, JobId};
use std::sync::Arc;

/// The capacity of one job's command queue: greater than the number of commands that a job receives.
const COMMAND_QUEUE_CAPACITY: usize = 32;

/// A job that the controller has not released yet.
pub(super) struct OpenJob {
    state: JobState,
    responder: Arc<Responder>,
    ledger: Arc<DispatchLedger>,
    answered: bool,
    /// The number of dispatches so far.
    attempts: u32,
}

enum JobState {
    /// The job has not been dispatched yet, so it needs no thread.
    Pending(Box<AdmittedJob>),
    /// A thread runs the job and receives commands through this channel.
    Running(Sender<JobCommand>),
    /// No thread could be created for the job, so it was rejected.
    Rejected,
}

impl OpenJob {
    /// A job that has not been dispatched yet.
    pub(super) fn new(admitted: Box<AdmittedJob>) -> OpenJob {
        let (responder, ledger) = (admitted.responder.clone(), admitted.ledger.clone());
        OpenJob { state: JobState::Pending(admitted), responder, ledger, answered: false, attempts: 0 }
    }

    /// Whether the job has been answered, or its client has disconnected or cancelled it. The controller may not have
    /// been notified yet.
    pub(super) fn is_finished(&self) -> bool {
        self.responder.is_finished()
    }

    /// Whether this thread has recorded that the client expects no answer any more.
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    /// Records that the client expects no answer any more.
    pub(super) fn mark_answered(&mut self) {
        self.answered = true;
    }

    /// Returns the number of the next attempt, counted from 0.
    #[must_use]
    pub(super) fn next_attempt(&mut self) -> u32 {
        let attempt = self.attempts;
        self.attempts += 1;
        attempt
    }

    /// Starts a thread for the job unless it has one, and returns whether it has one now. If no thread can be created,
    /// the job is rejected, which is safe because nothing of it has been sent to an engine.
    #[must_use]
    pub(super) fn start(
        &mut self,
        id: JobId,
        workers: &WorkerPool,
        controller: &Arc<ControllerHandle>,
    ) -> bool {
        self.state = match std::mem::replace(&mut self.state, JobState::Rejected) {
            JobState::Pending(admitted) => self.start_thread(id, *admitted, workers, controller.clone()),
            started => started,
        };
        matches!(self.state, JobState::Running(_))
    }

    fn start_thread(
        &mut self,
        id: JobId,
        admitted: AdmittedJob,
        workers: &WorkerPool,
        controller: Arc<ControllerHandle>,
    ) -> JobState {
        let (commands, command_queue) = bounded(COMMAND_QUEUE_CAPACITY);
        match workers.start(JobTask::new(id, command_queue, admitted, controller)) {
            Ok(()) => JobState::Running(commands),
            Err(e) => {
                tracing::warn!(job_number = id.0, reason = %e, "no thread for a job");
                counters::LOCAL_LIMIT_REJECTIONS.increment();
                self.answered = true;
                self.responder.respond(&Reply::Rejected { retry_after: LOCAL_LIMIT_RETRY_DELAY });
                JobState::Rejected
            }
        }
    }

    /// Sends the controller's answer to the client.
    pub(super) fn answer(&mut self, answer: FinalAnswer) {
        self.answered = true;
        match answer {
            FinalAnswer::Rejected { retry_after } => {
                counters::JOBS_REJECTED.increment();
                self.ledger.check_rejection();
                self.responder.respond(&Reply::Rejected { retry_after });
            }
            FinalAnswer::Cancelled => {
                counters::JOBS_CANCELLED.increment();
                self.responder.respond(&Reply::Failed { reason: FailureReason::Cancelled });
            }
        }
    }

    /// Sends a command to the job's thread. The channel has capacity for all commands of a job, so this can fail only
    /// if the job has ended, and then the command has no effect anyway.
    pub(super) fn command(&self, command: JobCommand) {
        let JobState::Running(commands) = &self.state else { return };
        if commands.try_send(command).is_err() {
            tracing::debug!("command for a job that has ended");
        }
    }
}
