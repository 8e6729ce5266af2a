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
#[path = "../src/schedule.rs"]
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
        ("in order", play(request(LOOKUP, done(LOOKUP, 0, 1100)), one(LOOKUP, 0))),
        ("no answer", play(request(LOOKUP, None), vec![])),
        ("late answer", play(request(LOOKUP, done(LOOKUP, 0, 2700)), one(LOOKUP, 0))),
        ("the same on a machine that lagged", lagged),
        (
            "closed on a fresh connection",
            play(request(LOOKUP, at(1040, RequestEnd::Closed { reset: false })), vec![]),
        ),
        ("crossing on a used one", play(used, vec![])),
        ("two answers", play(twice, one(LOOKUP, 0))),
        ("rows of another engine", play(request(LOOKUP, done(LOOKUP, 1, 1100)), one(LOOKUP, 0))),
        (
            "sent after its client left",
            play(request(LOOKUP, at(1000, RequestEnd::Abandoned)), vec![dispatch(LOOKUP, 0, 1200, None)]),
        ),
        ("sent after its answer", play(request(LOOKUP, busy()), vec![dispatch(LOOKUP, 0, 1700, None)])),
        (
            "sent after its time",
            play(request(LOOKUP, at(2300, RequestEnd::Busy)), vec![dispatch(LOOKUP, 0, 2200, None)]),
        ),
        ("told more time than is left", play(request(LOOKUP, done(LOOKUP, 0, 1100)), long_limit)),
        ("nobody asked", Play { dispatches: one(LOOKUP, 0), ..Play::default() }),
        ("run-once after a fault", play(request(LOAD, done(LOAD, 1, 1300)), again(LOAD, 1, Fault))),
        ("run-once after a refusal", play(request(LOAD, done(LOAD, 1, 1300)), again(LOAD, 1, Shed))),
        (
            "run-once refused after a fault",
            play(request(LOAD, busy()), vec![dispatch(LOAD, 0, 1010, Some((1100, Fault)))]),
        ),
        (
            "run-once failed after a fault",
            play(request(LOAD, failed()), vec![dispatch(LOAD, 0, 1010, Some((1100, Fault)))]),
        ),
        ("keyed in its zone", play(request(POST, done(POST, 2, 1300)), again(POST, 2, Disconnected))),
        (
            "keyed in another zone, not known",
            play(request(POST, done(POST, 1, 1300)), again(POST, 1, Disconnected)),
        ),
        (
            "keyed in another zone",
            play(request(POST, done(POST, 1, 1300)), again(POST, 1, Disconnected)).with(|play| {
                play.events.push((0, Event::Notified { to: GATEWAY, engine: 1, run: 0, drained: false }));
            }),
        ),
        (
            "two out",
            play(request(LOOKUP, done(LOOKUP, 1, 1300)), again(LOOKUP, 1, Done))
                .with(|play| play.dispatches[0].end = None),
        ),
        ("out of place, not known", play(request(LOCAL, done(LOCAL, 0, 1100)), one(LOCAL, 0))),
        (
            "out of place",
            play(request(LOCAL, done(LOCAL, 0, 1100)), one(LOCAL, 0)).with(|play| {
                play.events.push((0, Event::Notified { to: GATEWAY, engine: 0, run: 0, drained: false }));
            }),
        ),
    ];
    let trace = describe(plays);
    expect![[r"
        in order: 
        no answer: Lost
        late answer: Lost
        the same on a machine that lagged: Lost?
        closed on a fresh connection: Lost
        crossing on a used one: 
        two answers: AnsweredTwice
        rows of another engine: WrongRows
        sent after its client left: SentAfterClientLeft
        sent after its answer: SentAfterAnswer
        sent after its time: SentAfterDeadline
        told more time than is left: DeadlineTooLong
        nobody asked: UnknownRequest
        run-once after a fault: RunOnceAgain
        run-once after a refusal: 
        run-once refused after a fault: RefusedAfterRun
        run-once failed after a fault: 
        keyed in its zone: 
        keyed in another zone, not known: 
        keyed in another zone: KeyedOutsideGroup
        two out: TwoOut
        out of place, not known: 
        out of place: Placement
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
        "keyed late: {}",
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
    writeln!(trace, "budget: {}", rules(all).split(' ').next().unwrap()).unwrap();
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
        writeln!(trace, "{}: {}", if drained { "drained" } else { "cold" }, rules(started_engine)).unwrap();
    }
    let ended = |status: &str, clean| Event::GatewayEnded { run: GATEWAY, status: status.to_string(), clean };
    let started = || (0, Event::GatewayStarted { run: GATEWAY });
    let stopping = || (1, Event::GatewayStopping { run: GATEWAY });
    let line = "ERROR invariant Answered violated".to_string();
    for (what, events) in [
        ("crash", vec![started(), (5, ended("signal: 6 (SIGABRT)", false))]),
        ("stopped", vec![started(), stopping(), (5, ended("exit status: 0", true))]),
        ("had to be killed", vec![started(), stopping(), (5, ended("signal: 9 (SIGKILL)", false))]),
        ("never ready", vec![started()]),
        (
            "complains",
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
    writeln!(trace, "shut in a flood: {}", rules(Play { schedule: Some(flooded), ..play(closed, vec![]) }))
        .unwrap();
    assert_eq!(schedule().classes[LOAD].retry_safety, RetrySafety::RunOnce);
    expect![[r"
        keyed late: KeyedOutsideWindow
        budget: Budget
        cold: ColdEngine
        drained: Drain
        crash: Crash FailedStart
        stopped: 
        had to be killed: DidNotStop
        never ready: FailedStart
        complains: Complaint
        shut in a flood: 
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
        ("early in a stop", stopped(closed(1650, 1950), vec![])),
        ("late in a stop, at once", stopped(closed(1800, 1810), vec![])),
        ("late in a stop, after a silence", stopped(closed(1800, 2050), vec![])),
        ("late in a stop, but sent", stopped(closed(1800, 1850), sent)),
        ("broken connection", broken(closed(1000, 1800))),
        ("broken connection, its end past the client's wait", broken(closed(1000, 2200))),
        ("after the calls have failed", broken(closed(2600, 2900))),
    ]);

    expect![[r"
        early in a stop: Lost
        late in a stop, at once: 
        late in a stop, after a silence: Lost
        late in a stop, but sent: Lost
        broken connection: 
        broken connection, its end past the client's wait: Lost
        after the calls have failed: Lost
    "]]
    .assert_eq(&trace);
}
