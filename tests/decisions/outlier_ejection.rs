//! Outlier ejection: engines that fail get no dispatches for some time. Also: engines where jobs are stuck are avoided.

use crate::harness::{ControllerHarness, attempt};
use crate::jobs::{LOOKUP, lookup};
use expect_test::expect;
use pebblevane::interface::{DispatchStatus, JobId};

/// Guards against ejecting an engine for a single lost connection, and against more dispatches to one that has lost
/// two. After the ejection of 500 ms the engine gets a job again.
#[test]
fn an_engine_is_ejected_after_two_lost_connections_but_not_after_one() {
    let mut harness = ControllerHarness::builder().engines(2).build();

    for status in [
        DispatchStatus::ConnectionLost,
        DispatchStatus::ConnectionLost,
        DispatchStatus::Completed,
        DispatchStatus::Completed,
    ] {
        let job = harness.submit(lookup(11));
        harness.finish(attempt(job, 0), status, 5.0);
    }
    harness.advance(600.0);
    harness.submit(lookup(11));

    harness.expect_trace(&expect![[r"
        0     endpoints [0 Running, 1 Running]:
        0     submit 0: dispatch 0 to 0
        0     ConnectionLost 0.0: dispatch 0 to 1
        0     submit 1: dispatch 1 to 0
        0     ConnectionLost 1.0: dispatch 1 to 1
        0     submit 2: dispatch 2 to 1
        0     Completed 2.0:
        0     submit 3: dispatch 3 to 1
        0     Completed 3.0:
        600   submit 4: dispatch 4 to 0
    "]]);
}

/// Guards against ejecting a healthy engine: if it accepts a new connection, the fault is that of the lost connection
/// only, however often it recurs.
#[test]
fn lost_connections_do_not_eject_an_engine_that_accepts_new_ones() {
    let mut harness = ControllerHarness::builder().engines(2).engines_reachable().build();

    for _ in 0..3 {
        let job = harness.submit(lookup(11));
        harness.finish(attempt(job, 0), DispatchStatus::ConnectionLost, 5.0);
        harness.finish(attempt(job, 1), DispatchStatus::Completed, 5.0);
    }
    harness.submit(lookup(11));

    harness.expect_trace(&expect![[r"
        0     endpoints [0 Running, 1 Running]:
        0     submit 0: dispatch 0 to 0
        0     ConnectionLost 0.0: dispatch 0 to 1
        0     Completed 0.1:
        0     submit 1: dispatch 1 to 1
        0     ConnectionLost 1.0: dispatch 1 to 0
        0     Completed 1.1:
        0     submit 2: dispatch 2 to 1
        0     ConnectionLost 2.0: dispatch 2 to 0
        0     Completed 2.1:
        0     submit 3: dispatch 3 to 1
    "]]);
}

/// Guards against sending jobs to an engine again where one was stuck until its client timed out. Without load reports
/// a gateway uses each engine only every few seconds, so the slowdown of a single small job there must have enough
/// weight and must decay slowly.
#[test]
fn an_engine_where_a_small_job_was_stuck_is_avoided_for_a_while() {
    let mut harness = ControllerHarness::builder()
        .engines(12)
        .large_gateway_fleet()
        .health_check_price(1.0)
        .late_value_ratio(LOOKUP, 1.0)
        .reported_utilization(0.2, 12)
        .build();

    harness.advance(1000.0);
    let stuck = harness.submit(lookup(11));
    harness.advance(4050.0);
    harness.finish(attempt(stuck, 0), DispatchStatus::Cancelled, 4000.0);
    let stuck_engine = harness.dispatches[0].engine;
    let mut went_to_stuck_engine = Vec::new();
    for job in 0..40 {
        let id = harness.submit(lookup(11));
        harness.advance(100.0);
        harness.complete(id, 100.0);
        harness.submit(lookup(100 + job));
        harness.advance(900.0);
        harness.complete(JobId(id.0 + 1), 100.0);
        let new_dispatches = harness.dispatches.iter().skip(1 + went_to_stuck_engine.len());
        went_to_stuck_engine.extend(new_dispatches.map(|sent| sent.engine == stuck_engine));
    }
    let counts: Vec<usize> =
        went_to_stuck_engine.chunks(20).map(|sent| sent.iter().filter(|stuck| **stuck).count()).collect();

    expect!["[0, 0, 0, 0]"].assert_eq(&format!("{counts:?}"));
}
