//! A job's life, from the client's request to its answer.

use crate::codec::client::Reply;
use crate::codec::engine::EngineMessage;
use crate::decision::{ControllerHandle, JobCommand};
use crate::engine::dispatch_ledger::DispatchLedger;
use crate::engine::handle::{DispatchEvent, DispatchHandle, Request};
use crate::lifecycle::clock;
use crate::limits::Permit;
use crate::session::responder::Responder;
use crate::telemetry::counters;
use crossbeam_channel::{Receiver, never, select};
use pebblevane::interface::*;
use pebblevane::time::*;
use std::sync::Arc;
use std::time::Duration;

/// The longest result, as the protocol says, and the pages that are asked for ahead.
const LONGEST_RESULT: usize = 48_000;
/// So much of a result is set aside beforehand; what comes past it is counted as it comes.
pub const USUAL_RESULT_BYTES: usize = 4_096;
/// Within this time an engine reads that a dispatch is given up, or that its connection has ended.
const READ: TimeDelta = TimeDelta(5_000);
/// A job waits so long for its dispatch to be given up.
const GIVEN_UP: TimeDelta = TimeDelta(500_000);
const MOST_PAGES: u32 = 4096;
const AHEAD: u32 = 8;

/// A job as it was admitted: what is needed to send it and to answer it, and what it holds of the program's limits.
pub struct AdmittedJob {
    /// The client's own id of the job.
    pub client_job_id: Box<str>,
    pub class: Arc<str>,
    pub statement: Arc<[u8]>,
    pub responder: Arc<Responder>,
    pub ledger: Arc<DispatchLedger>,
    /// The bytes that the job may keep.
    pub memory: Permit,
    /// Its place among the open jobs.
    pub _job_slot: Permit,
}

/// A job of which something is sent, in a thread of its own.
pub struct JobTask {
    id: JobId,
    commands: Receiver<JobCommand>,
    job: AdmittedJob,
    controller: Arc<ControllerHandle>,
    cancelled_dispatch: Option<CancelledDispatch>,
}

/// A dispatch that is out.
struct InFlightDispatch {
    out: DispatchHandle,
    copy: u32,
    /// Its engine has said that it works on it.
    begun: bool,
    sent: Timestamp,
    ends: Timestamp,
    /// Until when it may leave, if it had not when that was last looked at.
    begin_by: Option<Timestamp>,
    result: Option<ResultPages>,
}

/// A dispatch that has ended, and is told to the module once its engine has read that.
pub struct CancelledDispatch {
    /// Ends once that is written there.
    given_up: Receiver<()>,
    until: Timestamp,
    out: DispatchHandle,
    sent: Timestamp,
    copy: u32,
    outcome: DispatchResult,
}

/// The result as far as its pages have come.
struct ResultPages {
    rows: Vec<u8>,
    /// Pages that came before one with a lower number.
    early: Vec<(u32, Vec<u8>)>,
    next: u32,
    asked: u32,
    all: u32,
    bill: Option<ActualCost>,
    report: Option<LoadReport>,
}

impl InFlightDispatch {
    /// Whether its engine has shown that it runs or ran.
    fn has_begun(&self) -> bool {
        self.begun || self.result.is_some()
    }

    /// When something is due, whatever comes.
    fn due(&self) -> Timestamp {
        self.begin_by.map_or(self.ends, |begin_by| begin_by.min(self.ends))
    }

    /// Whether it waits for a connection past the time by which it has to begin: then it never leaves.
    fn waits_too_long(&mut self) -> bool {
        let late = self.begin_by.take_if(|begin_by| *begin_by <= clock::now());
        late.is_some() && self.out.keep_back()
    }
}

impl JobTask {
    pub fn new(
        id: JobId,
        commands: Receiver<JobCommand>,
        job: AdmittedJob,
        controller: Arc<ControllerHandle>,
    ) -> JobTask {
        JobTask { id, commands, job, controller, cancelled_dispatch: None }
    }

