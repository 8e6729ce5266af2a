//! Runs one job in a thread of its own, from its first dispatch to its release.

use crate::codec::client::RESULT_OVERHEAD_BYTES;
use crate::codec::engine::EngineMessage;
use crate::engine::handle::DispatchEvent;
use crate::job::admitted_job::AdmittedJob;
use crate::job::cancelled_dispatch::CancelledDispatch;
use crate::job::command::{DispatchListener, JobCommand};
use crate::job::dispatch_end::{DispatchEnd, FinishedDispatch};
use crate::job::in_flight_dispatch::InFlightDispatch;
use crate::job::result_pages::ResultPages;
use crate::lifecycle::clock;
use crate::telemetry::counters;
use crossbeam_channel::{Receiver, never, select};
use pebblevane::interface::{DispatchStatus, JobId, LoadReport, ProgressUpdate};
use std::sync::Arc;
use std::time::Duration;

/// The maximum wait for an event while no check or report is scheduled.
const MAX_IDLE_WAIT: Duration = Duration::from_hours(1);

/// A job that has been dispatched at least once.
#[must_use]
pub struct JobTask {
    in_flight: Option<InFlightDispatch>,
    id: JobId,
    commands: Receiver<JobCommand>,
    job: AdmittedJob,
    listener: Arc<dyn DispatchListener>,
    /// A dispatch that is being cancelled at its engine and is not reported yet.
    cancelled: Option<CancelledDispatch>,
}

/// An event that a job's thread waits for.
enum TaskEvent {
    CancellationWritten,
    /// `None` once the sender has been dropped.
    Command(Option<JobCommand>),
    /// `None` once the engine's connections have dropped the dispatch.
    Engine(Option<DispatchEvent>),
    /// A check of the dispatch in flight, or the report of a cancelled one, is due.
    Due,
}

impl JobTask {
    /// A job that receives its commands from this channel.
    pub fn new(
        id: JobId,
        commands: Receiver<JobCommand>,
        job: AdmittedJob,
        listener: Arc<dyn DispatchListener>,
    ) -> JobTask {
        JobTask { in_flight: None, id, commands, job, listener, cancelled: None }
    }

    /// Runs the job until it is released.
    pub fn run(mut self) {
        loop {
            match self.next_event() {
                TaskEvent::CancellationWritten => {
                    if let Some(cancelled) = &mut self.cancelled {
                        cancelled.record_cancellation_written();
                    }
                }
                TaskEvent::Command(Some(JobCommand::Dispatch(command))) => {
                    self.in_flight = Some(InFlightDispatch::send(&self.job, &command));
                }
                TaskEvent::Command(Some(JobCommand::Cancel { attempt })) => self.cancel(attempt),
                TaskEvent::Command(Some(JobCommand::Release) | None) => return,
                TaskEvent::Engine(event) => self.handle_dispatch_event(event),
                TaskEvent::Due => self.handle_due(),
            }
        }
    }

    fn next_event(&self) -> TaskEvent {
        let (no_dispatch, no_cancellation) = (never(), never());
        let events = self.in_flight.as_ref().map_or(&no_dispatch, |dispatch| &dispatch.handle.events);
        let cancellation_written =
            self.cancelled.as_ref().map_or(&no_cancellation, CancelledDispatch::cancellation_written);
        let next_check = self.in_flight.as_ref().map(InFlightDispatch::next_check);
        let due = next_check.or(self.cancelled.as_ref().map(CancelledDispatch::report_at));
        let wait = due.map_or(MAX_IDLE_WAIT, clock::duration_until);
        select! {
            recv(cancellation_written) -> _ => TaskEvent::CancellationWritten,
            recv(self.commands) -> command => TaskEvent::Command(command.ok()),
            recv(events) -> event => TaskEvent::Engine(event.ok()),
            default(wait) => TaskEvent::Due,
        }
    }

    /// Cancels a dispatch if it is the one in flight.
    fn cancel(&mut self, attempt: u32) {
        let Some(dispatch) = self.in_flight.take_if(|dispatch| dispatch.attempt == attempt) else { return };
        let end = if dispatch.handle.withhold() {
            DispatchEnd::never_sent()
        } else {
            DispatchEnd::new(DispatchStatus::Cancelled)
        };
        self.finish(dispatch, &end);
    }

    /// Handles one check or report that is due. Any others are handled by later `Due` events.
    fn handle_due(&mut self) {
        let now = clock::now();
        if let Some(cancelled) = self.cancelled.take_if(|cancelled| cancelled.report_at() <= now) {
            self.report(cancelled.into_finished());
        } else if let Some(dispatch) = self.in_flight.take_if(InFlightDispatch::withhold_after_begin_by) {
            self.finish(dispatch, &DispatchEnd::never_sent());
        } else if let Some(dispatch) = self.in_flight.take_if(|dispatch| dispatch.is_overdue()) {
            let status = if dispatch.handle.withhold() {
                DispatchStatus::Unreachable
            } else {
                DispatchStatus::TimedOut
            };
            self.finish(dispatch, &DispatchEnd::new(status));
        }
    }

