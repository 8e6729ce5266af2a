//! Traces of decisions, one test for the ordinary path and each rule or failure. Read them as a diary: time
//! in milliseconds, what came in, and what was decided.

use expect_test::{Expect, expect};
use pebblevane::controller::AdmissionController;
use pebblevane::interface::*;
use pebblevane::settings::*;
use pebblevane::time::*;
use std::fmt::Write;

const LOOKUP: usize = 0;
const POST: usize = 1;
const KEYED: usize = 2;
const ORDERED: usize = 3;
const PLACED: usize = 4;
const LOAD: usize = 5;

struct Desk {
    logic: AdmissionController,
    now: f64,
    trace: String,
    /// What probes tell of an engine's jobs in hand; none are answered without.
    told: Vec<f64>,
    field: &'static str,
    /// How long a probe takes there.
    probe_ms: Vec<f64>,
    asked: Vec<EngineId>,
    sent: Vec<(f64, u32)>,
    jobs: u32,
    /// Engines whose connections break take new ones.
    lively: bool,
    /// The work that jobs are told to need.
    cost: Option<f64>,
    /// How long clients say that they wait, and the memory that they tell.
    left: f64,
    memory: f64,
    /// The work that engines bill; none where they don't.
    bill: Option<f64>,
}

fn settings(more: &[(&str, f64)]) -> Settings {
    let mut all = Settings::default();
    let mut set = |name: String, value: Value| drop(all.0.insert(name, value));
    for (i, effect) in
        ["read_like", "non_idempotent", "idempotency_key", "read_like", "read_like", "non_idempotent"]
            .iter()
            .enumerate()
    {
        for (name, value) in [("Aim", 1000.0), ("Worth", 1.0), ("DedupWindow", 2000.0)] {
            set(format!("Classes.{i}.{name}"), Value::Number(value));
        }
        set(format!("Classes.{i}.Semantics"), Value::Text(effect.to_string()));
        set(format!("Classes.{i}.Group"), Value::Text("zone".to_string()));
        set(format!("Classes.{i}.ByArrival"), Value::Flag(i == ORDERED));
        set(format!("Extra.ClassThreads.{i}"), Value::Number(1.0));
        set(format!("Extra.IsLoad.{i}"), Value::Flag(i == LOAD));
        set(format!("Extra.WaitsForLoads.{i}"), Value::Flag(i == LOOKUP));
    }
    set(format!("Classes.{PLACED}.ConfinedTo.0"), Value::Number(1.0));
    set("Extra.CpuOfKind.0".to_string(), Value::Number(8.0));
    set("Ceilings.Cancelling".to_string(), Value::Flag(true));
    set("Report.Names.0".to_string(), Value::Text("concurrent".to_string()));
    for (name, value) in [("Balancers", 2.0), ("Tick", 5.0), ("Ceilings.TryLimit", 4.0)].iter().chain(more) {
        let flag = ["Extra.GrantsCount", "Ceilings.Probes"].contains(name);
        set(name.to_string(), if flag { Value::Flag(*value > 0.0) } else { Value::Number(*value) });
    }
    all
}

fn engine(number: u32, stage: LifecycleState, ready_at: Option<f64>) -> Endpoint {
    Endpoint {
        engine: EngineId(number),
        name: format!("engine-{number}"),
        location: number as usize % 2,
        lifecycle: stage,
        started_at: ready_at.map(Timestamp::from_millis_f64),
        capacity_hint: 1.0,
        ..Endpoint::default()
    }
}

impl Desk {
    fn new(more: &[(&str, f64)], engines: u32) -> Desk {
        let ordinal = more.iter().find(|(name, _)| *name == "Ordinal").map_or(0.0, |(_, ordinal)| *ordinal);
        let logic =
            AdmissionController::new(Timestamp::from_millis_f64(0.0), 7 + ordinal as u64, &settings(more));
        let mut desk = Desk {
            logic,
            now: 0.0,
            trace: String::new(),
            told: vec![],
            field: "concurrent",
            probe_ms: vec![],
            asked: vec![],
            sent: vec![],
            jobs: 0,
            lively: false,
            cost: Some(100.0),
            left: 4000.0,
            memory: 200.0,
            bill: None,
        };
        desk.list(true, (0..engines).map(|i| engine(i, LifecycleState::Running, None)).collect());
        desk
    }
    fn note(&mut self, what: &str, decided: Actions) {
        let mut parts: Vec<String> = Vec::new();
        parts.extend(decided.cancellations.iter().map(|id| format!("recall {}.{}", id.job.0, id.attempt)));
        parts.extend(decided.answers.iter().map(|(job, answer)| match answer {
            FinalAnswer::Rejected { .. } => format!("throttle {}", job.0),
            FinalAnswer::Cancelled => format!("cancel {}", job.0),
        }));
        parts.extend(decided.dispatches.iter().map(|d| {
            let granted =
                d.options.map(|terms| format!(" with {} MB", terms.memory_grant_mb)).unwrap_or_default();
            format!("send {} to {}{granted}", d.job.0, d.engine.0)
        }));
        parts.extend(decided.health_checks.iter().map(|engine| format!("probe {}", engine.0)));
        self.sent.extend(decided.dispatches.iter().map(|dispatch| (self.now, dispatch.engine.0)));
        self.asked.extend(&decided.health_checks);
        if !what.is_empty() || !parts.is_empty() {
            let line = format!("{:<5} {what}: {}", self.now, parts.join(", "));
            writeln!(self.trace, "{}", line.trim_end()).unwrap();
        }
    }
    fn moment(&self) -> Timestamp {
        Timestamp::from_millis_f64(self.now)
    }
    fn list(&mut self, complete: bool, listings: Vec<Endpoint>) {
        let what: Vec<String> =
            listings.iter().map(|l| format!("{} {:?}", l.engine.0, l.lifecycle)).collect();
        let scope = if complete { ListScope::Complete } else { ListScope::Changes };
        let decided = self.logic.endpoints_changed(self.moment(), scope, listings);
        self.note(&format!("list [{}]", what.join(", ")), decided);
    }
    fn take(&mut self, reservation: usize, group: u64, key: Option<u64>) -> u32 {
        let id = self.jobs;
        self.jobs += 1;
        let job = Job {
            class: reservation,
            table_group: group,
            key,
            time_left: TimeDelta::from_millis_f64(self.left),
            cost: self.cost.map(TimeDelta::from_millis_f64),
            memory_mb: Some(self.memory),
            ..Job::default()
        };
        let decided = self.logic.submit(self.moment(), JobId(id), job);
        self.note(&format!("take {id}"), decided);
        id
    }
    fn settle(&mut self, job: u32, copy: u32, verdict: DispatchStatus, took: f64) {
        let outcome = DispatchResult {
            status: verdict,
            elapsed: TimeDelta::from_millis_f64(took),
            job_finished: verdict == DispatchStatus::Completed,
            engine_reachable: self.lively,
            actual_cost: self
                .bill
                .map(|work| ActualCost { work: TimeDelta::from_millis_f64(work), memory_mb: self.memory }),
            load_report: None,
        };
        let decided = self.logic.dispatch_finished(self.moment(), JobId(job), copy, outcome);
        self.note(&format!("{verdict:?} {job}.{copy}"), decided);
    }
    fn note_on(&mut self, job: u32, copy: u32, note: ProgressUpdate) {
        let decided = self.logic.dispatch_progress(self.moment(), JobId(job), copy, note);
        self.note(&format!("{note:?} {job}.{copy}"), decided);
    }
    fn stop(&mut self, within: f64) {
        let decided = self.logic.begin_shutdown(self.moment(), Timestamp::from_millis_f64(self.now + within));
        self.note("stopping", decided);
    }
    /// Lets time pass, waking the module every five milliseconds as the clock would.
    fn pass(&mut self, ms: f64) {
        let until = self.now + ms;
        while self.now < until {
            self.now += 5.0;
            let decided = self.logic.timer_fired(self.moment());
            self.note("", decided);
            for engine in std::mem::take(&mut self.asked) {
                let Some(jobs) = self.told.get(engine.0 as usize).copied() else { continue };
                let took =
                    TimeDelta::from_millis_f64(self.probe_ms.get(engine.0 as usize).copied().unwrap_or(1.0));
                let load_report = Some(match self.field {
                    "concurrent" => LoadReport { jobs_in_flight: Some(jobs), ..LoadReport::default() },
                    _ => LoadReport { processor_utilization: Some(jobs), ..LoadReport::default() },
                });
                let outcome = DispatchResult {
                    status: DispatchStatus::Completed,
                    elapsed: took,
                    job_finished: false,
                    engine_reachable: false,
                    actual_cost: None,
                    load_report,
                };
                let decided = self.logic.health_check_finished(self.moment(), engine, outcome);
                self.note(&format!("told {}: {jobs}", engine.0), decided);
            }
        }
    }
}

