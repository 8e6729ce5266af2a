//! Rule 5: jobs of one key run one at a time, in the order of arrival.

use crate::harness::{ControllerHarness, attempt, running};
use crate::jobs::{ORDERED, lookup, ordered};
use expect_test::expect;
use pebblevane::interface::{DispatchStatus, JobId};

/// Guards against two jobs of a key that run at the same time. That can also happen after a dispatch that timed out and
/// may still run, so the next job waits for the quiet period of 300 ms.
#[test]
fn jobs_of_a_key_run_one_at_a_time_with_a_quiet_period_after_an_unknown_outcome() {
    let mut harness = ControllerHarness::builder().engines(4).key_quiet_ms(300.0).build();

    let first = harness.submit(ordered(11, 5));
    let second = harness.submit(ordered(11, 5));
    harness.submit(ordered(11, 5));
    harness.submit(ordered(11, 6));
    harness.advance(50.0);
    harness.complete(first, 50.0);
    harness.advance(300.0);
    harness.finish(attempt(second, 0), DispatchStatus::TimedOut, 300.0);
    harness.advance(50.0);
    harness.finish(attempt(second, 1), DispatchStatus::Completed, 50.0);
    harness.advance(1000.0);

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running, 2 Running, 3 Running]:
            0     submit 0: dispatch 0 to 3
            0     submit 1:
            0     submit 2:
            0     submit 3: dispatch 3 to 1
            50    Completed 0.0:
            55    : dispatch 1 to 3
            350   TimedOut 1.0: dispatch 1 to 2
            400   Completed 1.1:
            650   : dispatch 2 to 3
        "]]);
}

/// Guards against one long job that makes the jobs queued behind it miss their objective of 1 s: without its 700 ms,
/// all three can meet it. A job that is as long, but has no other job behind it, runs.
#[test]
fn a_long_job_is_rejected_when_the_jobs_queued_behind_it_would_be_late() {
    let mut harness = ControllerHarness::builder().engines(4).build();

    let first = harness.submit(ordered(11, 5));
    harness.submit(ordered(11, 5).cost_ms(700.0));
    let short: Vec<JobId> = (0..3).map(|_| harness.submit(ordered(11, 5).cost_ms(200.0))).collect();
    let alone = harness.submit(ordered(11, 6).cost_ms(700.0));
    harness.advance(100.0);
    harness.complete(first, 100.0);
    harness.advance(10.0);
    for job in short {
        harness.advance(190.0);
        harness.complete(job, 190.0);
        harness.advance(10.0);
    }
    harness.complete(alone, 900.0);

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running, 2 Running, 3 Running]:
            0     submit 0: dispatch 0 to 3
            0     submit 1:
            0     submit 2:
            0     submit 3:
            0     submit 4:
            0     submit 5: dispatch 5 to 1
            100   Completed 0.0:
            105   : reject 1, dispatch 2 to 3
            300   Completed 2.0:
            305   : dispatch 3 to 3
            500   Completed 3.0:
            505   : dispatch 4 to 3
            700   Completed 4.0:
            710   Completed 5.0:
        "]]);
}

/// Guards against a pool that remains saturated, and lets jobs wait, with idle engines. A saturated pool remains so
/// while jobs wait for capacity; a job that waits for an earlier job of its key must not count.
#[test]
fn jobs_that_wait_for_their_key_do_not_count_as_waiting_for_capacity() {
    let mut harness = ControllerHarness::builder().engines(2).latency_objective_ms(ORDERED, 60_000.0).build();

    harness.submit(ordered(11, 5).client_timeout_ms(60_000.0).cost_ms(30_000.0));
    harness.set_actual_work_ms(100.0);
    harness.submit(ordered(11, 5).client_timeout_ms(60_000.0));
    // Slow jobs saturate the pool. After 15 s without jobs their slowdown has decayed.
    for group in 0..20 {
        let job = harness.submit(lookup(group).client_timeout_ms(60_000.0));
        harness.complete(job, 600.0);
    }
    harness.advance(15000.0);
    let before = harness.dispatches.len();
    for group in 0..36 {
        assert!(harness.submit(lookup(group).client_timeout_ms(60_000.0)) > JobId(0));
    }
    let sent = harness.dispatches.len() - before;

    expect!["sent 31"].assert_eq(&format!("sent {sent}"));
}

/// Guards against rejecting a job because of a queue that it is not in. A job with a key whose class is not ordered is
/// in no queue; if it were looked up in the queue of its key, it would seem to be one that should leave the queue.
#[test]
fn a_job_of_an_unordered_class_is_not_rejected_because_of_the_queue_of_its_key() {
    let mut harness = ControllerHarness::builder().build();

    harness.submit(ordered(11, 5));
    harness.submit(ordered(11, 5));
    harness.submit(lookup(11).key(5));
    harness.submit(lookup(11));
    harness.replace_endpoints(vec![running(0)]);

    harness.expect_trace(&expect![[r"
            0     endpoints []:
            0     submit 0:
            0     submit 1:
            0     submit 2:
            0     submit 3:
            0     endpoints [0 Running]: dispatch 0 to 0, dispatch 2 to 0, dispatch 3 to 0
        "]]);
}
