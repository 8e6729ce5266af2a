//! A dispatch whose engine has not answered completely yet.

use crate::engine::handle::{DispatchHandle, EngineRequest};
use crate::job::admitted_job::AdmittedJob;
use crate::job::command::DispatchCommand;
use crate::job::result_pages::ResultPages;
use crate::lifecycle::clock;
use pebblevane::interface::ProgressUpdate;
use pebblevane::time::Timestamp;

/// A dispatch that has been handed to its engine's connections.
pub(super) struct InFlightDispatch {
    pub(super) handle: DispatchHandle,
    /// The number of the dispatch within its job.
    pub(super) attempt: u32,
    /// When it was handed to the connections, which may be earlier than its first byte.
    pub(super) sent: Timestamp,
    /// When the dispatch times out.
    pub(super) deadline: Timestamp,
    /// The pages of the result received so far.
    pub(super) result: Option<ResultPages>,
    /// Whether the engine has reported progress that shows that the job is running.
    progress_reported: bool,
    /// If the first byte has not been sent before this time, the dispatch is withheld. `None` once that has been
    /// checked.
    begin_by: Option<Timestamp>,
}

impl InFlightDispatch {
    /// Hands a dispatch of this job to the connections of its engine.
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

    /// Records whether this progress shows that the engine is running the job and not letting it wait.
    pub(super) fn record_progress(&mut self, update: ProgressUpdate) {
        self.progress_reported |=
            matches!(update, ProgressUpdate::CompletedFraction(_) | ProgressUpdate::SpillingToDisk(_));
    }

    /// Whether the engine has reported progress or a result that shows that the job has been running there.
    pub(super) fn has_run(&self) -> bool {
        self.progress_reported || self.result.is_some()
    }

    /// The time of the next check: of `begin_by`, or of the deadline.
    pub(super) fn next_check(&self) -> Timestamp {
        self.begin_by.map_or(self.deadline, |begin_by| begin_by.min(self.deadline))
    }

    /// Withholds the dispatch if its `begin_by` has passed while it waits for a connection. Returns whether it was
    /// withheld.
    pub(super) fn withhold_after_begin_by(&mut self) -> bool {
        let due = self.begin_by.take_if(|begin_by| *begin_by <= clock::now());
        due.is_some() && self.handle.withhold_if_queued()
    }

    /// Whether the dispatch has timed out.
    pub(super) fn is_overdue(&self) -> bool {
        self.deadline <= clock::now()
    }
}
