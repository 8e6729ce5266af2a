//! Checks a play by the seven rules and the terms, from the history alone.

mod closes;

use crate::answers::rows;
use crate::history::{At, Dispatch, DispatchEnd, Event, GatewayRun, Records, Request, RequestEnd};
use crate::schedule::{Group, Schedule, Semantics};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// What is allowed for the way between processes, as the protocol allows 50 ms on sockets.
const SLACK: At = 100_000;
/// An answer this long after its time is a lost request.
const LOST_AFTER: At = 500_000;
/// An attempt may begin this long after its client has left.
const LEFT_FOR: At = 100_000;
/// An engine may be told so much more time than the client has left.
const DEADLINE_SLACK: At = 150_000;
/// What the bus has counts as told after this time.
const TOLD_AFTER: At = 7_000_000;
/// A dispatch may wait this long for a connection between the gateway's count and the engine's.
const CONNECTING: At = 300_000;
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

    fn dispatches(&mut self) {
        let records = self.records;
        let mut by_id: BTreeMap<&str, Vec<&Dispatch>> = BTreeMap::new();
        for dispatch in &records.dispatches {
            by_id.entry(&dispatch.id).or_default().push(dispatch);
        }
        let drains = Drains::read(records);
        for (id, mut all) in by_id {
            all.sort_by_key(|dispatch| dispatch.at);
            let Some(request) = self.by_id.get(id).copied() else {
                self.found(
                    Rule::UnknownRequest,
                    all[0].at,
                    Some(id),
                    false,
                    "no client asked for it".to_string(),
                );
                continue;
            };
            for (position, dispatch) in all.iter().enumerate() {
                self.one_dispatch(request, dispatch, &drains);
                self.repeat(request, &all[..position], dispatch);
            }
        }
    }

    fn one_dispatch(&mut self, request: &Request, dispatch: &Dispatch, drains: &Drains) {
        let (id, at) = (Some(request.id.as_str()), dispatch.at);
        let due = request.sent + request.patience_ms * 1000;
        match &request.end {
            Some((left, RequestEnd::Left)) if at > left + LEFT_FOR + SLACK / 2 => {
                let late = (at - left) / 1000;
                self.found(
                    Rule::SentAfterClientLeft,
                    at,
                    id,
                    true,
                    format!("{late} ms after its client left"),
                );
            }
            Some((answered, end)) if *end != RequestEnd::Left && at > answered + SLACK => {
                self.found(Rule::SentAfterAnswer, at, id, true, format!("{end:?} at {answered}"));
            }
            _ => {}
        }
        if at > due + SLACK {
            self.found(Rule::SentAfterDeadline, at, id, true, format!("{} ms after", (at - due) / 1000));
        }
        let left = due.saturating_sub(at);
        if dispatch.limit_ms * 1000 > left + DEADLINE_SLACK + SLACK {
            let what = format!("told {} ms with {} ms left", dispatch.limit_ms, left / 1000);
            self.found(Rule::DeadlineTooLong, at, id, true, what);
        }
        let class = &self.schedule.classes[request.class];
        if self.knows(dispatch)
            && class.zone.is_some_and(|zone| zone != self.schedule.zone_of(dispatch.engine))
        {
            self.found(
                Rule::Placement,
                at,
                id,
                false,
                format!("class {} on {}", class.name, dispatch.engine),
            );
        }
        let until = drains.until(dispatch, micros(self.schedule.rules.drain_grace));
        if let Some(until) = until.filter(|until| at > until + SLACK) {
            let late = (at - until) / 1000;
            let what = format!("to draining engine {}, {late} ms past its grace", dispatch.engine);
            self.found(Rule::Drain, at, id, true, what);
        }
    }

    /// Whether the gateway had been told which engine listens where it sent this: before, it can't know that another one
    /// has taken the address.
    fn knows(&self, dispatch: &Dispatch) -> bool {
        let told = self.told.get(&(dispatch.from, dispatch.engine, dispatch.engine_run));
        told.is_some_and(|told| told + SLACK / 2 <= dispatch.at)
    }

    fn repeat(&mut self, request: &Request, before: &[&Dispatch], dispatch: &Dispatch) {
        let (id, at) = (Some(request.id.as_str()), dispatch.at);
        if let Some(out) = before.iter().find(|other| other.end.is_none_or(|(end, _)| end > at + SLACK / 2)) {
            let what = format!("on engine {} beside one on engine {}", dispatch.engine, out.engine);
            self.found(Rule::TwoOut, at, id, true, what);
        }
        let Some(ran) = before.iter().find(|other| !proves_unrun(other)) else { return };
        match self.schedule.classes[request.class].semantics {
            Semantics::Restartable => {}
            Semantics::RunOnce => {
                let what =
                    format!("engine {} ended it {:?}, then engine {}", ran.engine, ran.end, dispatch.engine);
                self.found(Rule::RunOnceAgain, at, id, false, what);
            }
            Semantics::Keyed => {
                if at > ran.at + micros(self.schedule.rules.dedup_window) + SLACK {
                    let late = (at - ran.at) / 1000;
                    self.found(Rule::KeyedOutsideWindow, at, id, true, format!("{late} ms after the first"));
                }
                let group = |engine: usize| match self.schedule.group {
                    Group::Zone => self.schedule.zone_of(engine),
                    Group::Cell => self.schedule.cell_of(engine),
                    Group::All => 0,
                };
                if group(ran.engine) != group(dispatch.engine) && self.knows(dispatch) {
                    let what = format!("engine {} after engine {}", dispatch.engine, ran.engine);
                    self.found(Rule::KeyedOutsideGroup, at, id, false, what);
                }
            }
        }
    }

    /// Dispatches beyond a job's first, by gateway, in every window.
    fn budgets(&mut self) {
        let records = self.records;
        let window = micros(self.schedule.rules.budget_window);
        let mut seen: BTreeSet<&str> = BTreeSet::new();
        let mut extras: BTreeMap<GatewayRun, Vec<At>> = BTreeMap::new();
        let mut sorted: Vec<&Dispatch> = records.dispatches.iter().collect();
        sorted.sort_by_key(|dispatch| dispatch.at);
        for dispatch in sorted {
            if !seen.insert(&dispatch.id) {
                extras.entry(dispatch.from).or_default().push(dispatch.at);
            }
        }
        for (run, extras) in extras {
            let jobs: Vec<At> = records
                .requests
                .iter()
                .filter(|request| request.to == run)
                .map(|request| request.sent)
                .collect();
            for at in &extras {
                // What counts is when they were sent; a connection may have taken a while to come up.
                let near = extras
                    .iter()
                    .filter(|extra| (at + CONNECTING..=at + window).contains(&(**extra + window)));
                let count = near.count() as f64;
                let from = at.saturating_sub(window + CONNECTING);
                let taken = jobs.iter().filter(|job| (from..=*at).contains(job)).count() as f64;
                let most = self.schedule.rules.spare_attempts + self.schedule.rules.extra_ratio * taken;
                if count > most + 1e-9 {
                    let what = format!("{run:?}: {count} further dispatches where {most:.1} are allowed");
                    self.found(Rule::Budget, *at, None, true, what);
                }
            }
        }
    }

    /// Dispatches to engines that have just started: in no window more than the settings allow and chance may add.
    fn cold_engines(&mut self) {
        let records = self.records;
        let (rules, schedule) = (&self.schedule.rules, self.schedule);
        let work: u64 = schedule.classes.iter().map(|class| class.work_ms).sum();
        let mean_work = work as f64 / schedule.classes.len() as f64;
        let (warm, window) = (micros(rules.warm_after), micros(rules.overload_for));
        let mut broken = vec![];
        for (started, event) in &records.events {
            let Event::EngineStarted { engine, run } = event else { continue };
            if *run == 0 && *engine < schedule.engines {
                continue;
            }
            let mut came: Vec<&Dispatch> = records.dispatches.iter().collect();
            came.retain(|d| d.engine == *engine && d.engine_run == *run && d.at < started + warm);
            came.sort_by_key(|dispatch| dispatch.at);
            let knows = |dispatch: &&&Dispatch| {
                let told = self.told.get(&(dispatch.from, *engine, *run));
                told.is_some_and(|told| *told <= dispatch.at)
            };
            for last in &came {
                let within: Vec<&&Dispatch> =
                    came.iter().filter(|d| d.at <= last.at && d.at + window > last.at).collect();
                let age = (last.at - started) as f64 / warm as f64;
                let share = rules.start_capacity + (1.0 - rules.start_capacity) * age.min(1.0);
                let n = rules.fall_multiple * schedule.cores * share * (window as f64 / 1000.0) / mean_work;
                let most = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
                let known = within.iter().filter(|d| knows(d)).count();
                if within.len() as f64 > most && known * 3 > within.len() * 2 {
                    let what = format!(
                        "engine {engine} run {run}: {} dispatches of {most:.1}, {known} told",
                        within.len()
                    );
                    broken.push((last.at, what));
                    break;
                }
            }
        }
        for (at, what) in broken {
            self.found(Rule::ColdEngine, at, None, true, what);
        }
    }
}

