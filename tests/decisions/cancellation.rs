//! Dispatches that the controller cancels by its own decision, to retry the job on another engine or to reject it.

use crate::harness::{ControllerHarness, attempt};
use crate::jobs::{LOOKUP, lookup};
use expect_test::expect;
use pebblevane::interface::{DispatchStatus, JobId, ProgressUpdate};
use std::fmt::Write as _;

/// Guards against a job that misses its latency objective on a slow engine although a new dispatch would meet it.
#[test]
fn a_dispatch_with_slow_progress_is_cancelled_and_retried() {
    let mut harness = ControllerHarness::builder().engines(3).progress_interval_ms(200.0).build();

    let usual = harness.submit(lookup(11));
    harness.advance(100.0);
    harness.complete(usual, 100.0);
    // With 5% completed after 200 ms the job would take 4 s; a new dispatch takes 100 ms, and the objective is 1 s.
    let stuck = harness.submit(lookup(11));
    harness.advance(200.0);
    harness.progress(attempt(stuck, 0), ProgressUpdate::CompletedFraction(0.05));
    harness.finish(attempt(stuck, 0), DispatchStatus::Cancelled, 200.0);

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running, 2 Running]:
            0     submit 0: dispatch 0 to 2
            100   Completed 0.0:
            100   submit 1: dispatch 1 to 1
            300   CompletedFraction(0.05) 1.0: cancel dispatch 1.0
            300   Cancelled 1.0: dispatch 1 to 2
        "]]);
}

/// Guards against late jobs that prolong an overload: their answers have lost half of their value, while jobs that
/// arrive could still meet their objective. Jobs that have reported 90% as completed are kept.
#[test]
fn a_late_job_on_an_overloaded_engine_is_rejected_unless_nearly_complete() {
    let mut lines = String::new();
    for completed in [0.0, 0.9] {
        let mut harness = ControllerHarness::builder().engines(1).late_value_ratio(LOOKUP, 0.5).build();
        for group in 0..40 {
            let job = harness.submit(lookup(group));
            harness.advance(100.0);
            harness.complete(job, 100.0);
        }
        let jobs: Vec<JobId> = (0..6).map(|group| harness.submit(lookup(group))).collect();
        harness.advance(700.0);
        for job in &jobs {
            harness.progress(attempt(*job, 0), ProgressUpdate::CompletedFraction(completed));
        }
        harness.advance(1800.0);
        let rejected = jobs.iter().filter(|job| harness.rejections.contains(job)).count();
        writeln!(lines, "{completed} completed: {rejected} of {} rejected", jobs.len()).unwrap();
    }

    expect![[r"
        0 completed: 6 of 6 rejected
        0.9 completed: 0 of 6 rejected
    "]]
    .assert_eq(&lines);
}
