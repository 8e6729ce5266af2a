//! When a gateway sends health checks, and what their load reports and elapsed times show about an engine.

use crate::harness::{ControllerHarness, LoadReports};
use crate::jobs::{LOOKUP, lookup};
use expect_test::expect;
use std::fmt::Write as _;

/// Guards against dispatches to engines that other gateways have filled: in a large gateway fleet a gateway sees only a
/// small part of an engine's load. It gets a load report of each engine of the pair first, unless it has a fresh one.
#[test]
fn in_a_large_gateway_fleet_the_pair_is_health_checked_before_a_dispatch() {
    let mut harness = ControllerHarness::builder()
        .engines(5)
        .large_gateway_fleet()
        .load_reports(LoadReports::JobsInFlight(vec![2.0, 40.0, 40.0, 1.0, 40.0]))
        .build();

    harness.advance(1000.0);
    harness.submit(lookup(11));
    harness.advance(10.0);
    harness.set_load_reports(LoadReports::JobsInFlight(vec![40.0, 40.0, 40.0, 1.0, 40.0]));
    harness.submit(lookup(15));
    harness.advance(400.0);

    harness.expect_trace(&expect![[r"
        0     endpoints [0 Running, 1 Running, 2 Running, 3 Running, 4 Running]:
        1000  submit 0: health check 1, health check 3
        1005  load report 1: 40:
        1005  load report 3: 1: dispatch 0 to 3
        1010  submit 1: health check 0
        1015  load report 0: 40: dispatch 1 to 3
    "]]);
}

/// Guards against jobs that wait for load reports for which the budget of health checks is too small. The gateway then
/// decides at once, by its own figures, and uses all engines although it may not know the load of any.
#[test]
fn most_jobs_do_not_wait_for_expensive_health_checks() {
    let mut lines = String::new();
    for price in [0.1, 1.0] {
        let mut harness = ControllerHarness::builder()
            .engines(12)
            .large_gateway_fleet()
            .health_check_price(price)
            .reported_utilization(0.2, 12)
            .build();
        harness.advance(1000.0);
        let mut at_once = 0;
        for job in 0..60 {
            let before = harness.dispatches.len();
            let id = harness.submit(lookup(if job % 2 == 0 { 11 } else { job }));
            at_once += harness.dispatches.len() - before;
            harness.advance(100.0);
            harness.complete(id, 100.0);
        }
        let used =
            (0..12).filter(|engine| harness.dispatches.iter().any(|sent| sent.engine == *engine)).count();
        let (sent, checks) = (harness.dispatches.len(), harness.health_checks_sent);
        writeln!(
            lines,
            "price {price}: {at_once} at once of {sent}, on {used} engines, {checks} health checks"
        )
        .unwrap();
    }

    expect![[r"
        price 0.1: 45 at once of 60, on 12 engines, 15 health checks
        price 1: 59 at once of 60, on 12 engines, 1 health checks
    "]]
    .assert_eq(&lines);
}

/// Guards against dispatches to an overloaded engine that reports a low utilization. A single slow health check may be
/// jitter, but if all checks of an engine take four times as long as those of the others, it gets no more jobs.
#[test]
fn an_engine_with_slow_health_checks_is_treated_as_overloaded() {
    let mut sent = Vec::new();
    for slow_ms in [1.0, 4.0] {
        let mut harness = ControllerHarness::builder()
            .engines(4)
            .large_gateway_fleet()
            .health_check_price(0.01)
            .reported_utilization(0.2, 4)
            .build();
        harness.health_check_ms = vec![slow_ms, 1.0, 1.0, 1.0];
        harness.advance(1000.0);
        let mut by_time = vec![0; 4];
        for job in 0..80 {
            let before = harness.dispatches.len();
            let id = harness.submit(lookup(job % 20));
            harness.advance(100.0);
            let to_slow = harness.dispatches[before..].iter().filter(|sent| sent.engine == 0).count();
            if harness.dispatches.len() > before {
                harness.complete(id, 100.0);
            }
            by_time[job as usize / 20] += to_slow;
        }
        sent.push(by_time);
    }

    expect!["[[9, 8, 9, 7], [9, 0, 0, 0]]"].assert_eq(&format!("{sent:?}"));
}

/// Guards against an idle pool that rejects jobs because of network jitter: on a fast network a health check may take
/// 0.1 ms, and jitter of up to 5 ms is many times that. It is no sign of load, as the latency objective of the jobs is
/// 300 ms.
#[test]
fn jitter_of_fast_health_checks_is_not_mistaken_for_load() {
    let mut harness = ControllerHarness::builder()
        .engines(40)
        .gateways(20)
        .health_checks(true)
        .health_check_price(0.01)
        .latency_objective_ms(LOOKUP, 300.0)
        .reported_utilization(0.02, 40)
        .build();

    let mut random = 0x2545_f491_4f6c_dd1d_u64;
    let mut completed = 0;
    for job in 0..200 {
        // Each check takes a random time from 0.1 to 5 ms.
        harness.health_check_ms = (0..40)
            .map(|_| {
                random =
                    random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                0.1 + 4.9 * (random >> 40) as f64 / (1u64 << 24) as f64
            })
            .collect();
        let before = harness.dispatches.len();
        let id = harness.submit(lookup(job % 17).cost_ms(20.0));
        harness.advance(150.0);
        if harness.dispatches.len() > before {
            harness.complete(id, 25.0);
            completed += 1;
        }
        harness.advance(50.0);
    }
    let rejected = harness.rejections.len();

    expect!["200 completed, 0 rejected"].assert_eq(&format!("{completed} completed, {rejected} rejected"));
}
