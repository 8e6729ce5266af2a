//! Admission: which jobs wait at the gateway for capacity, and which estimates of clients are plausible.

use crate::harness::ControllerHarness;
use crate::jobs::{LOOKUP, lookup};
use expect_test::expect;
use pebblevane::interface::JobId;

const DAY_MS: f64 = 86_400_000.0;

/// Guards against overfilling the engines when waiting jobs are placed after a result: the two engines run 32 threads,
/// and each completed job frees one. The job that is left is rejected when it can no longer meet its objective.
#[test]
fn each_completed_job_frees_capacity_for_one_waiting_job() {
    let mut harness = ControllerHarness::builder().engines(2).build();

    (0..36).for_each(|group| assert_eq!(harness.submit(lookup(u64::from(group))), JobId(group)));
    let mut sent = vec![harness.dispatches.len()];
    for job in 0..3 {
        harness.complete(JobId(job), 100.0);
        harness.advance(20.0);
        sent.push(harness.dispatches.len());
    }
    harness.advance(2000.0);
    let rejected = harness.rejections.len();

    expect!["sent [32, 33, 34, 35], rejected 1"].assert_eq(&format!("sent {sent:?}, rejected {rejected}"));
}

/// Guards against a client that has the jobs of others rejected: if the mean estimate of the class included an
/// implausible one, jobs without an estimate would be assumed to be as large. To claim a client timeout of a day does
/// not make such an estimate plausible.
#[test]
fn a_job_with_an_implausible_cost_estimate_is_rejected_and_not_learned_from() {
    let mut harness = ControllerHarness::builder()
        .engines(2)
        .client_timeout_ms(LOOKUP, 4000.0)
        .objective_stretch(LOOKUP, 10.0)
        .build();

    let implausible = lookup(1).cost_ms(9e10);
    let day_long = lookup(1).cost_ms(5e7).client_timeout_ms(DAY_MS);
    let without_cost = lookup(1).without_cost();
    for spec in [lookup(1).cost_ms(100.0), implausible, without_cost, day_long, without_cost] {
        let job = harness.submit(spec);
        harness.advance(50.0);
        harness.complete(job, 50.0);
    }
    // The maximum client timeout of the settings also limits how long a job waits.
    harness.replace_endpoints(vec![]);
    harness.submit(lookup(1).cost_ms(3000.0).client_timeout_ms(DAY_MS));
    harness.advance(5000.0);

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running]:
            0     submit 0: dispatch 0 to 0
            50    Completed 0.0:
            50    submit 1: reject 1
            100   Completed 1.0:
            100   submit 2: dispatch 2 to 1
            150   Completed 2.0:
            150   submit 3: reject 3
            200   Completed 3.0:
            200   submit 4: dispatch 4 to 1
            250   Completed 4.0:
            250   endpoints []:
            250   submit 5:
            4240  : reject 5
        "]]);
}

/// Guards against a client that blocks an engine for others by a memory estimate that exceeds the memory of every
/// running engine.
#[test]
fn a_memory_estimate_beyond_any_engine_is_ignored() {
    let mut harness = ControllerHarness::builder().engines(1).engine_memory_mb(1000.0).build();

    harness.submit(lookup(1).memory_mb(1e9));
    harness.submit(lookup(1));

    harness.expect_trace(&expect![[r"
        0     endpoints [0 Running]:
        0     submit 0: dispatch 0 to 0
        0     submit 1: dispatch 1 to 0
    "]]);
}
