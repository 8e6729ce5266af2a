//! Checks a play against the rules for gateways, from its schedule and its records alone.

mod closes;
mod dispatches;
mod windows;

use crate::answers::rows;
use crate::history::{Dispatch, DispatchEnd, Event, GatewayRun, Micros, Records, Request, RequestEnd};
use crate::schedule::{DeduplicationScope, RetrySafety, Schedule};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Tolerance for the delay of a message between two processes and its record. The protocol allows 50 ms on sockets.
const TOLERANCE_US: Micros = 100_000;
/// A request is lost if its answer comes later than this after its timeout.
const LOST_AFTER_US: Micros = 500_000;
/// A gateway that is not ready within this time has failed to start.
const START_TIMEOUT_US: Micros = 10_000_000;
/// If the soak's own timers were late by more than this, times recorded around then are unreliable.
const LAG_THRESHOLD_US: u64 = 30_000;
/// How long before and after such a lag times are unreliable.
const LAG_VICINITY_US: Micros = 1_500_000;

/// What a gateway can violate. The numbers are those of the seven rules in `src/rules.rs` of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Rule {
    /// A request got no answer in time (rule 1).
    Lost,
    AnsweredTwice,
    /// An answer's rows come from no engine that the request was dispatched to.
    WrongRows,
    SentAfterClientLeft,
    SentAfterAnswer,
    SentAfterDeadline,
    /// A dispatch's time limit exceeds the time left until the client's timeout.
    DeadlineTooLong,
    /// A dispatch belongs to no request of a client.
    UnknownRequest,
    /// A job that must run only once was sent again after it may have run (rule 2).
    RunOnceAgain,
    /// A job with an idempotency key was sent again after the key's deduplication window (rule 2).
    KeyedOutsideWindow,
    /// A job with an idempotency key was sent again to another group of engines (rule 2).
    KeyedOutsideGroup,
    /// A dispatch was sent while another one of the same request was in flight.
    TwoOut,
    /// A request was answered "Busy" although its job may have run and must not run again.
    RefusedAfterRun,
    /// A dispatch was sent to a draining engine after the drain grace (rule 3).
    Drain,
    /// An engine that had just started got more dispatches than the settings allow (rule 4).
    ColdEngine,
    /// A dispatch was sent to a zone where its class may not run (rule 6).
    Placement,
    /// A gateway sent more retries than its budget allows (rule 7).
    Budget,
    /// A gateway ended without having been stopped or killed, or with an error.
    Crash,
    /// A gateway did not become ready in time.
    FailedStart,
    /// A gateway had to be killed because a stop took too long.
    DidNotStop,
    /// A gateway logged an error or panicked.
    Complaint,
}

/// One violation of a rule.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    pub rule: Rule,
    pub at: Micros,
    /// The request concerned.
    pub id: Option<String>,
    #[serde(rename = "what")]
    pub description: String,
    /// Whether it depends on times recorded while the soak itself lagged. Such violations don't fail a play.
    #[serde(rename = "unsure")]
    pub is_uncertain: bool,
}

/// The result of a check: all violations, and how many requests ended in which way.
#[derive(Default, Serialize)]
pub struct Verdict {
    pub violations: Vec<Violation>,
    pub requests: usize,
    pub dispatches: usize,
    pub done: usize,
    pub busy: usize,
    pub failed: usize,
    /// Requests that were sent while the gateway closed their connection, or on a new connection that the gateway
    /// closed unread during a flood of idle connections.
    #[serde(rename = "crossings")]
    pub close_races: usize,
    /// Requests open at a gateway that was killed.
    #[serde(rename = "killed")]
    pub at_killed_gateways: usize,
    /// Requests whose connection may have been broken by a system call that was made to fail.
    pub broken_connections: usize,
    /// Requests that were sent too late during a stop and whose connection was closed.
    #[serde(rename = "after_stop")]
    pub late_in_stop: usize,
}

impl Verdict {
    /// The violations that fail a play.
    pub fn certain_violations(&self) -> impl Iterator<Item = &Violation> {
        self.violations.iter().filter(|violation| !violation.is_uncertain)
    }
}