/// Whether the way a dispatch ended proves that it never ran.
fn proves_unrun(dispatch: &Dispatch) -> bool {
    matches!(dispatch.end, Some((_, DispatchEnd::Shed | DispatchEnd::Late)))
}

/// When drains were in the bus, and when each gateway was told.
struct Drains {
    published: BTreeMap<(usize, u32), At>,
    told: BTreeMap<(GatewayRun, usize, u32), At>,
}

impl Drains {
    fn read(records: &Records) -> Drains {
        let mut drains = Drains { published: BTreeMap::new(), told: BTreeMap::new() };
        for (at, event) in &records.events {
            match event {
                Event::Drained { engine, run } => {
                    drains.published.entry((*engine, *run)).or_insert(*at);
                }
                // One that is listed as in service again no longer drains.
                Event::StartListed { engine, run } => drop(drains.published.remove(&(*engine, *run))),
                Event::Told { to, engine, run, drained: true } => {
                    drains.told.entry((*to, *engine, *run)).or_insert(*at);
                }
                _ => {}
            }
        }
        drains
    }

    /// Until when a gateway may send there, if it drains.
    fn until(&self, dispatch: &Dispatch, grace: At) -> Option<At> {
        let published = self.published.get(&(dispatch.engine, dispatch.engine_run))?;
        let told = self.told.get(&(dispatch.from, dispatch.engine, dispatch.engine_run));
        Some(told.copied().unwrap_or(At::MAX).min(published + TOLD_AFTER) + grace)
    }
}