    fn handle_dispatch_event(&mut self, event: Option<DispatchEvent>) {
        let Some(dispatch) = self.in_flight.take() else { return };
        match event {
            Some(DispatchEvent::Message(message)) => self.handle_message(dispatch, message),
            Some(DispatchEvent::Lost { status, engine_reachable }) => {
                self.finish(dispatch, &DispatchEnd::new(status).engine_reachable(engine_reachable));
            }
            None => self.finish(dispatch, &DispatchEnd::new(DispatchStatus::ConnectionLost)),
        }
    }

    fn handle_message(&mut self, mut dispatch: InFlightDispatch, message: EngineMessage) {
        match message {
            EngineMessage::Progress(update) => {
                if let Some(update) = update {
                    self.report_progress(&mut dispatch, update);
                }
                self.in_flight = Some(dispatch);
            }
            EngineMessage::FirstPage { page, page_count, actual_cost, load_report } => {
                dispatch.result = Some(ResultPages::new(page, page_count, actual_cost, load_report));
                self.collect_result(dispatch);
            }
            EngineMessage::FurtherPage { page, page_number } => {
                if let Some(result) = &mut dispatch.result {
                    result.add(page_number, page);
                }
                self.collect_result(dispatch);
            }
            EngineMessage::Overloaded(report) => {
                self.finish_not_run(dispatch, DispatchStatus::Overloaded, report);
            }
            EngineMessage::Expired(report) => self.finish_not_run(dispatch, DispatchStatus::Expired, report),
            EngineMessage::Failed(report) => {
                self.finish(dispatch, &DispatchEnd::new(DispatchStatus::Failed).load_report(report));
            }
            EngineMessage::Healthy(_) | EngineMessage::Unhealthy(_) => self.in_flight = Some(dispatch),
        }
    }

    fn report_progress(&self, dispatch: &mut InFlightDispatch, update: ProgressUpdate) {
        dispatch.record_progress(update);
        self.listener.dispatch_progress(self.id, dispatch.attempt, update);
    }

    /// Finishes a dispatch that its engine reports as not run. If earlier messages of the engine show that the job did
    /// run, the dispatch counts as failed instead.
    fn finish_not_run(
        &mut self,
        dispatch: InFlightDispatch,
        status: DispatchStatus,
        report: Option<LoadReport>,
    ) {
        let status = if dispatch.has_run() { DispatchStatus::Failed } else { status };
        self.finish(dispatch, &DispatchEnd::new(status).load_report(report));
    }

    /// Requests further pages, or answers the client if all pages have been received. A result of which a page is
    /// malformed, or missing at the deadline, never completes a job.
    fn collect_result(&mut self, mut dispatch: InFlightDispatch) {
        let Some(result) = &mut dispatch.result else {
            self.in_flight = Some(dispatch);
            return;
        };
        let answer_bytes = result.received_bytes() + RESULT_OVERHEAD_BYTES;
        let memory_granted = self.job.memory.grow_to(self.job.statement.len() + answer_bytes);
        if !memory_granted || result.exceeds_limits() {
            self.finish(dispatch, &DispatchEnd::new(DispatchStatus::Failed));
            return;
        }
        if !result.is_complete() {
            result.take_requests().for_each(|page| dispatch.handle.fetch_page(page));
            self.in_flight = Some(dispatch);
            return;
        }
        // The client is answered before the controller is notified. The responder sends only the first answer.
        let answer_memory = self.job.memory.split_off(self.job.statement.len());
        if self.job.responder.respond_with_result(result.rows(), answer_memory) {
            counters::JOBS_COMPLETED.increment();
        }
        let end = DispatchEnd::new(DispatchStatus::Completed)
            .actual_cost(result.actual_cost())
            .load_report(result.load_report());
        self.finish(dispatch, &end);
    }

    /// Ends a dispatch. If its engine may still be running it, it is cancelled there before its end is reported; the
    /// job handles commands in the meantime.
    fn finish(&mut self, dispatch: InFlightDispatch, end: &DispatchEnd) {
        let finished = FinishedDispatch::new(dispatch, end);
        tracing::debug!(job = %self.job.client_job_id, attempt = finished.attempt(), status = ?finished.status(), "dispatch finished");
        if end.needs_cancellation() {
            self.cancelled = Some(CancelledDispatch::cancel(finished));
        } else {
            self.report(finished);
        }
    }

    fn report(&self, finished: FinishedDispatch) {
        finished.report(self.id, &self.job.ledger, &*self.listener);
    }
}