    pub fn run(mut self) {
        let mut running: Option<InFlightDispatch> = None;
        loop {
            let (nothing, nobody) = (never(), never());
            let words = running.as_ref().map_or(&nothing, |running| &running.out.words);
            let given_up = self.cancelled_dispatch.as_ref().map_or(&nobody, |ending| &ending.given_up);
            let due = running
                .as_ref()
                .map(InFlightDispatch::due)
                .or(self.cancelled_dispatch.as_ref().map(|ending| ending.until));
            let wait = due.map_or(Duration::from_secs(3600), clock::until);
            select! {
                recv(given_up) -> _ => {
                    if let Some(ending) = &mut self.cancelled_dispatch {
                        (ending.given_up, ending.until) = (never(), clock::now() + READ);
                    }
                },
                recv(self.commands) -> step => match step {
                    Ok(JobCommand::Dispatch { engine, copy, ends, begin_by, rank }) => {
                        let sent = clock::now();
                        let (id, class) = (self.job.client_job_id.clone(), self.job.class.clone());
                        let (statement, wanted) = (self.job.statement.clone(), self.job.responder.clone());
                        let ledger = self.job.ledger.clone();
                        let request = Request { id, class, ends, begin_by, wanted, ledger, rank, statement };
                        let (out, begin_by) = (engine.send(request), Some(begin_by));
                        running = Some(InFlightDispatch { out, copy, begun: false, sent, ends, begin_by, result: None });
                    }
                    Ok(JobCommand::Recall { copy }) => {
                        if let Some(recalled) = running.take_if(|running| running.copy == copy) {
                            let never_left = recalled.out.withhold();
                            let verdict = if never_left { DispatchStatus::Unreachable } else { DispatchStatus::Cancelled };
                            // What was kept back says nothing of its engine.
                            self.end(recalled, verdict, never_left, None, None);
                        }
                    }
                    Ok(JobCommand::Released) | Err(_) => return,
                },
                recv(words) -> heard => {
                    let Some(mut at) = running.take() else { continue };
                    match heard {
                        Ok(DispatchEvent::EngineMessage(EngineMessage::Info(note))) => {
                            at.begun |= matches!(note, Some(ProgressUpdate::CompletedFraction(_) | ProgressUpdate::SpillingToDisk(_)));
                            note.into_iter().for_each(|note| self.controller.dispatch_progress(self.id, at.copy, note));
                            running = Some(at);
                        }
                        Ok(DispatchEvent::EngineMessage(EngineMessage::Hit { page, sheets, bill, report })) => {
                            at.result = Some(ResultPages::begin(page, sheets, bill, report));
                            running = self.collect(at);
                        }
                        Ok(DispatchEvent::EngineMessage(EngineMessage::Part { page, sheet })) => {
                            if let Some(pages) = &mut at.result {
                                pages.add(page, sheet);
                            }
                            running = self.collect(at);
                        }
                        // Neither proves that nothing ran where the engine has said otherwise before.
                        Ok(DispatchEvent::EngineMessage(EngineMessage::Shed(report) | EngineMessage::Late(report))) if at.has_begun() => {
                            self.settle(at, DispatchStatus::Failed, None, report);
                        }
                        Ok(DispatchEvent::EngineMessage(EngineMessage::Shed(report))) => self.settle(at, DispatchStatus::Overloaded, None, report),
                        Ok(DispatchEvent::EngineMessage(EngineMessage::Late(report))) => self.settle(at, DispatchStatus::Expired, None, report),
                        Ok(DispatchEvent::EngineMessage(EngineMessage::Fault(report))) => self.settle(at, DispatchStatus::Failed, None, report),
                        Ok(DispatchEvent::Lost(verdict, lively)) => self.end(at, verdict, lively, None, None),
                        Ok(DispatchEvent::EngineMessage(EngineMessage::Pong(_) | EngineMessage::Sick(_))) => running = Some(at),
                        Err(_) => self.settle(at, DispatchStatus::ConnectionLost, None, None),
                    }
                },
                default(wait) => {
                    if let Some(ending) = self.cancelled_dispatch.take_if(|ending| ending.until <= clock::now()) {
                        self.told(ending);
                    } else if let Some(waits) = running.take_if(|running| running.waits_too_long()) {
                        self.end(waits, DispatchStatus::Unreachable, true, None, None);
                    } else if let Some(late) = running.take_if(|running| running.ends <= clock::now()) {
                        let never_left = late.out.withhold();
                        let verdict = if never_left { DispatchStatus::Unreachable } else { DispatchStatus::TimedOut };
                        self.settle(late, verdict, None, None);
                    }
                }
            }
        }
    }

