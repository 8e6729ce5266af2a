//! Delays the report of a cancelled dispatch until its engine has read the cancellation.

use crate::job::dispatch_end::FinishedDispatch;
use crate::lifecycle::clock;
use crossbeam_channel::{Receiver, never};
use pebblevane::time::{TimeDelta, Timestamp};

/// The time after which an engine is assumed to have read a cancellation that was written, or the end of its
/// connection.
const CANCELLATION_READ_DELAY: TimeDelta = TimeDelta::from_millis(5);
/// The maximum time that a job waits for a cancellation to be written.
const CANCELLATION_WRITE_TIMEOUT: TimeDelta = TimeDelta::from_millis(500);

/// A finished dispatch that is being cancelled at its engine. Its end is reported once the engine is assumed to have
/// read the cancellation. Writes to different engines are not ordered: without the wait, the next engine could receive
/// the job before the cancellation takes effect.
pub(super) struct CancelledDispatch {
    /// Disconnects once the cancellation has been written.
    cancellation_written: Receiver<()>,
    report_at: Timestamp,
    finished: FinishedDispatch,
}

impl CancelledDispatch {
    /// Cancels a finished dispatch at its engine.
    #[must_use]
    pub(super) fn cancel(finished: FinishedDispatch) -> CancelledDispatch {
        let cancellation_written = finished.cancel_at_engine();
        let report_at = clock::now() + CANCELLATION_WRITE_TIMEOUT;
        CancelledDispatch { cancellation_written, report_at, finished }
    }

    /// Disconnects once the cancellation has been written.
    pub(super) fn cancellation_written(&self) -> &Receiver<()> {
        &self.cancellation_written
    }

    /// Records that the cancellation has been written. The end is reported once the engine has had time to read it.
    pub(super) fn record_cancellation_written(&mut self) {
        self.cancellation_written = never();
        self.report_at = clock::now() + CANCELLATION_READ_DELAY;
    }

    /// When the end of the dispatch has to be reported.
    pub(super) fn report_at(&self) -> Timestamp {
        self.report_at
    }

    /// The dispatch that was cancelled.
    pub(super) fn into_finished(self) -> FinishedDispatch {
        self.finished
    }
}
