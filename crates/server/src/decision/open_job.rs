//! What the controller's thread keeps of a job until its release.

use crate::codec::client::Reply;
use crate::decision::handle::{ControllerHandle, RETRY_AFTER};
use crate::engine::dispatch_ledger::DispatchLedger;
use crate::job::{AdmittedJob, JobCommand, JobTask, WorkerPool};
use crate::session::responder::Responder;
use crate::telemetry::counters;
use crossbeam_channel::{Sender, bounded};
use pebblevane::interface::{FinalAnswer, JobId};
use std::sync::Arc;

/// Commands that wait for one job: more than its dispatches and cancellations make.
const COMMAND_QUEUE_LENGTH: usize = 32;

/// A job that is not released yet.
pub(super) struct OpenJob {
    state: JobState,
    responder: Arc<Responder>,
    ledger: Arc<DispatchLedger>,
    answered: bool,
    attempts: u32,
}

enum JobState {
    /// Nothing was dispatched yet, and no thread is needed.
    Pending(Box<AdmittedJob>),
    /// In a thread that takes its commands here.
    Running(Sender<JobCommand>),
    /// No thread could be made for it, and its client has been told to come back.
    Rejected,
}

impl OpenJob {
    /// A job of which nothing is dispatched yet.
    pub(super) fn new(admitted: Box<AdmittedJob>) -> OpenJob {
        let (responder, ledger) = (admitted.responder.clone(), admitted.ledger.clone());
        OpenJob { state: JobState::Pending(admitted), responder, ledger, answered: false, attempts: 0 }
    }

    /// Whether the job has its answer, or its client has disconnected, whether or not the controller knows.
    pub(super) fn is_over(&self) -> bool {
        self.responder.is_finished()
    }

    /// Whether the controller's thread knows that no answer is owed any more.
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    /// No answer is owed any more.
    pub(super) fn mark_answered(&mut self) {
        self.answered = true;
    }

    /// The number of the next attempt, from 0; each number is given once.
    #[must_use]
    pub(super) fn next_attempt(&mut self) -> u32 {
        let attempt = self.attempts;
        self.attempts += 1;
        attempt
    }

    /// Gives the job a thread, unless it has one; returns whether it has one now. Where none can be made the job is
    /// rejected, which is harmless as nothing of it has ever left.
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
        let (commands, command_queue) = bounded(COMMAND_QUEUE_LENGTH);
        match workers.start(JobTask::new(id, command_queue, admitted, controller)) {
            Ok(()) => JobState::Running(commands),
            Err(e) => {
                tracing::warn!(job = id.0, reason = %e, "no thread for a job");
                counters::LOCAL_LIMIT_REJECTIONS.increment();
                self.answered = true;
                self.responder.respond(&Reply::Rejected { retry_after: RETRY_AFTER });
                JobState::Rejected
            }
        }
    }

    /// Gives the client the controller's answer.
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
                self.responder.respond(&Reply::Failed { reason: "cancelled" });
            }
        }
    }

    /// Gives the job's thread a command. The channel holds more commands than a job can have, and a job whose thread
    /// has ended needs none.
    pub(super) fn command(&self, command: JobCommand) {
        let JobState::Running(commands) = &self.state else { return };
        if commands.try_send(command).is_err() {
            tracing::debug!("command for a job that has ended");
        }
    }
}
