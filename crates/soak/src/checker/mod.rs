//! Checks a play by the seven rules and the terms, from the history alone.

mod closes;
mod dispatches;
mod windows;

use crate::answers::rows;
use crate::history::{At, Dispatch, DispatchEnd, Event, GatewayRun, Records, Request, RequestEnd};
use crate::schedule::{Group, Schedule, Semantics};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// What is allowed for the way between processes, as the protocol allows 50 ms on sockets.
const SLACK: At = 100_000;
/// An answer this long after its time is a lost request.
const LOST_AFTER: At = 500_000;
/// A gateway is ready within this time.
const READY_WITHIN: At = 10_000_000;
/// Where the test itself was late by this much, its times say nothing for a while.
const LAG: u64 = 30_000;
const LAG_BEFORE: At = 1_500_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// One final answer per request, in time (1).
    Lost,
    AnsweredTwice,
    WrongRows,
    SentAfterClientLeft,
    SentAfterAnswer,
    SentAfterDeadline,
    DeadlineTooLong,
    UnknownRequest,
    /// No effect twice (2).
    RunOnceAgain,
    KeyedOutsideWindow,
    KeyedOutsideGroup,
    TwoOut,
    RefusedAfterRun,
    /// Nothing past the drain grace (3).
    Drain,
    /// No cold engine pushed over (4).
    ColdEngine,
    /// Placement (6).
    Placement,
    /// Further dispatches (7).
    Budget,
    Crash,
    FailedStart,
    DidNotStop,
    Complaint,
}

#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub rule: Rule,
    pub at: At,
    pub id: Option<String>,
    pub what: String,
    /// It rests on times that the test itself may have got wrong.
    pub unsure: bool,
}

#[derive(Default, Serialize)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    pub requests: usize,
    pub dispatches: usize,
    pub done: usize,
    pub busy: usize,
    pub failed: usize,
    pub crossings: usize,
    /// Requests open at a gateway that was killed.
    pub killed: usize,
    /// Requests whose connection was broken by a system call that was made to fail.
    pub broken_connections: usize,
    /// Requests that came late in a stop and met the end of their connection.
    pub after_stop: usize,
}

impl Verdict {
    pub fn broken(&self) -> impl Iterator<Item = &Violation> {
        self.violations.iter().filter(|violation| !violation.unsure)
    }
}

/// When something happened to each run of a gateway.
#[derive(Default)]
struct Runs {
    started: BTreeMap<GatewayRun, At>,
    ready: BTreeMap<GatewayRun, At>,
    stopping: BTreeMap<GatewayRun, At>,
    killed: BTreeMap<GatewayRun, At>,
    ended: BTreeMap<GatewayRun, (At, String, bool)>,
}

struct Checker<'a> {
    schedule: &'a Schedule,
    records: &'a Records,
    runs: Runs,
    by_id: HashMap<&'a str, &'a Request>,
    /// When each gateway was told of an engine's run in service.
    told: BTreeMap<(GatewayRun, usize, u32), At>,
    lags: Vec<At>,
    verdict: Verdict,
}

pub fn check(schedule: &Schedule, records: &Records) -> Verdict {
    let mut checker = Checker {
        schedule,
        records,
        runs: Runs::read(records),
        by_id: records.requests.iter().map(|request| (request.id.as_str(), request)).collect(),
        told: told(records),
        lags: lags(records),
        verdict: Verdict::default(),
    };
    checker.processes();
    checker.requests();
    checker.dispatches();
    checker.budgets();
    checker.cold_engines();
    let mut verdict = checker.verdict;
    verdict.violations.sort_by_key(|violation| violation.at);
    (verdict.requests, verdict.dispatches) = (records.requests.len(), records.dispatches.len());
    verdict
}

fn told(records: &Records) -> BTreeMap<(GatewayRun, usize, u32), At> {
    let mut all = BTreeMap::new();
    for (at, event) in &records.events {
        if let Event::Told { to, engine, run, drained: false } = event {
            all.entry((*to, *engine, *run)).or_insert(*at);
        }
    }
    all
}

fn lags(records: &Records) -> Vec<At> {
    let late = |(at, event): &(At, Event)| match event {
        Event::Lagged { by_us } if *by_us > LAG => Some(*at),
        _ => None,
    };
    records.events.iter().filter_map(late).collect()
}

fn micros(span: Duration) -> At {
    span.as_micros() as At
}

impl Runs {
    fn read(records: &Records) -> Runs {
        let mut runs = Runs::default();
        for (at, event) in &records.events {
            match event {
                Event::GatewayStarted { run } => drop(runs.started.insert(*run, *at)),
                Event::GatewayReady { run } => drop(runs.ready.insert(*run, *at)),
                Event::GatewayStopping { run } => drop(runs.stopping.insert(*run, *at)),
                Event::GatewayKilled { run } => drop(runs.killed.insert(*run, *at)),
                Event::GatewayEnded { run, status, clean } => {
                    runs.ended.insert(*run, (*at, status.clone(), *clean));
                }
                _ => {}
            }
        }
        runs
    }
}

