//! The time between a cancellation and the report of the cancelled attempt.

use crate::job::dispatch_end::FinishedDispatch;
use crate::lifecycle::clock;
use crossbeam_channel::{Receiver, never};
use pebblevane::time::{TimeDelta, Timestamp};

/// Within this time an engine reads a cancellation, or the end of its connection, once that has been written.
const CANCELLATION_READ_TIMEOUT: TimeDelta = TimeDelta(5_000);
/// How long a job waits for a cancellation to be written.
const CANCELLATION_WRITE_TIMEOUT: TimeDelta = TimeDelta(500_000);

/// A finished attempt that is being cancelled at its engine, and is reported once the engine has read that. Nothing
/// orders what is written to two engines: without the wait, the next engine could have the job first.
pub(super) struct CancelledDispatch {
    /// Disconnects once the cancellation has been written.
    cancellation_written: Receiver<()>,
    report_at: Timestamp,
    finished: FinishedDispatch,
}

impl CancelledDispatch {
    /// Cancels a finished attempt at its engine.
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

    /// The cancellation has been written: its end is reported once the engine has had time to read it.
    pub(super) fn await_reading(&mut self) {
        self.cancellation_written = never();
        self.report_at = clock::now() + CANCELLATION_READ_TIMEOUT;
    }

    /// When its end is reported.
    pub(super) fn report_at(&self) -> Timestamp {
        self.report_at
    }

    /// The attempt that was cancelled.
    pub(super) fn into_finished(self) -> FinishedDispatch {
        self.finished
    }
}
