//! How a dispatch ended, and how that is reported.

use crate::engine::handle::DispatchHandle;
use crate::job::command::DispatchListener;
use crate::job::in_flight_dispatch::InFlightDispatch;
use crate::lifecycle::clock;
use crate::session::dispatch_ledger::{DispatchLedger, Execution};
use crossbeam_channel::Receiver;
use pebblevane::interface::{ActualCost, DispatchResult, DispatchStatus, JobId, LoadReport};
use pebblevane::time::Timestamp;

/// How a dispatch ended.
pub(super) struct DispatchEnd {
    status: DispatchStatus,
    engine_reachable: bool,
    actual_cost: Option<ActualCost>,
    load_report: Option<LoadReport>,
}

impl DispatchEnd {
    /// An end with this status and no further information.
    pub(super) fn new(status: DispatchStatus) -> DispatchEnd {
        DispatchEnd { status, engine_reachable: false, actual_cost: None, load_report: None }
    }

    /// The end of a dispatch that was never sent, which is not the engine's fault.
    pub(super) fn never_sent() -> DispatchEnd {
        DispatchEnd::new(DispatchStatus::Unreachable).engine_reachable(true)
    }

    /// Sets whether the engine counts as reachable although the dispatch ended this way.
    pub(super) fn engine_reachable(self, engine_reachable: bool) -> DispatchEnd {
        DispatchEnd { engine_reachable, ..self }
    }

    /// Sets what the job cost, if the engine has reported it.
    pub(super) fn actual_cost(self, actual_cost: Option<ActualCost>) -> DispatchEnd {
        DispatchEnd { actual_cost, ..self }
    }

    /// Sets the load report that the engine sent with its last message, if any.
    pub(super) fn load_report(self, load_report: Option<LoadReport>) -> DispatchEnd {
        DispatchEnd { load_report, ..self }
    }

    /// Whether the engine may still be running the job, so that it has to be cancelled there.
    pub(super) fn needs_cancellation(&self) -> bool {
        matches!(
            self.status,
            DispatchStatus::Cancelled
                | DispatchStatus::TimedOut
                | DispatchStatus::Failed
                | DispatchStatus::ConnectionLost
        )
    }
}

/// A dispatch that has ended, but whose end has not been reported yet.
#[must_use]
pub(super) struct FinishedDispatch {
    handle: DispatchHandle,
    sent: Timestamp,
    attempt: u32,
    result: DispatchResult,
}

impl FinishedDispatch {
    /// A dispatch that ends now.
    pub(super) fn new(dispatch: InFlightDispatch, end: &DispatchEnd) -> FinishedDispatch {
        let InFlightDispatch { handle, sent, attempt, .. } = dispatch;
        let result = DispatchResult {
            status: end.status,
            elapsed: clock::now() - sent,
            job_finished: false,
            engine_reachable: end.engine_reachable,
            actual_cost: end.actual_cost,
            load_report: end.load_report,
        };
        FinishedDispatch { handle, sent, attempt, result }
    }

    /// The number of the dispatch within its job.
    pub(super) fn attempt(&self) -> u32 {
        self.attempt
    }

    /// How it ended.
    pub(super) fn status(&self) -> DispatchStatus {
        self.result.status
    }

    /// Cancels the dispatch at its engine. The receiver is disconnected once the cancellation has been written.
    pub(super) fn cancel_at_engine(&self) -> Receiver<()> {
        self.handle.cancel()
    }

    /// Records the end in the job's ledger, drops the handle to release the dispatch's resources at the engine, and
    /// notifies the listener.
    pub(super) fn report(self, job: JobId, ledger: &DispatchLedger, listener: &dyn DispatchListener) {
        let FinishedDispatch { handle, sent, attempt, result } = self;
        if handle.may_have_been_sent() {
            let never_ran = matches!(
                result.status,
                DispatchStatus::Overloaded | DispatchStatus::Unreachable | DispatchStatus::Expired
            );
            let execution = if never_ran { Execution::NeverRan } else { Execution::MayHaveRun };
            ledger.record_end(sent, execution);
        }
        drop(handle);
        listener.dispatch_finished(job, attempt, result);
    }
}