/// When each gateway process was started, became ready, began to stop, was killed and ended.
#[derive(Default)]
struct ProcessTimes {
    started: BTreeMap<GatewayRun, Micros>,
    ready: BTreeMap<GatewayRun, Micros>,
    stopping: BTreeMap<GatewayRun, Micros>,
    killed: BTreeMap<GatewayRun, Micros>,
    /// With the exit status, and whether the process was stopped as planned and exited with status 0.
    ended: BTreeMap<GatewayRun, (Micros, String, bool)>,
}

/// When each gateway process was first notified of a state of an engine's run.
type Notifications = BTreeMap<(GatewayRun, usize, u32), Micros>;

struct Checker<'a> {
    schedule: &'a Schedule,
    records: &'a Records,
    processes: ProcessTimes,
    requests_by_id: HashMap<&'a str, &'a Request>,
    /// Notifications that an engine's run is in service.
    in_service_notifications: Notifications,
    /// When the soak's own timers were late.
    lags: Vec<Micros>,
    verdict: Verdict,
}

/// Checks the records of a play of this schedule.
pub fn check(schedule: &Schedule, records: &Records) -> Verdict {
    let mut checker = Checker {
        schedule,
        records,
        processes: ProcessTimes::read(records),
        requests_by_id: records.requests.iter().map(|request| (request.id.as_str(), request)).collect(),
        in_service_notifications: in_service_notifications(records),
        lags: lags(records),
        verdict: Verdict::default(),
    };
    checker.check_processes();
    checker.check_requests();
    checker.check_dispatches();
    checker.check_retry_budgets();
    checker.check_cold_engines();
    let mut verdict = checker.verdict;
    verdict.violations.sort_by_key(|violation| violation.at);
    (verdict.requests, verdict.dispatches) = (records.requests.len(), records.dispatches.len());
    verdict
}

fn in_service_notifications(records: &Records) -> Notifications {
    let mut notifications = BTreeMap::new();
    for (at, event) in &records.events {
        if let Event::Notified { to, engine, run, drained: false } = event {
            notifications.entry((*to, *engine, *run)).or_insert(*at);
        }
    }
    notifications
}

fn lags(records: &Records) -> Vec<Micros> {
    let lag_time = |(at, event): &(Micros, Event)| match event {
        Event::Lagged { by_us } if *by_us > LAG_THRESHOLD_US => Some(*at),
        _ => None,
    };
    records.events.iter().filter_map(lag_time).collect()
}

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

impl ProcessTimes {
    fn read(records: &Records) -> ProcessTimes {
        let mut times = ProcessTimes::default();
        for (at, event) in &records.events {
            match event {
                Event::GatewayStarted { run } => drop(times.started.insert(*run, *at)),
                Event::GatewayReady { run } => drop(times.ready.insert(*run, *at)),
                Event::GatewayStopping { run } => drop(times.stopping.insert(*run, *at)),
                Event::GatewayKilled { run } => drop(times.killed.insert(*run, *at)),
                Event::GatewayEnded { run, status, clean } => {
                    times.ended.insert(*run, (*at, status.clone(), *clean));
                }
                _ => {}
            }
        }
        times
    }
}

