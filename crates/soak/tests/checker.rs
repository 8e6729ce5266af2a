//! Violates each rule of the checker with a history made for it. A check that never reports anything would make the
//! soak pass whatever the gateways do.

#[allow(dead_code)] // these tests don't use everything that the program does
#[path = "../src/answers.rs"]
mod answers;
#[allow(dead_code)]
#[path = "../src/checker/mod.rs"]
mod checker;
#[allow(dead_code)]
#[path = "../src/history.rs"]
mod history;
#[allow(dead_code)]
#[path = "../src/schedule/mod.rs"]
mod schedule;

use answers::rows;
use checker::check;
use expect_test::expect;
use history::{Dispatch, DispatchEnd, Event, GatewayRun, Micros, Records, Request, RequestEnd};
use schedule::{DeduplicationScope, Fault, RetrySafety, Schedule};
use std::fmt::Write as _;

const GATEWAY: GatewayRun = GatewayRun { gateway: 0, run: 1 };
const MS: Micros = 1000;
/// Indices of the classes, which every schedule has in this order.
const LOOKUP: usize = 0;
const LOAD: usize = 1;
const POST: usize = 2;
const LOCAL: usize = 3;

fn schedule() -> Schedule {
    let mut schedule = Schedule::from_seed(1, 2, 5.0);
    (schedule.zones, schedule.deduplication_scope, schedule.engines, schedule.cores) =
        (2, DeduplicationScope::Zone, 4, 1.0);
    schedule.classes[LOCAL].zone = Some(1);
    schedule.faults.clear();
    schedule
}

/// A request that is sent at 1 s and has a timeout of 1 s.
fn request(class: usize, end: Option<(Micros, RequestEnd)>) -> Request {
    let (id, to) = (format!("{class:016x}"), GATEWAY);
    Request {
        id,
        to,
        class,
        timeout_ms: 1000,
        sent_at: 1_000 * MS,
        is_first_on_connection: true,
        end,
        further_answers: 0,
    }
}

fn dispatch(class: usize, engine: usize, at_ms: Micros, end: Option<(Micros, DispatchEnd)>) -> Dispatch {
    let end = end.map(|(at, end)| (at * MS, end));
    let class_name = ["lookup", "load", "post", "local"][class].to_string();
    let (id, from) = (format!("{class:016x}"), GATEWAY);
    Dispatch {
        id,
        class: class_name,
        from,
        engine,
        engine_run: 0,
        received_at: at_ms * MS,
        limit_ms: 10,
        end,
    }
}

#[expect(clippy::unnecessary_wraps, reason = "the form in which a request records its end")]
fn done(class: usize, engine: usize, at_ms: Micros) -> Option<(Micros, RequestEnd)> {
    let rows = rows(&format!("{class:016x}"), engine, 0).concat();
    Some((at_ms * MS, RequestEnd::Done { rows }))
}

#[expect(clippy::unnecessary_wraps, reason = "the form in which a request records its end")]
fn at(ms: Micros, end: RequestEnd) -> Option<(Micros, RequestEnd)> {
    Some((ms * MS, end))
}

/// The records to check. Without a schedule, that of [`schedule`] applies.
#[derive(Default)]
struct Play {
    schedule: Option<Schedule>,
    requests: Vec<Request>,
    dispatches: Vec<Dispatch>,
    events: Vec<(Micros, Event)>,
}

/// The rules that a play violates; "?" marks uncertain violations.
fn rules(play: Play) -> String {
    let records = Records { requests: play.requests, dispatches: play.dispatches, events: play.events };
    let verdict = check(&play.schedule.unwrap_or_else(schedule), &records);
    let violations = verdict.violations.iter();
    let rules = violations
        .map(|violation| format!("{:?}{}", violation.rule, if violation.is_uncertain { "?" } else { "" }));
    rules.collect::<Vec<String>>().join(" ")
}

fn play(request: Request, dispatches: Vec<Dispatch>) -> Play {
    Play { requests: vec![request], dispatches, ..Play::default() }
}