fn same(desk: Desk, trace: Expect) {
    trace.assert_eq(&desk.trace);
}

#[test]
fn jobs_of_a_table_group_keep_to_its_pair() {
    let mut desk = Desk::new(&[], 6);
    for round in 0..4 {
        for group in [11, 12] {
            let job = desk.take(LOOKUP, group, None);
            desk.pass(50.0);
            desk.settle(job, 0, DispatchStatus::Completed, 50.0 + f64::from(round));
        }
    }
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
            0     take 0: send 0 to 5
            50    Completed 0.0:
            50    take 1: send 1 to 1
            100   Completed 1.0:
            100   take 2: send 2 to 1
            150   Completed 2.0:
            150   take 3: send 3 to 1
            200   Completed 3.0:
            200   take 4: send 4 to 1
            250   Completed 4.0:
            250   take 5: send 5 to 1
            300   Completed 5.0:
            300   take 6: send 6 to 5
            350   Completed 6.0:
            350   take 7: send 7 to 1
            400   Completed 7.0:
        "#]],
    );
}

#[test]
fn the_faster_engine_of_a_pair_is_learnt() {
    let mut desk = Desk::new(&[], 2);
    let mut counts = [0; 2];
    for _ in 0..300 {
        let job = desk.take(LOOKUP, 11, None);
        let slow = desk.trace.ends_with("to 1\n");
        counts[usize::from(slow)] += 1;
        desk.pass(20.0);
        desk.settle(job, 0, DispatchStatus::Completed, if slow { 900.0 } else { 100.0 });
    }
    expect!["[299, 1]"].assert_eq(&format!("{counts:?}"));
}

#[test]
fn a_run_once_job_that_may_have_run_is_neither_sent_again_nor_throttled() {
    let mut desk = Desk::new(&[], 4);
    let broken = desk.take(POST, 11, None);
    let refused = desk.take(POST, 12, None);
    desk.pass(10.0);
    desk.settle(broken, 0, DispatchStatus::ConnectionLost, 10.0);
    desk.settle(refused, 0, DispatchStatus::Unreachable, 10.0);
    desk.pass(5000.0);
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running, 2 Running, 3 Running]:
            0     take 0: send 0 to 3
            0     take 1: send 1 to 1
            10    ConnectionLost 0.0: cancel 0
            10    Unreachable 1.0: send 1 to 0
            3990  : recall 1.1, cancel 1
        "#]],
    );
}

#[test]
fn a_keyed_job_stays_within_its_group_and_window() {
    let mut desk = Desk::new(&[], 6);
    let job = desk.take(KEYED, 11, None);
    desk.pass(10.0);
    desk.settle(job, 0, DispatchStatus::ConnectionLost, 10.0);
    let late = desk.take(KEYED, 12, None);
    desk.pass(2100.0);
    desk.settle(late, 0, DispatchStatus::TimedOut, 2100.0);
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
            0     take 0: send 0 to 5
            10    ConnectionLost 0.0: send 0 to 1
            10    take 1: send 1 to 0
            2110  TimedOut 1.0: cancel 1
        "#]],
    );
}

/// A keyed job that may have run goes again within its window of 2 s and not after it, though its client waits and its SLA
/// time is far away.
#[test]
fn a_keyed_job_is_not_sent_again_after_its_window() {
    let mut desk = Desk::new(&[("Classes.2.Aim", 10000.0)], 6);
    desk.left = 9000.0;
    for broken_after in [1900.0, 2000.0] {
        let job = desk.take(KEYED, 11, None);
        desk.pass(broken_after);
        desk.settle(job, 0, DispatchStatus::ConnectionLost, broken_after);
        desk.pass(100.0);
    }
    same(
        desk,
        expect![[r#"
        0     list [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
        0     take 0: send 0 to 5
        1900  ConnectionLost 0.0: send 0 to 1
        2000  take 1: send 1 to 5
        4000  ConnectionLost 1.0: cancel 1
    "#]],
    );
}

#[test]
fn nothing_goes_to_an_engine_that_drains_or_is_gone() {
    let mut desk = Desk::new(&[], 3);
    desk.list(false, vec![engine(0, LifecycleState::Draining, None)]);
    desk.list(true, vec![engine(1, LifecycleState::Running, None)]);
    for group in 0..4 {
        desk.take(LOOKUP, group, None);
    }
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running, 2 Running]:
            0     list [0 Draining]:
            0     list [1 Running]:
            0     take 0: send 0 to 1
            0     take 1: send 1 to 1
            0     take 2: send 2 to 1
            0     take 3: send 3 to 1
        "#]],
    );
}

#[test]
fn a_cold_engine_gets_this_gateways_share_and_no_more() {
    let cold = [
        ("Contract.FallMultiple", 2.0),
        ("Contract.OverloadFor", 500.0),
        ("Contract.StartCapacity", 0.3),
        ("Contract.WarmAfter", 10000.0),
    ];
    let mut desk = Desk::new(&cold, 0);
    desk.now = 1000.0;
    desk.list(false, vec![engine(0, LifecycleState::Running, Some(1000.0))]);
    for _ in 0..12 {
        desk.take(LOOKUP, 11, None);
    }
    desk.pass(600.0);
    same(
        desk,
        expect![[r#"
            0     list []:
            1000  list [0 Running]:
            1000  take 0: send 0 to 0
            1000  take 1: send 1 to 0
            1000  take 2: send 2 to 0
            1000  take 3: send 3 to 0
            1000  take 4: send 4 to 0
            1000  take 5: send 5 to 0
            1000  take 6: send 6 to 0
            1000  take 7:
            1000  take 8:
            1000  take 9:
            1000  take 10:
            1000  take 11:
            1505  : send 7 to 0, send 8 to 0, send 9 to 0, send 10 to 0, send 11 to 0
        "#]],
    );
}

#[test]
fn jobs_of_one_key_go_one_by_one_with_a_rest_after_doubt() {
    let mut desk = Desk::new(&[("Contract.OrderPause", 300.0)], 4);
    let first = desk.take(ORDERED, 11, Some(5));
    let second = desk.take(ORDERED, 11, Some(5));
    desk.take(ORDERED, 11, Some(5));
    desk.take(ORDERED, 11, Some(6));
    desk.pass(50.0);
    desk.settle(first, 0, DispatchStatus::Completed, 50.0);
    desk.pass(300.0);
    desk.settle(second, 0, DispatchStatus::TimedOut, 300.0);
    desk.pass(50.0);
    desk.settle(second, 1, DispatchStatus::Completed, 50.0);
    desk.pass(1000.0);
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running, 2 Running, 3 Running]:
            0     take 0: send 0 to 3
            0     take 1:
            0     take 2:
            0     take 3: send 3 to 1
            50    Completed 0.0:
            55    : send 1 to 3
            350   TimedOut 1.0: send 1 to 2
            400   Completed 1.1:
            650   : send 2 to 3
        "#]],
    );
}

#[test]
fn a_long_job_leaves_its_turn_where_those_behind_it_would_be_late() {
    let mut desk = Desk::new(&[], 4);
    let first = desk.take(ORDERED, 11, Some(5));
    desk.cost = Some(700.0);
    desk.take(ORDERED, 11, Some(5));
    desk.cost = Some(200.0);
    let short: Vec<u32> = (0..3).map(|_| desk.take(ORDERED, 11, Some(5))).collect();
    desk.cost = Some(700.0);
    let alone = desk.take(ORDERED, 11, Some(6));
    desk.pass(100.0);
    desk.settle(first, 0, DispatchStatus::Completed, 100.0);
    desk.pass(10.0);
    for job in short {
        desk.pass(190.0);
        desk.settle(job, 0, DispatchStatus::Completed, 190.0);
        desk.pass(10.0);
    }
    desk.settle(alone, 0, DispatchStatus::Completed, 900.0);
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running, 2 Running, 3 Running]:
            0     take 0: send 0 to 3
            0     take 1:
            0     take 2:
            0     take 3:
            0     take 4:
            0     take 5: send 5 to 1
            100   Completed 0.0:
            105   : throttle 1, send 2 to 3
            300   Completed 2.0:
            305   : send 3 to 3
            500   Completed 3.0:
            505   : send 4 to 3
            700   Completed 4.0:
            710   Completed 5.0:
        "#]],
    );
}

