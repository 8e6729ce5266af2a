//! An attempt that waits for the engine's answer.

use crate::engine::handle::{DispatchHandle, EngineRequest};
use crate::job::admitted_job::AdmittedJob;
use crate::job::command::DispatchCommand;
use crate::job::result_pages::ResultPages;
use crate::lifecycle::clock;
use pebblevane::interface::ProgressUpdate;
use pebblevane::time::Timestamp;

/// An attempt that has been handed to its engine's connections.
pub(super) struct InFlightDispatch {
    pub(super) handle: DispatchHandle,
    /// The number of the attempt within its job.
    pub(super) attempt: u32,
    /// When it was handed over.
    pub(super) sent: Timestamp,
    /// When it times out.
    pub(super) deadline: Timestamp,
    /// The pages of the result received so far.
    pub(super) result: Option<ResultPages>,
    /// Whether the engine has reported progress that only a running job makes.
    progress_reported: bool,
    /// The attempt is withheld if its first byte was not sent before this time. `None` once that has been checked.
    begin_by: Option<Timestamp>,
}

impl InFlightDispatch {
    /// Hands an attempt at this job over to the connections of its engine.
    #[must_use]
    pub(super) fn send(job: &AdmittedJob, command: &DispatchCommand) -> InFlightDispatch {
        let sent = clock::now();
        let request = EngineRequest {
            id: job.client_job_id.clone(),
            class: job.class.clone(),
            deadline: command.deadline,
            begin_by: command.begin_by,
            liveness: job.responder.clone(),
            ledger: job.ledger.clone(),
            priority: command.priority,
            statement: job.statement.clone(),
        };
        InFlightDispatch {
            handle: command.engine.send(request),
            attempt: command.attempt,
            sent,
            deadline: command.deadline,
            result: None,
            progress_reported: false,
            begin_by: Some(command.begin_by),
        }
    }

    /// Records whether this progress shows that the job runs at its engine.
    pub(super) fn note_progress(&mut self, update: ProgressUpdate) {
        self.progress_reported |=
            matches!(update, ProgressUpdate::CompletedFraction(_) | ProgressUpdate::SpillingToDisk(_));
    }

    /// Whether its engine has shown that the job runs or ran there.
    pub(super) fn has_run(&self) -> bool {
        self.progress_reported || self.result.is_some()
    }

    /// When its `begin_by` or deadline has to be checked next.
    pub(super) fn next_check(&self) -> Timestamp {
        self.begin_by.map_or(self.deadline, |begin_by| begin_by.min(self.deadline))
    }

    /// Checks whether it still waits for a connection past its `begin_by`. If so, it will never be sent.
    pub(super) fn missed_begin_by(&mut self) -> bool {
        let due = self.begin_by.take_if(|begin_by| *begin_by <= clock::now());
        due.is_some() && self.handle.withhold_if_queued()
    }

    /// Whether it has timed out.
    pub(super) fn is_overdue(&self) -> bool {
        self.deadline <= clock::now()
    }
}