impl Checker<'_> {
    /// Adds a violation. If it depends on recorded times (`is_timed`), it is uncertain near a lag of the soak.
    fn report(&mut self, rule: Rule, at: Micros, id: Option<&str>, is_timed: bool, description: String) {
        let vicinity = at.saturating_sub(LAG_VICINITY_US)..at + LAG_VICINITY_US;
        let is_uncertain = is_timed && self.lags.iter().any(|lag| vicinity.contains(lag));
        let id = id.map(str::to_string);
        self.verdict.violations.push(Violation { rule, at, id, description, is_uncertain });
    }

    fn check_processes(&mut self) {
        for (run, (at, status, clean)) in self.processes.ended.clone() {
            let was_stopped = self.processes.stopping.contains_key(&run);
            let was_killed = self.processes.killed.contains_key(&run);
            if was_killed || clean {
                continue;
            }
            if was_stopped && status.contains("signal: 9") {
                self.report(Rule::DidNotStop, at, None, true, format!("{run:?} had to be killed"));
            } else if was_stopped && status.contains("signal: 15") {
                // It got SIGTERM before it had installed its signal handlers.
            } else {
                self.report(Rule::Crash, at, None, false, format!("{run:?} ended: {status}"));
            }
        }
        for (run, started) in self.processes.started.clone() {
            let ends = [self.processes.stopping.get(&run), self.processes.killed.get(&run)];
            let end = ends.into_iter().flatten().min().copied().unwrap_or(Micros::MAX);
            let deadline = started + START_TIMEOUT_US;
            if end > deadline && self.processes.ready.get(&run).is_none_or(|ready| *ready > deadline) {
                self.report(
                    Rule::FailedStart,
                    deadline,
                    None,
                    true,
                    format!("{run:?} was not ready in 10 s"),
                );
            }
        }
        for (at, event) in &self.records.events {
            if let Event::ErrorLogged { run, line } = event {
                self.report(Rule::Complaint, *at, None, false, format!("{run:?} logged: {line}"));
            }
        }
    }

    fn check_requests(&mut self) {
        let records = self.records;
        let mut dispatches_by_id: HashMap<&str, Vec<&Dispatch>> = HashMap::new();
        for dispatch in &records.dispatches {
            dispatches_by_id.entry(&dispatch.id).or_default().push(dispatch);
        }
        for request in &records.requests {
            let dispatches = dispatches_by_id.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
            self.check_request(request, dispatches);
        }
    }

    fn check_request(&mut self, request: &Request, dispatches: &[&Dispatch]) {
        let (id, deadline) = (Some(request.id.as_str()), request.sent_at + request.timeout_ms * 1000);
        if request.further_answers > 0 {
            let description = format!("{} more", request.further_answers);
            self.report(Rule::AnsweredTwice, deadline, id, false, description);
        }
        let Some((at, end)) = &request.end else {
            return self.report(
                Rule::Lost,
                deadline,
                id,
                true,
                "no answer and no end of the connection".to_string(),
            );
        };
        match end {
            RequestEnd::Abandoned => return,
            RequestEnd::Closed { reset } => return self.check_close(request, dispatches, *at, *reset),
            RequestEnd::Done { rows } => {
                self.verdict.done += 1;
                self.check_rows(request, dispatches, rows, *at);
            }
            RequestEnd::Busy => {
                self.verdict.busy += 1;
                self.check_busy(request, dispatches, *at);
            }
            RequestEnd::Failed { .. } => self.verdict.failed += 1,
        }
        if *at > deadline + LOST_AFTER_US + TOLERANCE_US {
            let late_ms = (at - deadline) / 1000;
            self.report(Rule::Lost, *at, id, true, format!("answered {late_ms} ms after its timeout"));
        }
    }

    /// Checks that one of the request's dispatches produced these rows.
    fn check_rows(&mut self, request: &Request, dispatches: &[&Dispatch], received: &str, at: Micros) {
        let has_produced = |dispatch: &&Dispatch| {
            received == rows(&request.id, dispatch.engine, dispatch.engine_run).concat()
        };
        if !dispatches.iter().any(has_produced) {
            let excerpt = received.chars().take(60).collect::<String>();
            let description = format!("no engine produced {excerpt:?}");
            self.report(Rule::WrongRows, at, Some(&request.id), false, description);
        }
    }

    /// Checks a request that was answered with "Busy", upon which its client sends it again. This answer is allowed
    /// only if the job has not run, or may run again on any engine.
    fn check_busy(&mut self, request: &Request, dispatches: &[&Dispatch], at: Micros) {
        let may_run_again = match self.schedule.classes[request.class].retry_safety {
            RetrySafety::Restartable => true,
            RetrySafety::IdempotencyKey => self.schedule.deduplication_scope == DeduplicationScope::All,
            RetrySafety::RunOnce => false,
        };
        let may_have_run = |dispatch: &&&Dispatch| dispatch.received_at < at && !proves_not_run(dispatch);
        if let Some(dispatch) = dispatches.iter().find(may_have_run).filter(|_| !may_run_again) {
            let description =
                format!("Busy, but it was sent to engine {} and ended {:?}", dispatch.engine, dispatch.end);
            self.report(Rule::RefusedAfterRun, at, Some(&request.id), false, description);
        }
    }
}

/// Whether the end of a dispatch proves that it never ran.
fn proves_not_run(dispatch: &Dispatch) -> bool {
    matches!(dispatch.end, Some((_, DispatchEnd::Shed | DispatchEnd::Late)))
}
