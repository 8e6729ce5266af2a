//! Rule 7: retries stay within a budget over a sliding window.

use crate::builder::RetryBudget;
use crate::harness::{ControllerHarness, attempt};
use crate::jobs::lookup;
use expect_test::expect;
use pebblevane::interface::{DispatchStatus, JobId};

/// Guards against retries that multiply the load when jobs fail. Allowed are one retry, and one more for every four
/// jobs.
#[test]
fn retries_stay_within_their_budget() {
    let mut harness = ControllerHarness::builder()
        .engines(6)
        .retry_budget(&RetryBudget { window_ms: 10_000.0, min_retries: 1.0, retries_per_job: 0.25 })
        .build();

    for group in 0..5 {
        let job = harness.submit(lookup(group));
        harness.finish(attempt(job, 0), DispatchStatus::Failed, 1.0);
    }

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
            0     submit 0: dispatch 0 to 0
            0     Failed 0.0: dispatch 0 to 2
            0     submit 1: dispatch 1 to 1
            0     Failed 1.0:
            0     submit 2: dispatch 2 to 1
            0     Failed 2.0:
            0     submit 3: dispatch 3 to 0
            0     Failed 3.0: dispatch 3 to 1
            0     submit 4: dispatch 4 to 3
            0     Failed 4.0:
        "]]);
}

/// Guards against two retries in a window that allows one: retries exactly one window (1 s) apart count together, so
/// the second one is sent later.
#[test]
fn the_retry_budget_includes_both_ends_of_its_window() {
    let budget = RetryBudget { window_ms: 1000.0, min_retries: 1.0, retries_per_job: 0.0 };
    let mut harness = ControllerHarness::builder().engines(6).retry_budget(&budget).build();

    let first = harness.submit(lookup(1));
    harness.finish(attempt(first, 0), DispatchStatus::Failed, 1.0);
    harness.advance(900.0);
    let second = harness.submit(lookup(2));
    harness.advance(100.0);
    harness.finish(attempt(second, 0), DispatchStatus::Failed, 1.0);
    harness.advance(100.0);

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
            0     submit 0: dispatch 0 to 0
            0     Failed 0.0: dispatch 0 to 1
            900   submit 1: dispatch 1 to 4
            1000  Failed 1.0:
            1010  : dispatch 1 to 3
        "]]);
}

/// Guards against dropping a retry at the start of the window when a further one is counted at its end: both count, and
/// the third has to wait.
#[test]
fn a_retry_at_the_start_of_the_window_still_counts_at_its_end() {
    let budget = RetryBudget { window_ms: 1000.0, min_retries: 2.0, retries_per_job: 0.0 };
    let mut harness = ControllerHarness::builder().engines(6).retry_budget(&budget).build();

    let first = harness.submit(lookup(1));
    harness.finish(attempt(first, 0), DispatchStatus::Failed, 1.0);
    harness.advance(1000.0);
    let retried: Vec<JobId> = (2..4).map(|group| harness.submit(lookup(group))).collect();
    for job in retried {
        harness.finish(attempt(job, 0), DispatchStatus::Failed, 1.0);
    }
    harness.advance(100.0);

    harness.expect_trace(&expect![[r"
        0     endpoints [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
        0     submit 0: dispatch 0 to 0
        0     Failed 0.0: dispatch 0 to 1
        1000  submit 1: dispatch 1 to 4
        1000  submit 2: dispatch 2 to 2
        1000  Failed 1.0: dispatch 1 to 3
        1000  Failed 2.0:
        1010  : dispatch 2 to 0
    "]]);
}