#[test]
fn a_bound_job_waits_or_ends_but_never_goes_elsewhere() {
    let mut desk = Desk::new(&[], 4);
    desk.list(false, vec![engine(1, LifecycleState::Gone, None), engine(3, LifecycleState::Draining, None)]);
    desk.take(PLACED, 11, None);
    desk.pass(2000.0);
    desk.take(PLACED, 11, None);
    desk.list(false, vec![engine(5, LifecycleState::Running, None)]);
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running, 2 Running, 3 Running]:
            0     list [1 Gone, 3 Draining]:
            0     take 0:
            1000  : throttle 0
            2000  take 1:
            2000  list [5 Running]: send 1 to 5
        "#]],
    );
}

#[test]
fn further_dispatches_keep_to_their_budget() {
    let mut desk = Desk::new(
        &[("Contract.BudgetWindow", 10000.0), ("Contract.SpareAttempts", 1.0), ("Contract.ExtraRatio", 0.25)],
        6,
    );
    for group in 0..5 {
        let job = desk.take(LOOKUP, group, None);
        desk.settle(job, 0, DispatchStatus::Failed, 1.0);
    }
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
            0     take 0: send 0 to 0
            0     Failed 0.0: send 0 to 2
            0     take 1: send 1 to 1
            0     Failed 1.0:
            0     take 2: send 2 to 1
            0     Failed 2.0:
            0     take 3: send 3 to 0
            0     Failed 3.0: send 3 to 1
            0     take 4: send 4 to 3
            0     Failed 4.0:
        "#]],
    );
}

#[test]
fn a_budget_holds_at_both_ends_of_its_window() {
    let budget =
        [("Contract.BudgetWindow", 1000.0), ("Contract.SpareAttempts", 1.0), ("Contract.ExtraRatio", 0.0)];
    let mut desk = Desk::new(&budget, 6);
    let first = desk.take(LOOKUP, 1, None);
    desk.settle(first, 0, DispatchStatus::Failed, 1.0);
    desk.pass(900.0);
    let second = desk.take(LOOKUP, 2, None);
    desk.pass(100.0);
    desk.settle(second, 0, DispatchStatus::Failed, 1.0);
    desk.pass(100.0);
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
            0     take 0: send 0 to 0
            0     Failed 0.0: send 0 to 1
            900   take 1: send 1 to 4
            1000  Failed 1.0:
            1010  : send 1 to 3
        "#]],
    );
}