impl Checker<'_> {
    fn found(&mut self, rule: Rule, at: At, id: Option<&str>, timed: bool, what: String) {
        let lagged =
            self.lags.iter().any(|lag| (at.saturating_sub(LAG_BEFORE)..at + LAG_BEFORE).contains(lag));
        let id = id.map(str::to_string);
        self.verdict.violations.push(Violation { rule, at, id, what, unsure: timed && lagged });
    }

    fn processes(&mut self) {
        for (run, (at, status, clean)) in self.runs.ended.clone() {
            let (told, killed) = (self.runs.stopping.contains_key(&run), self.runs.killed.contains_key(&run));
            if killed || clean {
                continue;
            }
            if told && status.contains("signal: 9") {
                self.found(Rule::DidNotStop, at, None, true, format!("{run:?} had to be killed"));
            } else if told && status.contains("signal: 15") {
                // Told before it listened to signals.
            } else {
                self.found(Rule::Crash, at, None, false, format!("{run:?} ended: {status}"));
            }
        }
        for (run, started) in self.runs.started.clone() {
            let over = [self.runs.stopping.get(&run), self.runs.killed.get(&run)];
            let over = over.into_iter().flatten().min().copied().unwrap_or(At::MAX);
            let by = started + READY_WITHIN;
            if over > by && self.runs.ready.get(&run).is_none_or(|ready| *ready > by) {
                self.found(Rule::FailedStart, by, None, true, format!("{run:?} was not ready in 10 s"));
            }
        }
        for (at, event) in &self.records.events {
            if let Event::Complained { run, line } = event {
                self.found(Rule::Complaint, *at, None, false, format!("{run:?} says: {line}"));
            }
        }
    }

    fn requests(&mut self) {
        let records = self.records;
        let mut by_id: HashMap<&str, Vec<&Dispatch>> = HashMap::new();
        for dispatch in &records.dispatches {
            by_id.entry(&dispatch.id).or_default().push(dispatch);
        }
        for request in &records.requests {
            let dispatches = by_id.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
            self.request(request, dispatches);
        }
    }

    fn request(&mut self, request: &Request, dispatches: &[&Dispatch]) {
        let (id, due) = (Some(request.id.as_str()), request.sent + request.patience_ms * 1000);
        if request.further_answers > 0 {
            self.found(Rule::AnsweredTwice, due, id, false, format!("{} more", request.further_answers));
        }
        let Some((at, end)) = &request.end else {
            return self.found(
                Rule::Lost,
                due,
                id,
                true,
                "no answer and no end of the connection".to_string(),
            );
        };
        match end {
            RequestEnd::Left => return,
            RequestEnd::Closed { reset } => return self.closed(request, dispatches, *at, *reset),
            RequestEnd::Done { rows } => {
                self.verdict.done += 1;
                self.rows(request, dispatches, rows, *at);
            }
            RequestEnd::Busy => {
                self.verdict.busy += 1;
                self.refused(request, dispatches, *at);
            }
            RequestEnd::Failed { .. } => self.verdict.failed += 1,
        }
        if *at > due + LOST_AFTER + SLACK {
            let late = (at - due) / 1000;
            self.found(Rule::Lost, *at, id, true, format!("answered {late} ms after its time"));
        }
    }

    fn rows(&mut self, request: &Request, dispatches: &[&Dispatch], told: &str, at: At) {
        let made =
            |dispatch: &&Dispatch| told == rows(&request.id, dispatch.engine, dispatch.engine_run).concat();
        if !dispatches.iter().any(made) {
            let told = told.chars().take(60).collect::<String>();
            self.found(Rule::WrongRows, at, Some(&request.id), false, format!("no engine made {told:?}"));
        }
    }

    fn refused(&mut self, request: &Request, dispatches: &[&Dispatch], at: At) {
        let harmless = match self.schedule.classes[request.class].semantics {
            Semantics::Restartable => true,
            Semantics::Keyed => self.schedule.group == Group::All,
            Semantics::RunOnce => false,
        };
        let before = |dispatch: &&&Dispatch| dispatch.at < at && !proves_unrun(dispatch);
        if let Some(ran) = dispatches.iter().find(before).filter(|_| !harmless) {
            let what = format!("Busy, but it went to engine {} and ended {:?}", ran.engine, ran.end);
            self.found(Rule::RefusedAfterRun, at, Some(&request.id), false, what);
        }
    }
}

/// Whether the way a dispatch ended proves that it never ran.
fn proves_unrun(dispatch: &Dispatch) -> bool {
    matches!(dispatch.end, Some((_, DispatchEnd::Shed | DispatchEnd::Late)))
}
