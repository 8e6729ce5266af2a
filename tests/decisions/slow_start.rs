//! Rule 4: all gateways together send no more work to a warming engine than slow start allows. The tests also check
//! that they use a sufficient part of it.

use crate::builder::SlowStart;
use crate::harness::{ControllerHarness, LoadReports, running_since};
use crate::jobs::{BULK_LOAD, bulk_load, lookup};
use expect_test::expect;
use std::fmt::Write as _;

/// Guards against sending all waiting jobs to an engine that has just started. This gateway's share of the budget is
/// 720 ms of work in the first window, 7 jobs; the others wait for the next window.
#[test]
fn a_gateway_sends_no_more_than_its_share_of_the_budget_to_a_warming_engine() {
    let mut harness = ControllerHarness::builder()
        .slow_start(&SlowStart {
            initial_capacity_fraction: 0.3,
            warm_up_ms: 10000.0,
            warm_up_window_ms: 500.0,
        })
        .build();

    harness.jump_to(1000.0);
    harness.update_endpoints(vec![running_since(0, 1000.0)]);
    for _ in 0..12 {
        harness.submit(lookup(11));
    }
    harness.advance(600.0);

    harness.expect_trace(&expect![[r"
            0     endpoints []:
            1000  endpoints [0 Running]:
            1000  submit 0: dispatch 0 to 0
            1000  submit 1: dispatch 1 to 0
            1000  submit 2: dispatch 2 to 0
            1000  submit 3: dispatch 3 to 0
            1000  submit 4: dispatch 4 to 0
            1000  submit 5: dispatch 5 to 0
            1000  submit 6: dispatch 6 to 0
            1000  submit 7:
            1000  submit 8:
            1000  submit 9:
            1000  submit 10:
            1000  submit 11:
            1505  : dispatch 7 to 0, dispatch 8 to 0, dispatch 9 to 0, dispatch 10 to 0, dispatch 11 to 0
        "]]);
}

/// Guards against gateways that keep their own limits but together exceed the budget of a warming engine. With 1 or 5
/// gateways each has an equal share; with 30 or 300 they use slow-start slots.
#[test]
fn all_gateways_together_stay_within_the_slow_start_budget() {
    let mut lines = String::new();
    for gateways in [1, 5, 30, 300] {
        let mut sent = Vec::new();
        for ordinal in 0..gateways {
            let mut harness = ControllerHarness::builder()
                .slow_start(&SlowStart {
                    initial_capacity_fraction: 0.3,
                    warm_up_ms: 10000.0,
                    warm_up_window_ms: 500.0,
                })
                .gateways(gateways)
                .gateway_ordinal(ordinal)
                .health_checks(true)
                .reported_jobs_in_flight(0.0, 2)
                .build();
            harness.advance(1000.0 + f64::from(ordinal % 7));
            harness.update_endpoints(vec![running_since(0, 900.0)]);
            for _ in 0..40 {
                harness.submit(lookup(11));
                harness.advance(100.0);
            }
            sent.extend(harness.dispatches.iter().map(|sent| sent.at_ms));
        }
        sent.sort_by(f64::total_cmp);
        // Work in the window that begins at a dispatch, and its share of the budget.
        let work = |from: f64| {
            100.0 * sent.iter().filter(|when| (from..from + 500.0).contains(*when)).count() as f64
        };
        let share = |from: f64| work(from) / (2.0 * (0.3 + 0.7 * (from - 900.0) / 10000.0) * 8.0 * 500.0);
        let max_share = sent.iter().map(|from| share(*from)).fold(0.0, f64::max);
        writeln!(lines, "{gateways} gateways: {} jobs, at most {max_share:.2} of the budget", sent.len())
            .unwrap();
    }

    expect![[r"
        1 gateways: 16 jobs, at most 0.20 of the budget
        5 gateways: 80 jobs, at most 0.61 of the budget
        30 gateways: 75 jobs, at most 0.44 of the budget
        300 gateways: 75 jobs, at most 0.61 of the budget
    "]]
    .assert_eq(&lines);
}

/// Guards against exceeding the budget as the engine measures it: 20, 30 and 300 gateways learn of the engine
/// at different times, have uneven traffic and clocks that differ, so that their windows and slots do not coincide. In
/// no window may the engine get more than the N jobs of its budget plus 2√N + 2 for random variation.
#[test]
fn a_warming_engine_sees_no_window_over_its_budget() {
    let mut lines = String::new();
    for gateways in [20, 30, 300] {
        let mut dispatch_times: Vec<f64> = Vec::new();
        for ordinal in 0..gateways {
            let mut harness = ControllerHarness::builder()
                .slow_start(&SlowStart {
                    initial_capacity_fraction: 0.4,
                    warm_up_ms: 12000.0,
                    warm_up_window_ms: 1000.0,
                })
                .gateways(gateways)
                .gateway_ordinal(ordinal)
                .health_checks(true)
                .health_check_price(1.0)
                .reported_utilization(0.1, 2)
                .build();
            // The clock is wrong by up to 60 ms. Every fifth gateway gets no processor time for the last 4.5 s.
            let skew = (f64::from(ordinal * 37 % 13) - 6.0) * 10.0;
            harness.advance(5000.0 + skew - if ordinal % 5 == 0 { 4500.0 } else { 0.0 });
            harness.jump_to(5000.0 + skew);
            harness.advance(f64::from(ordinal * 53 % 17) * 100.0);
            harness.update_endpoints(vec![running_since(0, 4900.0)]);
            let interval = if ordinal % 7 == 0 { 20.0 } else { 200.0 };
            while harness.now_ms() < 17000.0 {
                let before = harness.dispatches.len();
                let id = harness.submit(lookup(11));
                harness.advance(interval);
                if harness.dispatches.len() > before {
                    harness.complete(id, 20.0);
                }
            }
            dispatch_times.extend(harness.dispatches.iter().map(|sent| sent.at_ms - skew));
        }
        dispatch_times.sort_by(f64::total_cmp);
        // Jobs that the budget of a window allows, by the engine's capacity at a time of its own clock.
        let budget = |at: f64| 2.0 * (0.4 + 0.6 * ((at - 4900.0) / 12000.0).min(1.0)) * 8.0 * 1000.0 / 100.0;
        // Jobs beyond the bound in the window that begins at a dispatch, and the used fraction of the budget.
        let excess_and_use = |from: f64| {
            let count =
                dispatch_times.iter().filter(|when| (from..from + 1000.0).contains(*when)).count() as f64;
            let allowed = budget(from);
            (count - allowed - 2.0 * allowed.sqrt() - 2.0, count / allowed)
        };
        let warming: Vec<f64> = dispatch_times.iter().copied().filter(|when| *when < 15900.0).collect();
        let worst = warming.iter().map(|from| excess_and_use(*from).0).fold(f64::NEG_INFINITY, f64::max);
        let fullest = warming.iter().map(|from| excess_and_use(*from).1).fold(0.0, f64::max);
        let used = warming.len() as f64
            / (0..11).map(|second| budget(5400.0 + 1000.0 * f64::from(second))).sum::<f64>();
        assert!(worst <= 0.0, "{gateways} gateways: {worst} jobs past the bound");
        writeln!(lines, "{gateways} gateways: {fullest:.2} of the budget at most, {used:.2} used").unwrap();
    }

    expect![[r"
        20 gateways: 0.51 of the budget at most, 0.25 used
        30 gateways: 0.51 of the budget at most, 0.28 used
        300 gateways: 0.56 of the budget at most, 0.32 used
    "]]
    .assert_eq(&lines);
}

/// Guards against a warming engine that stays nearly idle: with few jobs per gateway, a holder of a slot that is sized
/// for the class with the largest jobs often has no such job. Jobs of every class have to be sent all the same.
#[test]
fn a_large_gateway_fleet_with_few_jobs_each_uses_a_warming_engine() {
    let mut sent = [0, 0];
    for ordinal in 0..300 {
        let mut harness = ControllerHarness::builder()
            .slow_start(&SlowStart {
                initial_capacity_fraction: 0.4,
                warm_up_ms: 40000.0,
                warm_up_window_ms: 1000.0,
            })
            .threads_per_job(BULK_LOAD, 4.0)
            .latency_objective_ms(BULK_LOAD, 2500.0)
            .health_checks(true)
            .gateways(300)
            .gateway_ordinal(ordinal)
            .reported_jobs_in_flight(0.0, 2)
            .build();
        harness.advance(3000.0 + f64::from(ordinal % 7));
        harness.update_endpoints(vec![running_since(0, 2900.0)]);
        // The engine is warming up during all of these jobs.
        for job in 0..39 {
            let large = (job + ordinal) % 2 == 0;
            let spec = if large { bulk_load(11).cost_ms(4000.0) } else { lookup(11).cost_ms(400.0) };
            let before = harness.dispatches.len();
            harness.submit(spec);
            harness.advance(1000.0);
            sent[usize::from(large)] += harness.dispatches.len() - before;
        }
    }

    expect!["60 small, 8 large"].assert_eq(&format!("{} small, {} large", sent[0], sent[1]));
}

/// Guards against a release that leaves all new engines idle: with many gateways, an equal share of a warming engine's
/// budget is less than one job. So gateways use slots, also if health checks are not permitted or load reports lack the
/// load of all gateways.
#[test]
fn a_warming_engine_is_used_without_load_reports() {
    let mut lines = String::new();
    for case in ["no health checks", "no load in reports"] {
        let mut dispatch_times: Vec<f64> = Vec::new();
        for ordinal in 0..300 {
            let fleet = ControllerHarness::builder()
                .slow_start(&SlowStart {
                    initial_capacity_fraction: 0.4,
                    warm_up_ms: 20000.0,
                    warm_up_window_ms: 1000.0,
                })
                .gateways(300)
                .gateway_ordinal(ordinal);
            let mut harness = match case {
                "no health checks" => fleet.health_checks(false).build(),
                _ => fleet.health_checks(true).without_load_in_reports().build(),
            };
            harness.advance(3000.0 + f64::from(ordinal % 7));
            harness.update_endpoints(vec![running_since(0, 2900.0)]);
            for _ in 0..20 {
                let before = harness.dispatches.len();
                let id = harness.submit(lookup(11).cost_ms(400.0));
                harness.advance(500.0);
                if harness.dispatches.len() > before {
                    harness.complete(id, 450.0);
                }
                harness.advance(500.0);
            }
            dispatch_times.extend(harness.dispatches.iter().map(|sent| sent.at_ms));
        }
        let budget: f64 = 2.0 * 0.4 * 8.0 * 1000.0 / 400.0;
        let within =
            |from: &f64| dispatch_times.iter().filter(|when| (*from..from + 1000.0).contains(*when)).count();
        let fullest = dispatch_times.iter().map(within).max().unwrap_or(0);
        assert!(fullest as f64 <= budget + 2.0 * budget.sqrt() + 2.0, "{case}: {fullest} jobs in a window");
        writeln!(
            lines,
            "{case}: {} jobs, {fullest} in a window, budget {budget} at the start",
            dispatch_times.len()
        )
        .unwrap();
    }

    expect![[r"
        no health checks: 108 jobs, 12 in a window, budget 16 at the start
        no load in reports: 108 jobs, 12 in a window, budget 16 at the start
    "]]
    .assert_eq(&lines);
}

/// Guards against unused slow-start slots: a holder has to prefer the warming engine, as only holders may
/// send there, and may send it more than its equal share of the engine.
#[test]
fn without_load_reports_a_slot_holder_prefers_the_warming_engine_and_exceeds_its_equal_share() {
    let mut lines = String::new();
    for (overloaded, duration) in [(false, 100.0), (true, 100.0), (true, 600.0)] {
        let mut harness = ControllerHarness::builder()
            .engines(4)
            .slow_start(&SlowStart {
                initial_capacity_fraction: 0.4,
                warm_up_ms: 20000.0,
                warm_up_window_ms: 2000.0,
            })
            .gateways(20)
            .actual_work_ms(100.0)
            .build();
        for group in 0..30 {
            let id = harness.submit(lookup(group));
            harness.advance(100.0);
            harness.complete(id, duration);
        }
        harness.update_endpoints(vec![running_since(8, harness.now_ms() - 100.0)]);
        harness.dispatches.clear();
        for group in 0..100 {
            let before = harness.dispatches.len();
            let id = harness.submit(lookup(group));
            harness.advance(100.0);
            // During the overload no job completes.
            if !overloaded && harness.dispatches.len() > before {
                harness.complete(id, 100.0);
            }
        }
        let sent = |warming| harness.dispatches.iter().filter(|sent| (sent.engine == 8) == warming).count();
        writeln!(
            lines,
            "overloaded {overloaded}, {duration} ms: {} to the warming engine, {} to others",
            sent(true),
            sent(false)
        )
        .unwrap();
    }

    expect![[r"
        overloaded false, 100 ms: 5 to the warming engine, 95 to others
        overloaded true, 100 ms: 14 to the warming engine, 13 to others
        overloaded true, 600 ms: 14 to the warming engine, 4 to others
    "]]
    .assert_eq(&lines);
}

/// Guards against a warming engine that stays idle because a gateway withholds jobs during an overload of the others.
/// In a slow-start slot only the slow-start budget limits what the holder may send.
#[test]
fn overload_of_other_engines_does_not_withhold_jobs_from_a_slow_start_slot() {
    let mut harness = ControllerHarness::builder()
        .engines(4)
        .slow_start(&SlowStart {
            initial_capacity_fraction: 0.4,
            warm_up_ms: 20000.0,
            warm_up_window_ms: 2000.0,
        })
        .gateways(20)
        .health_checks(true)
        .health_check_price(1.0)
        .reported_utilization(0.2, 9)
        .build();

    for group in 0..60 {
        harness.submit(lookup(group));
        harness.advance(100.0);
    }
    harness.update_endpoints(vec![running_since(8, harness.now_ms() - 100.0)]);
    for group in 0..100 {
        harness.submit(lookup(group));
        harness.advance(100.0);
    }
    let sent = |warming| {
        harness.dispatches.iter().filter(|sent| sent.at_ms >= 6000.0 && (sent.engine == 8) == warming).count()
    };

    expect!["[0, 5]"].assert_eq(&format!("{:?}", [sent(false), sent(true)]));
}

/// Guards against overloading an engine that has restarted without a new start time in the endpoint list: it had 9 jobs
/// in flight and now has none. Only 2 jobs may simply have completed.
#[test]
fn an_engine_whose_many_jobs_have_vanished_is_assumed_to_be_warming_up() {
    let mut sent = Vec::new();
    for before in [2.0, 9.0] {
        let mut harness = ControllerHarness::builder()
            .engines(2)
            .slow_start(&SlowStart {
                initial_capacity_fraction: 0.3,
                warm_up_ms: 10000.0,
                warm_up_window_ms: 500.0,
            })
            .large_gateway_fleet()
            .load_reports(LoadReports::JobsInFlight(vec![40.0, before]))
            .build();
        harness.advance(1000.0);
        harness.submit(lookup(11));
        harness.advance(1000.0);
        harness.set_load_reports(LoadReports::JobsInFlight(vec![40.0, 0.0]));
        harness.dispatches.clear();
        for _ in 0..40 {
            harness.submit(lookup(11));
            harness.advance(50.0);
        }
        sent.push(harness.dispatches.len());
    }

    expect!["[15, 0]"].assert_eq(&format!("{sent:?}"));
}