/// One line for each play: its name and the rules that it violates.
fn describe(plays: impl IntoIterator<Item = (&'static str, Play)>) -> String {
    let mut text = String::new();
    for (what, play) in plays {
        writeln!(text, "{what}: {}", rules(play)).unwrap();
    }
    text
}

/// Guards against a check that misses a violation of its rule, and against one that reports correct behavior. Most
/// plays violate one rule with one request; the others look similar and violate none.
#[test]
fn each_broken_rule_is_detected() {
    use DispatchEnd::{Disconnected, Done, Fault, Shed};
    let busy = || at(1500, RequestEnd::Busy);
    let failed = || at(1500, RequestEnd::Failed { reason: String::new() });
    let one = |class, engine| vec![dispatch(class, engine, 1010, Some((1100, Done)))];
    let again = |class, second, end| {
        vec![dispatch(class, 0, 1010, Some((1100, end))), dispatch(class, second, 1200, Some((1300, Done)))]
    };
    let mut twice = request(LOOKUP, done(LOOKUP, 0, 1100));
    twice.further_answers = 1;
    let mut used = request(LOOKUP, at(1040, RequestEnd::Closed { reset: false }));
    used.is_first_on_connection = false;
    let mut long_limit = one(LOOKUP, 0);
    long_limit[0].limit_ms = 1500;
    let mut lagged = play(request(LOOKUP, done(LOOKUP, 0, 2700)), one(LOOKUP, 0));
    lagged.events.push((2_500 * MS, Event::Lagged { by_us: 200_000 }));
    let plays = [
        ("answered correctly", play(request(LOOKUP, done(LOOKUP, 0, 1100)), one(LOOKUP, 0))),
        ("no answer", play(request(LOOKUP, None), vec![])),
        ("answered after the timeout", play(request(LOOKUP, done(LOOKUP, 0, 2700)), one(LOOKUP, 0))),
        ("answered after the timeout on a machine that lagged", lagged),
        (
            "new connection closed without an answer",
            play(request(LOOKUP, at(1040, RequestEnd::Closed { reset: false })), vec![]),
        ),
        ("reused connection closed without an answer", play(used, vec![])),
        ("two answers", play(twice, one(LOOKUP, 0))),
        ("rows of another engine", play(request(LOOKUP, done(LOOKUP, 1, 1100)), one(LOOKUP, 0))),
        (
            "dispatched after its client disconnected",
            play(request(LOOKUP, at(1000, RequestEnd::Abandoned)), vec![dispatch(LOOKUP, 0, 1200, None)]),
        ),
        ("dispatched after its answer", play(request(LOOKUP, busy()), vec![dispatch(LOOKUP, 0, 1700, None)])),
        (
            "dispatched after its timeout",
            play(request(LOOKUP, at(2300, RequestEnd::Busy)), vec![dispatch(LOOKUP, 0, 2200, None)]),
        ),
        ("time limit beyond the timeout", play(request(LOOKUP, done(LOOKUP, 0, 1100)), long_limit)),
        ("dispatched without a request", Play { dispatches: one(LOOKUP, 0), ..Play::default() }),
        ("run-once retried after a fault", play(request(LOAD, done(LOAD, 1, 1300)), again(LOAD, 1, Fault))),
        ("run-once retried after a refusal", play(request(LOAD, done(LOAD, 1, 1300)), again(LOAD, 1, Shed))),
        (
            "run-once answered as busy after a fault",
            play(request(LOAD, busy()), vec![dispatch(LOAD, 0, 1010, Some((1100, Fault)))]),
        ),
        (
            "run-once answered as failed after a fault",
            play(request(LOAD, failed()), vec![dispatch(LOAD, 0, 1010, Some((1100, Fault)))]),
        ),
        ("keyed retried in its zone", play(request(POST, done(POST, 2, 1300)), again(POST, 2, Disconnected))),
        (
            "keyed retried in another zone, gateway not notified",
            play(request(POST, done(POST, 1, 1300)), again(POST, 1, Disconnected)),
        ),
        (
            "keyed retried in another zone, gateway notified",
            play(request(POST, done(POST, 1, 1300)), again(POST, 1, Disconnected)).with(|play| {
                play.events.push((0, Event::Notified { to: GATEWAY, engine: 1, run: 0, drained: false }));
            }),
        ),
        (
            "retried while the first dispatch is in flight",
            play(request(LOOKUP, done(LOOKUP, 1, 1300)), again(LOOKUP, 1, Done))
                .with(|play| play.dispatches[0].end = None),
        ),
        ("outside its zone, gateway not notified", play(request(LOCAL, done(LOCAL, 0, 1100)), one(LOCAL, 0))),
        (
            "outside its zone, gateway notified",
            play(request(LOCAL, done(LOCAL, 0, 1100)), one(LOCAL, 0)).with(|play| {
                play.events.push((0, Event::Notified { to: GATEWAY, engine: 0, run: 0, drained: false }));
            }),
        ),
    ];
    let trace = describe(plays);
    expect![[r"
        answered correctly: 
        no answer: Lost
        answered after the timeout: Lost
        answered after the timeout on a machine that lagged: Lost?
        new connection closed without an answer: Lost
        reused connection closed without an answer: 
        two answers: AnsweredTwice
        rows of another engine: WrongRows
        dispatched after its client disconnected: SentAfterClientLeft
        dispatched after its answer: SentAfterAnswer
        dispatched after its timeout: SentAfterDeadline
        time limit beyond the timeout: DeadlineTooLong
        dispatched without a request: UnknownRequest
        run-once retried after a fault: RunOnceAgain
        run-once retried after a refusal: 
        run-once answered as busy after a fault: RefusedAfterRun
        run-once answered as failed after a fault: 
        keyed retried in its zone: 
        keyed retried in another zone, gateway not notified: 
        keyed retried in another zone, gateway notified: KeyedOutsideGroup
        retried while the first dispatch is in flight: TwoOut
        outside its zone, gateway not notified: 
        outside its zone, gateway notified: Placement
    "]]
    .assert_eq(&trace);
}

impl Play {
    fn with(mut self, change: impl FnOnce(&mut Play)) -> Play {
        change(&mut self);
        self
    }
}

/// The same for rules that concern several requests, engines or processes.
#[test]
fn windows_and_processes_are_checked() {
    let mut trace = String::new();
    // A job with an idempotency key is retried after the deduplication window, within its client's timeout.
    let mut keyed = schedule();
    keyed.rules.deduplication_window = std::time::Duration::from_millis(200);
    let late = vec![dispatch(POST, 0, 1010, Some((1100, DispatchEnd::Fault))), dispatch(POST, 2, 1500, None)];
    let end = done(POST, 2, 1600);
    writeln!(
        trace,
        "keyed retried after the deduplication window: {}",
        rules(Play { schedule: Some(keyed), ..play(request(POST, end), late) })
    )
    .unwrap();
    // Ten jobs, each with one retry at the same time; allowed are two retries plus a tenth of the jobs.
    let mut budget = schedule();
    (budget.rules.min_retries, budget.rules.retries_per_job) = (2.0, 0.1);
    let mut all = Play { schedule: Some(budget), ..Play::default() };
    for number in 0..10 {
        let id = format!("{:016x}", 100 + number);
        let rows = rows(&id, 0, 0).concat();
        let end = at(1400, RequestEnd::Done { rows });
        all.requests.push(Request { id: id.clone(), ..request(LOOKUP, end) });
        for (time, end) in [(1010, DispatchEnd::Shed), (1300, DispatchEnd::Done)] {
            let one = dispatch(LOOKUP, 0, time, Some((time + 10, end)));
            all.dispatches.push(Dispatch { id: id.clone(), ..one });
        }
    }
    writeln!(trace, "more retries than the budget allows: {}", rules(all).split(' ').next().unwrap())
        .unwrap();
    // An engine that has just started gets far more dispatches than slow start allows, from a gateway that was notified
    // of its start; and a drained engine gets a dispatch.
    for drained in [false, true] {
        let mut started_engine = Play::default();
        started_engine.events.push((900 * MS, Event::EngineStarted { engine: 0, run: 1 }));
        started_engine.events.push((900 * MS, Event::Notified { to: GATEWAY, engine: 0, run: 1, drained }));
        if drained {
            started_engine.events.push((800 * MS, Event::Drained { engine: 0, run: 1 }));
        }
        for number in 0..if drained { 1 } else { 400 } {
            let (id, when) = (format!("{:016x}", 100 + number), if drained { 2500 } else { 1010 });
            let mut request =
                Request { id: id.clone(), ..request(LOOKUP, at(when + 20, RequestEnd::Abandoned)) };
            request.sent_at = (when - 10) * MS;
            started_engine.requests.push(request);
            let one = dispatch(LOOKUP, 0, when, Some((when + 10, DispatchEnd::Stopped)));
            started_engine.dispatches.push(Dispatch { id, engine_run: 1, ..one });
        }
        writeln!(
            trace,
            "{}: {}",
            if drained { "dispatch to a drained engine" } else { "more dispatches than slow start allows" },
            rules(started_engine)
        )
        .unwrap();
    }
    let ended = |status: &str, clean| Event::GatewayEnded { run: GATEWAY, status: status.to_string(), clean };
    let started = || (0, Event::GatewayStarted { run: GATEWAY });
    let stopping = || (1, Event::GatewayStopping { run: GATEWAY });
    let line = "ERROR invariant Answered violated".to_string();
    for (what, events) in [
        ("gateway crashed", vec![started(), (5, ended("signal: 6 (SIGABRT)", false))]),
        ("gateway stopped cleanly", vec![started(), stopping(), (5, ended("exit status: 0", true))]),
        ("gateway did not stop", vec![started(), stopping(), (5, ended("signal: 9 (SIGKILL)", false))]),
        ("gateway never ready", vec![started()]),
        (
            "gateway logged an error",
            vec![
                started(),
                (4, Event::GatewayReady { run: GATEWAY }),
                (5, Event::ErrorLogged { run: GATEWAY, line }),
            ],
        ),
    ] {
        writeln!(trace, "{what}: {}", rules(Play { events, ..Play::default() })).unwrap();
    }
    // During a flood of idle connections, new connections may be closed unread.
    let mut flooded = schedule();
    let fault = Fault::IdleFlood { gateways: vec![0], connections: 100, for_ms: 500 };
    flooded.faults.push(schedule::ScheduledFault { at_ms: 900, fault });
    let closed = request(LOOKUP, at(1040, RequestEnd::Closed { reset: false }));
    writeln!(
        trace,
        "new connection closed without an answer during a flood of idle connections: {}",
        rules(Play { schedule: Some(flooded), ..play(closed, vec![]) })
    )
    .unwrap();
    assert_eq!(schedule().classes[LOAD].retry_safety, RetrySafety::RunOnce);
    expect![[r"
        keyed retried after the deduplication window: KeyedOutsideWindow
        more retries than the budget allows: Budget
        more dispatches than slow start allows: ColdEngine
        dispatch to a drained engine: Drain
        gateway crashed: Crash FailedStart
        gateway stopped cleanly: 
        gateway did not stop: DidNotStop
        gateway never ready: FailedStart
        gateway logged an error: Complaint
        new connection closed without an answer during a flood of idle connections: 
    "]]
    .assert_eq(&trace);
}

/// The same for connections that end without an answer. A gateway may close one during a late part of its shutdown, if
/// it does so without delay and has not dispatched the request. After an injected failure of a call on a connection it
/// may close it up to the request's timeout.
#[test]
fn ends_of_connections_without_an_answer_are_checked() {
    let closed = |sent_ms: Micros, closed_ms: Micros| {
        let mut request = request(LOOKUP, at(closed_ms, RequestEnd::Closed { reset: false }));
        (request.sent_at, request.is_first_on_connection) = (sent_ms * MS, false);
        request
    };
    let stopping = (1_000 * MS, Event::GatewayStopping { run: GATEWAY });
    let stopped =
        |request, dispatches| play(request, dispatches).with(|play| play.events.push(stopping.clone()));
    let mut breaks = schedule();
    let fault = Fault::FailClientCalls { gateways: vec![0], share: 0.1, for_ms: 500 };
    breaks.faults.push(schedule::ScheduledFault { at_ms: 900, fault });
    let broken = |request| Play { schedule: Some(breaks.clone()), ..play(request, vec![]) };
    let sent = vec![dispatch(LOOKUP, 0, 1810, Some((1850, DispatchEnd::Stopped)))];

    let trace = describe([
        ("sent early in the shutdown, closed after a delay", stopped(closed(1650, 1950), vec![])),
        ("sent late in the shutdown, closed without delay", stopped(closed(1800, 1810), vec![])),
        ("sent late in the shutdown, closed after a delay", stopped(closed(1800, 2050), vec![])),
        ("sent late in the shutdown, closed after its dispatch", stopped(closed(1800, 1850), sent)),
        ("sent while calls fail, closed within the timeout", broken(closed(1000, 1800))),
        ("sent while calls fail, closed after the timeout", broken(closed(1000, 2200))),
        ("sent after the call failures ended, closed", broken(closed(2600, 2900))),
    ]);

    expect![[r"
        sent early in the shutdown, closed after a delay: Lost
        sent late in the shutdown, closed without delay: 
        sent late in the shutdown, closed after a delay: Lost
        sent late in the shutdown, closed after its dispatch: Lost
        sent while calls fail, closed within the timeout: 
        sent while calls fail, closed after the timeout: Lost
        sent after the call failures ended, closed: Lost
    "]]
    .assert_eq(&trace);
}