    /// Asks for further pages, or settles the dispatch when the last one has come. A page that is missing
    /// when the time-out comes, or one of no use, never makes a job done.
    fn collect(&mut self, mut at: InFlightDispatch) -> Option<InFlightDispatch> {
        let Some(pages) = &mut at.result else { return Some(at) };
        let room = self.job.memory.grow_to(self.job.statement.len() + pages.held());
        if !room || pages.held() > LONGEST_RESULT || pages.all > MOST_PAGES || pages.next > pages.all {
            self.settle(at, DispatchStatus::Failed, None, None);
            return None;
        }
        if pages.next < pages.all {
            while pages.asked < pages.all && pages.asked < pages.next + AHEAD {
                at.out.fetch(pages.asked);
                pages.asked += 1;
            }
            return Some(at);
        }
        // Straight to the client: whoever answers first does, and the module hears that it was done.
        if self.job.responder.answer(&Reply::Done(&pages.rows)) {
            counters::DONE.add();
        }
        let (bill, report) = (pages.bill, pages.report);
        self.settle(at, DispatchStatus::Completed, bill, report);
        None
    }

    /// Tells the module how the dispatch ended. What the engine still holds of it is given back first.
    fn settle(
        &mut self,
        at: InFlightDispatch,
        verdict: DispatchStatus,
        bill: Option<ActualCost>,
        report: Option<LoadReport>,
    ) {
        self.end(at, verdict, false, bill, report);
    }

    fn end(
        &mut self,
        at: InFlightDispatch,
        verdict: DispatchStatus,
        lively: bool,
        bill: Option<ActualCost>,
        report: Option<LoadReport>,
    ) {
        let (copy, sent) = (at.copy, at.sent);
        let took = clock::now() - sent;
        tracing::debug!(job = %self.job.client_job_id, attempt = copy, status = ?verdict, "dispatch finished");
        let outcome = DispatchResult {
            status: verdict,
            elapsed: took,
            job_finished: false,
            engine_reachable: lively,
            actual_cost: bill,
            load_report: report,
        };
        let open = matches!(
            verdict,
            DispatchStatus::Cancelled
                | DispatchStatus::TimedOut
                | DispatchStatus::Failed
                | DispatchStatus::ConnectionLost
        );
        // Nothing orders what is written to two engines: this one is to read it before another has the job. The job
        // hears its answer meanwhile.
        let given_up = if open { at.out.give_up() } else { never() };
        let until = clock::now() + if open { GIVEN_UP } else { TimeDelta::default() };
        let ending = CancelledDispatch { given_up, until, out: at.out, sent, copy, outcome };
        if open { self.cancelled_dispatch = Some(ending) } else { self.told(ending) }
    }

    fn told(&self, ending: CancelledDispatch) {
        let CancelledDispatch { out, sent, copy, outcome, .. } = ending;
        if out.left() {
            let never_ran = matches!(
                outcome.status,
                DispatchStatus::Overloaded | DispatchStatus::Unreachable | DispatchStatus::Expired
            );
            self.job.ledger.ended(sent, !never_ran);
        }
        drop(out);
        self.controller.dispatch_finished(self.id, copy, outcome);
    }
}

impl ResultPages {
    fn begin(rows: Vec<u8>, all: u32, bill: Option<ActualCost>, report: Option<LoadReport>) -> ResultPages {
        ResultPages { rows, early: Vec::new(), next: 1, asked: 1, all: all.max(1), bill, report }
    }

    /// The bytes that it holds.
    fn held(&self) -> usize {
        self.rows.len() + self.early.iter().map(|(_, page)| page.len()).sum::<usize>()
    }

    /// Takes a page that was asked for and has not come before; any other is passed over.
    fn add(&mut self, page: Vec<u8>, sheet: u32) {
        let wanted = (self.next..self.asked).contains(&sheet);
        if wanted && !self.early.iter().any(|(early, _)| *early == sheet) {
            self.early.push((sheet, page));
        }
        while let Some(at) = self.early.iter().position(|(sheet, _)| *sheet == self.next) {
            self.rows.extend(self.early.swap_remove(at).1);
            self.next += 1;
        }
    }
}