/// A dispatch at the far end of the window is still known when the next one is counted.
#[test]
fn a_budget_remembers_the_far_end_of_its_window() {
    let budget =
        [("Contract.BudgetWindow", 1000.0), ("Contract.SpareAttempts", 2.0), ("Contract.ExtraRatio", 0.0)];
    let mut desk = Desk::new(&budget, 6);
    let first = desk.take(LOOKUP, 1, None);
    desk.settle(first, 0, DispatchStatus::Failed, 1.0);
    desk.pass(1000.0);
    let further: Vec<u32> = (2..4).map(|group| desk.take(LOOKUP, group, None)).collect();
    further.into_iter().for_each(|job| desk.settle(job, 0, DispatchStatus::Failed, 1.0));
    desk.pass(100.0);
    same(
        desk,
        expect![[r#"
        0     list [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
        0     take 0: send 0 to 0
        0     Failed 0.0: send 0 to 1
        1000  take 1: send 1 to 4
        1000  take 2: send 2 to 2
        1000  Failed 1.0: send 1 to 3
        1000  Failed 2.0:
        1010  : send 2 to 0
    "#]],
    );
}

#[test]
fn the_final_answer_comes_before_the_client_leaves_and_late_outcomes_change_nothing() {
    let mut desk = Desk::new(&[], 2);
    let read = desk.take(LOOKUP, 11, None);
    let post = desk.take(POST, 12, None);
    desk.pass(4000.0);
    desk.settle(read, 0, DispatchStatus::Cancelled, 4000.0);
    desk.settle(post, 0, DispatchStatus::Completed, 4000.0);
    desk.settle(post, 0, DispatchStatus::Completed, 4000.0);
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running]:
            0     take 0: send 0 to 0
            0     take 1: send 1 to 1
            3990  : recall 0.0, recall 1.0, throttle 0, cancel 1
            4000  Cancelled 0.0:
            4000  Completed 1.0:
            4000  Completed 1.0:
        "#]],
    );
}

#[test]
fn with_no_engine_jobs_wait_and_a_stale_list_is_mended() {
    let mut desk = Desk::new(&[], 0);
    desk.take(LOOKUP, 11, None);
    desk.list(true, vec![engine(0, LifecycleState::Running, None)]);
    desk.settle(0, 0, DispatchStatus::Unreachable, 250.0);
    desk.pass(250.0);
    desk.list(true, vec![engine(1, LifecycleState::Running, None)]);
    desk.list(true, vec![]);
    desk.take(LOOKUP, 12, None);
    desk.pass(1500.0);
    same(
        desk,
        expect![[r#"
            0     list []:
            0     take 0:
            0     list [0 Running]: send 0 to 0
            0     Unreachable 0.0: send 0 to 0
            250   list [1 Running]:
            250   list []:
            250   take 1:
            1250  : throttle 1
        "#]],
    );
}

#[test]
fn a_bad_plan_is_recalled_and_run_anew() {
    let mut desk = Desk::new(&[("Extra.Progress", 200.0)], 3);
    let usual = desk.take(LOOKUP, 11, None);
    desk.pass(100.0);
    desk.settle(usual, 0, DispatchStatus::Completed, 100.0);
    let stuck = desk.take(LOOKUP, 11, None);
    desk.pass(200.0);
    desk.note_on(stuck, 0, ProgressUpdate::CompletedFraction(0.05));
    desk.settle(stuck, 0, DispatchStatus::Cancelled, 200.0);
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running, 2 Running]:
            0     take 0: send 0 to 2
            100   Completed 0.0:
            100   take 1: send 1 to 1
            300   CompletedFraction(0.05) 1.0: recall 1.0
            300   Cancelled 1.0: send 1 to 2
        "#]],
    );
}

#[test]
fn a_line_at_the_gateway_is_let_out_little_by_little() {
    let mut desk = Desk::new(&[], 2);
    (0..36).for_each(|group| assert_eq!(desk.take(LOOKUP, group, None), group as u32));
    let mut sent = vec![desk.trace.matches("send").count()];
    for job in 0..3 {
        desk.settle(job, 0, DispatchStatus::Completed, 100.0);
        desk.pass(20.0);
        sent.push(desk.trace.matches("send").count());
    }
    desk.pass(2000.0);
    let throttled = desk.trace.matches("throttle").count();
    expect!["sent [32, 33, 34, 35], throttled 1"].assert_eq(&format!("sent {sent:?}, throttled {throttled}"));
}

#[test]
fn one_broken_connection_is_no_suspicion_and_two_are() {
    let mut desk = Desk::new(&[], 2);
    for verdict in [
        DispatchStatus::ConnectionLost,
        DispatchStatus::ConnectionLost,
        DispatchStatus::Completed,
        DispatchStatus::Completed,
    ] {
        let job = desk.take(LOOKUP, 11, None);
        desk.settle(job, 0, verdict, 5.0);
    }
    desk.pass(600.0);
    desk.take(LOOKUP, 11, None);
    same(
        desk,
        expect![[r#"
        0     list [0 Running, 1 Running]:
        0     take 0: send 0 to 0
        0     ConnectionLost 0.0: send 0 to 1
        0     take 1: send 1 to 0
        0     ConnectionLost 1.0: send 1 to 1
        0     take 2: send 2 to 1
        0     Completed 2.0:
        0     take 3: send 3 to 1
        0     Completed 3.0:
        600   take 4: send 4 to 0
    "#]],
    );
}

/// Where the engine takes new connections, the trouble is the connection's alone, however often it comes.
#[test]
fn broken_connections_to_an_engine_that_takes_new_ones_are_no_suspicion() {
    let mut desk = Desk::new(&[], 2);
    desk.lively = true;
    for _ in 0..3 {
        let job = desk.take(LOOKUP, 11, None);
        desk.settle(job, 0, DispatchStatus::ConnectionLost, 5.0);
        desk.settle(job, 1, DispatchStatus::Completed, 5.0);
    }
    desk.take(LOOKUP, 11, None);
    same(
        desk,
        expect![[r#"
        0     list [0 Running, 1 Running]:
        0     take 0: send 0 to 0
        0     ConnectionLost 0.0: send 0 to 1
        0     Completed 0.1:
        0     take 1: send 1 to 1
        0     ConnectionLost 1.0: send 1 to 0
        0     Completed 1.1:
        0     take 2: send 2 to 1
        0     ConnectionLost 2.0: send 2 to 0
        0     Completed 2.1:
        0     take 3: send 3 to 1
    "#]],
    );
}

#[test]
fn grants_grow_where_jobs_spill() {
    let mut desk = Desk::new(
        &[("Extra.GrantsCount", 1.0), ("Extra.RamOfKindMb.0", 16000.0), ("Extra.Progress", 50.0)],
        2,
    );
    for _ in 0..3 {
        let job = desk.take(LOOKUP, 11, None);
        desk.pass(50.0);
        desk.note_on(job, 0, ProgressUpdate::SpillingToDisk(200.0));
        desk.settle(job, 0, DispatchStatus::Completed, 100.0);
    }
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running]:
            0     take 0: send 0 to 0 with 800 MB
            50    SpillingToDisk(200.0) 0.0:
            50    Completed 0.0:
            50    take 1: send 1 to 1 with 800 MB
            100   SpillingToDisk(200.0) 1.0:
            100   Completed 1.0:
            100   take 2: send 2 to 1 with 800 MB
            150   SpillingToDisk(200.0) 2.0:
            150   Completed 2.0:
        "#]],
    );
}

#[test]
fn readers_keep_off_engines_whose_tables_a_load_holds() {
    let mut desk = Desk::new(&[], 3);
    let first = desk.take(LOAD, 11, None);
    for _ in 0..4 {
        let job = desk.take(LOOKUP, 11, None);
        desk.settle(job, 0, DispatchStatus::Completed, 100.0);
    }
    let other = desk.take(LOOKUP, 12, None);
    desk.note_on(other, 0, ProgressUpdate::WaitingForBulkLoad);
    desk.take(LOOKUP, 12, None);
    desk.settle(first, 0, DispatchStatus::Completed, 2000.0);
    same(
        desk,
        expect![[r#"
        0     list [0 Running, 1 Running, 2 Running]:
        0     take 0: send 0 to 2
        0     take 1: send 1 to 1
        0     Completed 1.0:
        0     take 2: send 2 to 1
        0     Completed 2.0:
        0     take 3: send 3 to 1
        0     Completed 3.0:
        0     take 4: send 4 to 1
        0     Completed 4.0:
        0     take 5: send 5 to 1
        0     WaitingForBulkLoad 5.0: recall 5.0
        0     take 6: send 6 to 0
        0     Completed 0.0:
    "#]],
    );
}

const MANY: [(&str, f64); 2] = [("Balancers", 40.0), ("Ceilings.Probes", 1.0)];

#[test]
fn many_gateways_probe_the_pair_and_wait_for_it_before_they_go_further() {
    let mut desk = Desk::new(&MANY, 5);
    desk.told = vec![2.0, 40.0, 40.0, 1.0, 40.0];
    desk.pass(1000.0);
    desk.take(LOOKUP, 11, None);
    desk.pass(10.0);
    desk.told = vec![40.0, 40.0, 40.0, 1.0, 40.0];
    desk.take(LOOKUP, 15, None);
    desk.pass(400.0);
    same(
        desk,
        expect![[r#"
        0     list [0 Running, 1 Running, 2 Running, 3 Running, 4 Running]:
        1000  take 0: probe 1, probe 3
        1005  told 1: 40:
        1005  told 3: 1: send 0 to 3
        1010  take 1: probe 0
        1015  told 0: 40: send 1 to 3
    "#]],
    );
}

/// Where the price of probes doesn't pay for a pair's reports with each job, a gateway that can't know decides on
/// its own figures at once; a hot group's jobs use all of its homes, whose load nobody may know.
#[test]
fn where_probes_are_dear_no_job_waits_for_reports_that_it_cannot_have() {
    let mut lines = String::new();
    for price in [0.1, 1.0] {
        let mut desk = Desk::new(&[MANY[0], MANY[1], ("Deductions.Probe", price)], 12);
        desk.told = vec![0.2; 12];
        desk.field = "load_share";
        desk.pass(1000.0);
        let mut at_once = 0;
        for job in 0..60 {
            let before = desk.sent.len();
            let id = desk.take(LOOKUP, if job % 2 == 0 { 11 } else { job }, None);
            at_once += desk.sent.len() - before;
            desk.pass(100.0);
            desk.settle(id, 0, DispatchStatus::Completed, 100.0);
        }
        let used = (0..12).filter(|e| desk.sent.iter().any(|(_, to)| to == e)).count();
        let (sent, probes) = (desk.sent.len(), desk.trace.matches("probe ").count());
        lines += &format!("price {price}: {at_once} at once of {sent}, on {used} engines, {probes} probes\n");
    }
    expect![[r#"
        price 0.1: 45 at once of 60, on 12 engines, 15 probes
        price 1: 59 at once of 60, on 12 engines, 1 probes
    "#]]
    .assert_eq(&lines);
}

/// A jam of the whole pool, where no gateway can know any engine's load: jobs come back late or not at all. What a
/// gateway has out in all shrinks to its equal part, and grows again when jobs keep their pace.
#[test]
fn a_gateway_that_cannot_know_sends_less_into_a_jam() {
    let mut desk = Desk::new(&[MANY[0], MANY[1], ("Deductions.Probe", 1.0), ("Classes.0.Aim", 30000.0)], 20);
    (desk.left, desk.field, desk.told) = (60000.0, "load_share", vec![0.2; 20]);
    let (mut out, mut seen, mut read): (Vec<(f64, u32)>, _, _) = (Vec::new(), Vec::new(), 0);
    for tenth in 0..300 {
        // Jobs of 100 ms on their own: they take that long, then 2 s, then that long again.
        let slow = if (50..150).contains(&tenth) { 2000.0 } else { 100.0 };
        desk.take(LOOKUP, tenth, None);
        desk.pass(100.0);
        let now = desk.now;
        let sends = desk.trace[read..].split("send ").skip(1).map(|rest| rest.split(' ').next().unwrap());
        out.extend(sends.map(|job| (now - 50.0, job.parse().unwrap())));
        read = desk.trace.len();
        let (back, still): (Vec<_>, Vec<_>) = out.into_iter().partition(|(sent, _)| now - sent >= slow);
        out = still;
        back.into_iter().for_each(|(sent, job)| desk.settle(job, 0, DispatchStatus::Completed, now - sent));
        if [49, 149, 299].contains(&tenth) {
            seen.push(format!("{} sent, {} out", desk.sent.len(), out.len()));
        }
    }
    expect!["50 sent, 1 out, 67 sent, 3 out, 300 sent, 1 out"].assert_eq(&seen.join(", "));
}

/// An equal part of the pool is little for a gateway with more than its share of the traffic: in a long jam it keeps
/// seven tenths of the work that comes to it out, not one thread a core of an equal part.
#[test]
fn a_busy_gateway_keeps_its_part_in_a_jam() {
    let mut desk = Desk::new(&[MANY[0], MANY[1], ("Deductions.Probe", 1.0), ("Classes.0.Aim", 30000.0)], 12);
    (desk.left, desk.field, desk.told) = (60000.0, "load_share", vec![0.2; 12]);
    let (mut out, mut read): (Vec<(f64, u32)>, _) = (Vec::new(), 0);
    for job in 0..600 {
        desk.take(LOOKUP, job, None);
        desk.pass(20.0);
        let now = desk.now;
        let sends = desk.trace[read..].split("send ").skip(1).map(|rest| rest.split(' ').next().unwrap());
        out.extend(sends.map(|job| (now, job.parse().unwrap())));
        read = desk.trace.len();
        let (back, still): (Vec<_>, Vec<_>) = out.into_iter().partition(|(sent, _)| now - sent >= 1000.0);
        out = still;
        back.into_iter().for_each(|(sent, job)| desk.settle(job, 0, DispatchStatus::Completed, now - sent));
    }
    expect!["7 out"].assert_eq(&format!("{} out", out.len()));
}

/// Large jobs that are stuck at one engine are that engine's matter: the others get as many jobs as before.
#[test]
fn one_engines_jam_does_not_shrink_what_goes_to_the_others() {
    let wide = ("Extra.ClassThreads.5", 4.0);
    let mut desk =
        Desk::new(&[MANY[0], MANY[1], ("Deductions.Probe", 1.0), wide, ("Classes.5.Aim", 30000.0)], 12);
    (desk.told, desk.field, desk.left, desk.cost) = (vec![0.2; 12], "load_share", 60000.0, Some(8000.0));
    let stuck: Vec<u32> = (0..2).map(|_| desk.take(LOAD, 11, None)).collect();
    (desk.left, desk.cost) = (4000.0, Some(100.0));
    let mut at_once = Vec::new();
    for job in 0..160 {
        let before = desk.sent.len();
        let id = desk.take(LOOKUP, job, None);
        at_once.push(desk.sent.len() - before);
        desk.pass(100.0);
        desk.settle(id, 0, DispatchStatus::Completed, 100.0);
    }
    let at_once: Vec<usize> = at_once.chunks(40).map(|sent| sent.iter().sum()).collect();
    expect!["2 stuck, [39, 39, 39, 39]"].assert_eq(&format!("{} stuck, {at_once:?}", stuck.len()));
}

/// Jobs that are out are the work that comes times their pace. More of them is a jam long before one is back or its
/// note is due, and a gateway that has just started bounds them all the same.
#[test]
fn what_is_out_is_bounded_by_the_work_that_comes() {
    let mut desk = Desk::new(&[MANY[0], MANY[1], ("Deductions.Probe", 1.0)], 40);
    (desk.told, desk.field) = (vec![0.2; 40], "load_share");
    let mut seen = Vec::new();
    for job in 0..160 {
        desk.take(LOOKUP, job, None);
        desk.pass(25.0);
        if job % 40 == 39 {
            seen.push(desk.sent.len());
        }
    }
    expect!["[8, 11, 11, 11]"].assert_eq(&format!("{seen:?}"));
}

/// A job that spills takes a multiple of its billed work on an idle engine, too: that is no jam. Where most jobs do, as
/// told memory is short of what they need, none is held or throttled for it; what takes longer still is a jam.
#[test]
fn jobs_that_spill_are_no_jam() {
    let mut lines = String::new();
    for slow in [1.0, 4.0] {
        let mut desk =
            Desk::new(&[MANY[0], MANY[1], ("Deductions.Probe", 1.0), ("Extra.Progress", 500.0)], 40);
        (desk.told, desk.field, desk.bill) = (vec![0.2; 40], "load_share", Some(100.0));
        let (mut out, mut at_once): (Vec<(u32, f64)>, _) = (Vec::new(), Vec::new());
        for job in 0..400 {
            let before = desk.sent.len();
            let id = desk.take(LOOKUP, job, None);
            at_once.push(desk.sent.len() - before);
            let spills = job % 10 < 7;
            if spills && at_once.last() == Some(&1) {
                desk.note_on(id, 0, ProgressUpdate::SpillingToDisk(100.0));
            }
            let took = if spills { 300.0 } else { 110.0 };
            out.push((id, desk.now + took * if job < 200 { 1.0 } else { slow }));
            for _ in 0..10 {
                desk.pass(5.0);
                let (back, still): (Vec<_>, Vec<_>) = out.into_iter().partition(|(_, at)| *at <= desk.now);
                out = still;
                back.into_iter().for_each(|(id, at)| {
                    let sent = desk.trace.lines().rev().find(|line| line.contains(&format!("send {id} to ")));
                    let sent = sent.map(|line| line.split(' ').next().unwrap().parse::<f64>().unwrap());
                    sent.into_iter().for_each(|sent| {
                        desk.settle(id, 0, DispatchStatus::Completed, at.max(sent + 1.0) - sent)
                    });
                });
            }
        }
        let at_once: Vec<usize> = at_once.chunks(100).map(|sent| sent.iter().sum()).collect();
        lines += &format!("{slow} times as long: {at_once:?} of 100 at once\n");
    }
    expect![[r#"
        1 times as long: [96, 97, 98, 97] of 100 at once
        4 times as long: [96, 97, 46, 35] of 100 at once
    "#]]
    .assert_eq(&lines);
}

/// Of an engine that it meets every few seconds a gateway must not forget what the last job met there. One small job
/// that was stuck for all its time is enough; its tables' jobs return when that is long ago.
#[test]
fn an_engine_where_a_small_job_was_stuck_comes_last_for_a_while() {
    let late = ("Classes.0.LateValue", 1.0);
    let mut desk = Desk::new(&[MANY[0], MANY[1], ("Deductions.Probe", 1.0), late], 12);
    (desk.told, desk.field) = (vec![0.2; 12], "load_share");
    desk.pass(1000.0);
    let stuck = desk.take(LOOKUP, 11, None);
    desk.pass(4050.0);
    desk.settle(stuck, 0, DispatchStatus::Cancelled, 4000.0);
    let jam = desk.sent[0].1;
    let mut there = Vec::new();
    for job in 0..40 {
        let id = desk.take(LOOKUP, 11, None);
        desk.pass(100.0);
        desk.settle(id, 0, DispatchStatus::Completed, 100.0);
        desk.take(LOOKUP, 100 + job, None);
        desk.pass(900.0);
        desk.settle(id + 1, 0, DispatchStatus::Completed, 100.0);
        there.extend(desk.sent.iter().skip(1 + there.len()).map(|(_, to)| *to == jam));
    }
    let there: Vec<usize> =
        there.chunks(20).map(|sent| sent.iter().filter(|there| **there).count()).collect();
    expect!["[0, 0, 0, 0]"].assert_eq(&format!("{there:?}"));
}

/// A job past its SLA time on an engine that is past its knee keeps the jam going for little.
#[test]
fn a_late_job_in_a_jam_is_given_up() {
    let mut lines = String::new();
    for share in [0.0, 0.9] {
        let mut desk = Desk::new(&[("Classes.0.LateValue", 0.5)], 1);
        for group in 0..40 {
            let job = desk.take(LOOKUP, group, None);
            desk.pass(100.0);
            desk.settle(job, 0, DispatchStatus::Completed, 100.0);
        }
        let jobs: Vec<u32> = (0..6).map(|group| desk.take(LOOKUP, group, None)).collect();
        desk.pass(700.0);
        jobs.iter().for_each(|job| desk.note_on(*job, 0, ProgressUpdate::CompletedFraction(share)));
        desk.pass(1800.0);
        let given_up = jobs.iter().filter(|job| desk.trace.contains(&format!("throttle {job}"))).count();
        lines += &format!("{share} done: {given_up} of {} given up\n", jobs.len());
    }
    expect![[r#"
        0 done: 6 of 6 given up
        0.9 done: 0 of 6 given up
    "#]]
    .assert_eq(&lines);
}

/// One probe that takes long may be a hiccup. Where an engine's probes keep to their time, one that takes four times as
/// long as the others' is past full, however little use it tells: once that is known it gets nothing.
#[test]
fn a_probe_that_takes_long_shows_an_engine_past_full() {
    let mut sent = Vec::new();
    for slow in [1.0, 4.0] {
        let mut desk = Desk::new(&[MANY[0], MANY[1], ("Deductions.Probe", 0.01)], 4);
        (desk.told, desk.probe_ms, desk.field) = (vec![0.2; 4], vec![slow, 1.0, 1.0, 1.0], "load_share");
        desk.pass(1000.0);
        let mut by_time = vec![0; 4];
        for job in 0..80 {
            let before = desk.sent.len();
            let id = desk.take(LOOKUP, job % 20, None);
            desk.pass(100.0);
            let to_slow = desk.sent[before..].iter().filter(|(_, engine)| *engine == 0).count();
            if desk.sent.len() > before {
                desk.settle(id, 0, DispatchStatus::Completed, 100.0);
            }
            by_time[job as usize / 20] += to_slow;
        }
        sent.push(by_time);
    }
    expect!["[[9, 8, 9, 7], [9, 0, 0, 0]]"].assert_eq(&format!("{sent:?}"));
}

/// On a fast network a probe takes next to nothing, and a hiccup of some milliseconds is many times that. It is no sign
/// of load where jobs may take a hundred times as long: an idle pool turns no job away.
#[test]
fn a_hiccup_of_a_fast_probe_is_no_load() {
    let mut desk = Desk::new(
        &[
            ("Balancers", 20.0),
            ("Ceilings.Probes", 1.0),
            ("Deductions.Probe", 0.01),
            ("Classes.0.Aim", 300.0),
        ],
        40,
    );
    (desk.told, desk.field, desk.cost) = (vec![0.02; 40], "load_share", Some(20.0));
    let mut chance = 0x2545_f491_4f6c_dd1d_u64;
    let mut answered = 0;
    for job in 0..200 {
        desk.probe_ms = (0..40)
            .map(|_| {
                chance = chance.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                0.1 + 4.9 * (chance >> 40) as f64 / (1u64 << 24) as f64
            })
            .collect();
        let before = desk.sent.len();
        let id = desk.take(LOOKUP, job % 17, None);
        desk.pass(150.0);
        if desk.sent.len() > before {
            desk.settle(id, 0, DispatchStatus::Completed, 25.0);
            answered += 1;
        }
        desk.pass(50.0);
    }
    let throttled = desk.trace.matches("throttle ").count();
    expect!["200 done, 0 throttled"].assert_eq(&format!("{answered} done, {throttled} throttled"));
}

#[test]
fn loads_of_many_gateways_do_not_all_go_to_one_engine() {
    let mut at = [0; 8];
    for ordinal in 0..40 {
        let mut desk = Desk::new(&[MANY[0], MANY[1], ("Ordinal", f64::from(ordinal))], 8);
        desk.told = vec![0.0; 8];
        desk.take(LOAD, 11, None);
        at[desk.sent[0].1 as usize] += 1;
    }
    expect!["[3, 4, 6, 6, 6, 10, 5, 0]"].assert_eq(&format!("{at:?}"));
}

/// A job that is more than a gateway's part of any engine can't be levelled by its own figures: all gateways' first
/// ones of a hot table group would go to the same two engines.
#[test]
fn large_jobs_of_many_gateways_begin_their_walk_anywhere() {
    let mut lines = String::new();
    for cost in [50.0, 3000.0] {
        let mut at = [0; 8];
        for ordinal in 0..40 {
            let dear = [MANY[0], MANY[1], ("Deductions.Probe", 1.0), ("Ordinal", f64::from(ordinal))];
            let mut desk = Desk::new(&dear, 8);
            for group in 0..30 {
                desk.cost = Some(if group == 29 { cost } else { 400.0 });
                let job = desk.take(LOOKUP, if group == 29 { 11 } else { 100 + group }, None);
                desk.pass(100.0);
                desk.settle(job, 0, DispatchStatus::Completed, 100.0);
            }
            at[desk.sent[29].1 as usize] += 1;
        }
        lines += &format!("{cost} ms: {at:?}\n");
    }
    expect![[r#"
        50 ms: [0, 16, 0, 0, 0, 0, 0, 24]
        3000 ms: [2, 3, 1, 11, 4, 12, 1, 6]
    "#]]
    .assert_eq(&lines);
}

#[test]
fn all_gateways_together_keep_a_cold_engines_budget() {
    let mut lines = String::new();
    for gateways in [1, 5, 30, 300] {
        let mut sent = Vec::new();
        for ordinal in 0..gateways {
            let cold = [
                ("Contract.FallMultiple", 2.0),
                ("Contract.OverloadFor", 500.0),
                ("Contract.StartCapacity", 0.3),
                ("Contract.WarmAfter", 10000.0),
                ("Balancers", f64::from(gateways)),
                ("Ordinal", f64::from(ordinal)),
                ("Ceilings.Probes", 1.0),
            ];
            let mut desk = Desk::new(&cold, 0);
            desk.told = vec![0.0; 2];
            desk.pass(1000.0 + f64::from(ordinal % 7));
            desk.list(false, vec![engine(0, LifecycleState::Running, Some(900.0))]);
            for _ in 0..40 {
                desk.take(LOOKUP, 11, None);
                desk.pass(100.0);
            }
            sent.extend(desk.sent.iter().map(|(when, _)| *when));
        }
        sent.sort_by(f64::total_cmp);
        let work = |from: f64| {
            100.0 * sent.iter().filter(|when| (from..from + 500.0).contains(*when)).count() as f64
        };
        let share = |from: f64| work(from) / (2.0 * (0.3 + 0.7 * (from - 900.0) / 10000.0) * 8.0 * 500.0);
        let most = sent.iter().map(|from| share(*from)).fold(0.0, f64::max);
        lines += &format!("{gateways} gateways: {} jobs, at most {most:.2} of the budget\n", sent.len());
    }
    expect![[r#"
        1 gateways: 16 jobs, at most 0.20 of the budget
        5 gateways: 80 jobs, at most 0.61 of the budget
        30 gateways: 75 jobs, at most 0.44 of the budget
        300 gateways: 75 jobs, at most 0.61 of the budget
    "#]]
    .assert_eq(&lines);
}

/// The same as an engine sees it: a ledger of all that 20, 30 and 300 gateways send it, which start at different moments,
/// hear of it late, have uneven traffic and clocks that differ. In no window does it get more than its budget of N jobs
/// and what chance may add, 2√N + 2.
#[test]
fn a_cold_engines_ledger_keeps_to_its_budget() {
    let mut lines = String::new();
    for gateways in [20, 30, 300] {
        let mut ledger: Vec<f64> = Vec::new();
        for ordinal in 0..gateways {
            let cold = [
                ("Contract.FallMultiple", 2.0),
                ("Contract.OverloadFor", 1000.0),
                ("Contract.StartCapacity", 0.4),
                ("Contract.WarmAfter", 12000.0),
                ("Balancers", f64::from(gateways)),
                ("Ordinal", f64::from(ordinal)),
                MANY[1],
                ("Deductions.Probe", 1.0),
            ];
            let mut desk = Desk::new(&cold, 0);
            (desk.told, desk.field) = (vec![0.1; 2], "load_share");
            // Its clock is wrong by up to 60 ms; some started long before the engine, some with it.
            let skew = f64::from(ordinal * 37 % 13 - 6) * 10.0;
            desk.pass(5000.0 + skew - if ordinal % 5 == 0 { 4500.0 } else { 0.0 });
            desk.now = 5000.0 + skew;
            desk.pass(f64::from(ordinal * 53 % 17) * 100.0);
            desk.list(false, vec![engine(0, LifecycleState::Running, Some(4900.0))]);
            let pace = if ordinal % 7 == 0 { 20.0 } else { 200.0 };
            while desk.now < 17000.0 {
                let before = desk.sent.len();
                let id = desk.take(LOOKUP, 11, None);
                desk.pass(pace);
                if desk.sent.len() > before {
                    desk.settle(id, 0, DispatchStatus::Completed, 20.0);
                }
            }
            ledger.extend(desk.sent.iter().map(|(when, _)| when - skew));
        }
        ledger.sort_by(f64::total_cmp);
        // The budget of a window that ends at some time, by the engine's own clock.
        let budget =
            |ends: f64| 2.0 * (0.4 + 0.6 * ((ends - 4900.0) / 12000.0).min(1.0)) * 8.0 * 1000.0 / 100.0;
        let over = |from: f64| {
            let count = ledger.iter().filter(|when| (from..from + 1000.0).contains(*when)).count() as f64;
            let most = budget(from);
            (count - most - 2.0 * most.sqrt() - 2.0, count / most)
        };
        let cold: Vec<f64> = ledger.iter().copied().filter(|when| *when < 15900.0).collect();
        let worst = cold.iter().map(|from| over(*from).0).fold(f64::NEG_INFINITY, f64::max);
        let fullest = cold.iter().map(|from| over(*from).1).fold(0.0, f64::max);
        let used = cold.len() as f64
            / (0..11).map(|second| budget(5400.0 + 1000.0 * f64::from(second))).sum::<f64>();
        assert!(worst <= 0.0, "{gateways} gateways: {worst} jobs past the bound");
        lines += &format!("{gateways} gateways: {fullest:.2} of the budget at most, {used:.2} used\n");
    }
    expect![[r#"
        20 gateways: 0.51 of the budget at most, 0.25 used
        30 gateways: 0.51 of the budget at most, 0.28 used
        300 gateways: 0.56 of the budget at most, 0.32 used
    "#]]
    .assert_eq(&lines);
}

/// A turn for the heaviest type is worth little where each gateway has few jobs: one that holds it may have none.
/// Every type finds its turns all the same.
#[test]
fn a_fleet_of_gateways_with_few_jobs_uses_a_cold_engine() {
    let mut sent = [0, 0];
    for ordinal in 0..300 {
        let cold = [
            ("Contract.FallMultiple", 2.0),
            ("Contract.OverloadFor", 1000.0),
            ("Contract.StartCapacity", 0.4),
            ("Contract.WarmAfter", 40000.0),
            ("Extra.ClassThreads.5", 4.0),
            ("Classes.5.Aim", 2500.0),
            MANY[1],
            ("Balancers", 300.0),
            ("Ordinal", f64::from(ordinal)),
        ];
        let mut desk = Desk::new(&cold, 0);
        desk.told = vec![0.0; 2];
        desk.pass(3000.0 + f64::from(ordinal % 7));
        desk.list(false, vec![engine(0, LifecycleState::Running, Some(2900.0))]);
        // All of them while it is cold.
        for job in 0..39 {
            let heavy = (job + ordinal) % 2 == 0;
            desk.cost = Some(if heavy { 4000.0 } else { 400.0 });
            let before = desk.sent.len();
            desk.take(if heavy { LOAD } else { LOOKUP }, 11, None);
            desk.pass(1000.0);
            sent[usize::from(heavy)] += desk.sent.len() - before;
        }
    }
    expect!["60 small, 8 heavy"].assert_eq(&format!("{} small, {} heavy", sent[0], sent[1]));
}

/// An equal share of a cold engine's budget is less than a job wherever gateways are many, also where probes aren't
/// allowed or reports don't tell of load: they take turns there, too, or a release leaves all new engines idle.
#[test]
fn a_cold_engine_is_used_where_nothing_tells_loads() {
    let mut lines = String::new();
    for (case, more) in
        [("no probes", ("Ceilings.Probes", 0.0)), ("no load in reports", ("Report.Names.0", 0.0))]
    {
        let mut ledger: Vec<f64> = Vec::new();
        for ordinal in 0..300 {
            let cold = [
                ("Contract.FallMultiple", 2.0),
                ("Contract.OverloadFor", 1000.0),
                ("Contract.StartCapacity", 0.4),
                ("Contract.WarmAfter", 20000.0),
                ("Ceilings.Probes", 1.0),
                ("Balancers", 300.0),
                ("Ordinal", f64::from(ordinal)),
                more,
            ];
            let mut desk = Desk::new(&cold, 0);
            desk.pass(3000.0 + f64::from(ordinal % 7));
            desk.list(false, vec![engine(0, LifecycleState::Running, Some(2900.0))]);
            desk.cost = Some(400.0);
            for _ in 0..20 {
                let (before, id) = (desk.sent.len(), desk.take(LOOKUP, 11, None));
                desk.pass(500.0);
                if desk.sent.len() > before {
                    desk.settle(id, 0, DispatchStatus::Completed, 450.0);
                }
                desk.pass(500.0);
            }
            ledger.extend(desk.sent.iter().map(|(when, _)| when));
        }
        let budget: f64 = 2.0 * 0.4 * 8.0 * 1000.0 / 400.0;
        let within = |from: &f64| ledger.iter().filter(|when| (*from..from + 1000.0).contains(*when)).count();
        let fullest = ledger.iter().map(within).max().unwrap_or(0);
        assert!(fullest as f64 <= budget + 2.0 * budget.sqrt() + 2.0, "{case}: {fullest} jobs in a window");
        lines +=
            &format!("{case}: {} jobs, {fullest} in a window, budget {budget} at the start\n", ledger.len());
    }
    expect![[r#"
        no probes: 108 jobs, 12 in a window, budget 16 at the start
        no load in reports: 108 jobs, 12 in a window, budget 16 at the start
    "#]]
    .assert_eq(&lines);
}

/// Without load reports, too, a gateway puts the cold engine first on its turn, and sends there past its own share of it.
#[test]
fn a_turn_without_load_reports_comes_first_and_passes_the_share() {
    let mut lines = String::new();
    for (jam, took) in [(false, 100.0), (true, 100.0), (true, 600.0)] {
        let cold = [
            ("Contract.FallMultiple", 2.0),
            ("Contract.OverloadFor", 2000.0),
            ("Contract.StartCapacity", 0.4),
            ("Contract.WarmAfter", 20000.0),
            ("Balancers", 20.0),
        ];
        let mut desk = Desk::new(&cold, 4);
        desk.bill = Some(100.0);
        for group in 0..30 {
            let id = desk.take(LOOKUP, group, None);
            desk.pass(100.0);
            desk.settle(id, 0, DispatchStatus::Completed, took);
        }
        desk.list(false, vec![engine(8, LifecycleState::Running, Some(desk.now - 100.0))]);
        desk.sent.clear();
        for group in 0..100 {
            let (before, id) = (desk.sent.len(), desk.take(LOOKUP, group, None));
            desk.pass(100.0);
            if !jam && desk.sent.len() > before {
                desk.settle(id, 0, DispatchStatus::Completed, 100.0);
            }
        }
        let sent = |cold| desk.sent.iter().filter(|(_, to)| (*to == 8) == cold).count();
        lines +=
            &format!("jam {jam}, {took} ms: {} to the cold engine, {} to others\n", sent(true), sent(false));
    }
    expect![[r#"
        jam false, 100 ms: 5 to the cold engine, 95 to others
        jam true, 100 ms: 14 to the cold engine, 13 to others
        jam true, 600 ms: 14 to the cold engine, 4 to others
    "#]]
    .assert_eq(&lines);
}

/// What a jam holds of a gateway's jobs is no reason to leave a cold engine idle: on its turn there the cold budget
/// alone says how much it may send.
#[test]
fn a_jam_does_not_hold_jobs_from_a_turn_at_a_cold_engine() {
    let cold = [
        ("Contract.FallMultiple", 2.0),
        ("Contract.OverloadFor", 2000.0),
        ("Contract.StartCapacity", 0.4),
        ("Contract.WarmAfter", 20000.0),
        ("Balancers", 20.0),
        MANY[1],
        ("Deductions.Probe", 1.0),
    ];
    let mut desk = Desk::new(&cold, 4);
    (desk.told, desk.field) = (vec![0.2; 9], "load_share");
    for group in 0..60 {
        desk.take(LOOKUP, group, None);
        desk.pass(100.0);
    }
    desk.list(false, vec![engine(8, LifecycleState::Running, Some(desk.now - 100.0))]);
    for group in 0..100 {
        desk.take(LOOKUP, group, None);
        desk.pass(100.0);
    }
    let sent = |cold| desk.sent.iter().filter(|(when, to)| *when >= 6000.0 && (*to == 8) == cold).count();
    expect!["[0, 5]"].assert_eq(&format!("{:?}", [sent(false), sent(true)]));
}

#[test]
fn an_engine_that_emptied_unseen_is_presumed_cold() {
    let cold = [
        ("Contract.FallMultiple", 2.0),
        ("Contract.OverloadFor", 500.0),
        ("Contract.StartCapacity", 0.3),
        ("Contract.WarmAfter", 10000.0),
        MANY[0],
        MANY[1],
    ];
    let mut sent = Vec::new();
    for before in [2.0, 9.0] {
        let mut desk = Desk::new(&cold, 2);
        desk.told = vec![40.0, before];
        desk.pass(1000.0);
        desk.take(LOOKUP, 11, None);
        desk.pass(1000.0);
        desk.told = vec![40.0, 0.0];
        desk.sent.clear();
        for _ in 0..40 {
            desk.take(LOOKUP, 11, None);
            desk.pass(50.0);
        }
        sent.push(desk.sent.len());
    }
    expect!["[15, 0]"].assert_eq(&format!("{sent:?}"));
}

/// Readers behind a load used up all their tries where loads held the tables everywhere, and then stood on
/// engines until their clients left: recalled only while an engine is not known to be held.
#[test]
fn no_recall_from_behind_a_load_to_where_loads_are() {
    let mut desk = Desk::new(&[("Extra.Progress", 1000.0)], 2);
    let first = desk.take(LOOKUP, 11, None);
    desk.note_on(first, 0, ProgressUpdate::WaitingForBulkLoad);
    desk.settle(first, 0, DispatchStatus::Cancelled, 1.0);
    desk.note_on(first, 1, ProgressUpdate::WaitingForBulkLoad);
    desk.pass(100.0);
    // It waited there and is done: the tables are free on that engine.
    desk.settle(first, 1, DispatchStatus::Completed, 100.0);
    let second = desk.take(LOOKUP, 11, None);
    desk.settle(second, 0, DispatchStatus::Completed, 50.0);
    same(
        desk,
        expect![[r#"
        0     list [0 Running, 1 Running]:
        0     take 0: send 0 to 0
        0     WaitingForBulkLoad 0.0: recall 0.0
        0     Cancelled 0.0: send 0 to 1
        0     WaitingForBulkLoad 0.1:
        100   Completed 0.1:
        100   take 1: send 1 to 1
        100   Completed 1.0:
    "#]],
    );
}

/// Before a planned stop each job gets its answer; what can't be done in time is given up at once.
#[test]
fn a_planned_stop_answers_every_job() {
    let mut desk = Desk::new(&[], 1);
    desk.take(LOOKUP, 11, None);
    desk.take(POST, 12, None);
    desk.stop(300.0);
    desk.take(LOOKUP, 13, None);
    desk.pass(250.0);
    desk.take(LOOKUP, 14, None);
    desk.pass(50.0);
    same(
        desk,
        expect![[r#"
        0     list [0 Running]:
        0     take 0: send 0 to 0
        0     take 1: send 1 to 0
        0     stopping:
        0     take 2: send 2 to 0
        250   take 3: throttle 3
        290   : recall 0.0, recall 1.0, recall 2.0, throttle 0, cancel 1, throttle 2
    "#]],
    );
}

/// Loads of one hot group took every engine, so that its readers found all of them held: they leave the first
/// engine of their readers free and stand behind each other.
#[test]
fn loads_leave_their_readers_an_engine() {
    let mut desk = Desk::new(&[], 4);
    for _ in 0..5 {
        desk.take(LOAD, 11, None);
    }
    for _ in 0..4 {
        desk.take(LOOKUP, 11, None);
    }
    same(
        desk,
        expect![[r#"
        0     list [0 Running, 1 Running, 2 Running, 3 Running]:
        0     take 0: send 0 to 2
        0     take 1: send 1 to 0
        0     take 2: send 2 to 3
        0     take 3: send 3 to 0
        0     take 4: send 4 to 2
        0     take 5: send 5 to 1
        0     take 6: send 6 to 1
        0     take 7: send 7 to 1
        0     take 8: send 8 to 1
    "#]],
    );
}

/// Held jobs that no room would help, since their key's turn is another's, are no line that holds all others.
#[test]
fn a_job_that_waits_for_its_turn_is_no_line_for_room() {
    let mut desk = Desk::new(&[("Classes.3.Aim", 60000.0)], 2);
    (desk.left, desk.cost) = (60000.0, Some(30000.0));
    desk.take(ORDERED, 11, Some(5));
    (desk.cost, desk.bill) = (Some(100.0), Some(100.0));
    desk.take(ORDERED, 11, Some(5));
    // A jam, and then calm for long enough that it says nothing any more.
    for group in 0..20 {
        let job = desk.take(LOOKUP, group, None);
        desk.settle(job, 0, DispatchStatus::Completed, 600.0);
    }
    desk.pass(15000.0);
    let before = desk.trace.matches("send").count();
    (0..36).for_each(|group| assert!(desk.take(LOOKUP, group, None) > 0));
    let sent = desk.trace.matches("send").count() - before;
    expect!["sent 31"].assert_eq(&format!("sent {sent}"));
}

/// Engines, table groups and keys may be ever new: what can't matter any more is forgotten, what is open is not.
#[test]
fn nothing_grows_with_what_is_ever_new() {
    let mut desk = Desk::new(&[("Contract.OrderPause", 300.0)], 2);
    let (mut trace, mut open) = (String::new(), vec![]);
    for round in 0..6 {
        let old = (0..10).map(|i| engine(10 * round + i, LifecycleState::Gone, None));
        let new = (0..10).map(|i| engine(10 * round + 10 + i, LifecycleState::Running, None));
        desk.list(true, old.chain(new).collect());
        for i in 0..100 {
            let ordered = desk.take(ORDERED, u64::from(1000 * round + i), Some(u64::from(1000 * round + i)));
            desk.settle(ordered, 0, DispatchStatus::Completed, 10.0);
        }
        open.push(desk.take(LOOKUP, 1, None));
        desk.pass(61_000.0);
        let kept = desk.logic.retained_entries();
        if open.len() > 1 {
            desk.settle(open.remove(0), 0, DispatchStatus::TimedOut, 61_000.0);
        }
        desk.pass(300.0);
        writeln!(trace, "{kept} kept with {} jobs out, then {}", open.len(), desk.logic.retained_entries())
            .unwrap();
    }
    expect![[r#"
        11 kept with 1 jobs out, then 11
        13 kept with 1 jobs out, then 11
        13 kept with 1 jobs out, then 11
        13 kept with 1 jobs out, then 11
        13 kept with 1 jobs out, then 11
        13 kept with 1 jobs out, then 11
    "#]]
    .assert_eq(&trace);
}

/// Estimates may be hostile. One of more work than any client waits for is given up, and later jobs are judged as if it
/// had not come; one that claims a day to wait, too.
#[test]
fn a_monstrous_estimate_teaches_nothing() {
    let mut desk = Desk::new(&[("Classes.0.GiveUp", 4000.0), ("Classes.0.AimStretch", 10.0)], 2);
    for cost in [Some(100.0), Some(9e10), None, Some(5e7), None] {
        desk.cost = cost;
        desk.left = if cost == Some(5e7) { 8.64e7 } else { 4000.0 };
        let job = desk.take(LOOKUP, 1, None);
        desk.pass(50.0);
        desk.settle(job, 0, DispatchStatus::Completed, 50.0);
    }
    // Nor is one kept for longer than the settings say that clients wait.
    desk.list(true, vec![]);
    (desk.cost, desk.left) = (Some(3000.0), 8.64e7);
    desk.take(LOOKUP, 1, None);
    desk.pass(5000.0);
    same(
        desk,
        expect![[r#"
            0     list [0 Running, 1 Running]:
            0     take 0: send 0 to 0
            50    Completed 0.0:
            50    take 1: throttle 1
            100   Completed 1.0:
            100   take 2: send 2 to 1
            150   Completed 2.0:
            150   take 3: throttle 3
            200   Completed 3.0:
            200   take 4: send 4 to 1
            250   Completed 4.0:
            250   list []:
            250   take 5:
            4240  : throttle 5
        "#]],
    );
}

/// Nor is more memory believed than any running engine has: such a job does not fill its engine for the others.
#[test]
fn memory_past_any_engine_is_not_believed() {
    let mut desk = Desk::new(&[("Extra.RamOfKindMb.0", 1000.0)], 1);
    desk.memory = 1e9;
    desk.take(LOOKUP, 1, None);
    desk.memory = 200.0;
    desk.take(LOOKUP, 1, None);
    same(
        desk,
        expect![[r#"
        0     list [0 Running]:
        0     take 0: send 0 to 0
        0     take 1: send 1 to 0
    "#]],
    );
}
