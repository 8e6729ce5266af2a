//! Rule 2: a job that may have run is only run again if its retry safety allows it.

use crate::harness::{ControllerHarness, attempt, draining, gone, running};
use crate::jobs::{KEYED, keyed, non_idempotent};
use expect_test::expect;
use pebblevane::interface::{DispatchStatus, Endpoint, EngineId};
use pebblevane::time::Timestamp;

/// Guards against a write that runs twice. After a lost connection it may have run: the gateway must not retry it, and
/// must not reject it either, as a rejection lets the client retry. A write that did not reach its engine is retried.
#[test]
fn a_non_idempotent_job_that_may_have_run_is_neither_retried_nor_rejected() {
    let mut harness = ControllerHarness::builder().engines(4).build();

    let lost = harness.submit(non_idempotent(11));
    let refused = harness.submit(non_idempotent(12));
    harness.advance(10.0);
    harness.finish(attempt(lost, 0), DispatchStatus::ConnectionLost, 10.0);
    harness.finish(attempt(refused, 0), DispatchStatus::Unreachable, 10.0);
    harness.advance(5000.0);

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running, 2 Running, 3 Running]:
            0     submit 0: dispatch 0 to 3
            0     submit 1: dispatch 1 to 1
            10    ConnectionLost 0.0: cancel job 0
            10    Unreachable 1.0: dispatch 1 to 0
            3990  : cancel dispatch 1.1, cancel job 1
        "]]);
}

/// Guards against a retry at an engine that does not recognize the idempotency key, so that the job runs twice: engines
/// share the keys within a location (odd or even numbers) and remember them for 2 s.
#[test]
fn a_keyed_job_is_retried_only_in_its_location_and_deduplication_window() {
    let mut harness = ControllerHarness::builder().engines(6).build();

    let job = harness.submit(keyed(11));
    harness.advance(10.0);
    harness.finish(attempt(job, 0), DispatchStatus::ConnectionLost, 10.0);
    let late = harness.submit(keyed(12));
    harness.advance(2100.0);
    harness.finish(attempt(late, 0), DispatchStatus::TimedOut, 2100.0);

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
            0     submit 0: dispatch 0 to 5
            10    ConnectionLost 0.0: dispatch 0 to 1
            10    submit 1: dispatch 1 to 0
            2110  TimedOut 1.0: cancel job 1
        "]]);
}

/// Guards against a retry after the deduplication window of 2 s, when engines no longer recognize the key, although the
/// client still waits and the latency objective can be met.
#[test]
fn a_keyed_job_that_may_have_run_is_not_retried_after_its_deduplication_window() {
    let mut harness = ControllerHarness::builder().engines(6).latency_objective_ms(KEYED, 10_000.0).build();

    for lost_after_ms in [1900.0, 2000.0] {
        let job = harness.submit(keyed(11).client_timeout_ms(9000.0));
        harness.advance(lost_after_ms);
        harness.finish(attempt(job, 0), DispatchStatus::ConnectionLost, lost_after_ms);
        harness.advance(100.0);
    }

    harness.expect_trace(&expect![[r"
        0     endpoints [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
        0     submit 0: dispatch 0 to 5
        1900  ConnectionLost 0.0: dispatch 0 to 1
        2000  submit 1: dispatch 1 to 5
        4000  ConnectionLost 1.0: cancel job 1
    "]]);
}

/// Guards against a retry in the location of an engine that no longer had its address when the job was sent: the engine
/// that has it since may have run the job. Without a start time either may have, so the job is not retried.
#[test]
fn a_keyed_job_is_retried_in_the_location_of_the_engine_that_received_it() {
    for (started_at_ms, retried_at) in [(Some(500.0), Some(1)), (Some(1500.0), Some(2)), (None, None)] {
        let mut harness = ControllerHarness::builder().engines(1).build();
        harness.advance(1000.0);
        let job = harness.submit(keyed(11));
        harness.advance(600.0);
        let replacing = Endpoint {
            replaces: Some(EngineId(0)),
            started_at: started_at_ms.map(Timestamp::from_millis_f64),
            ..draining(3)
        };
        harness.update_endpoints(vec![gone(0), replacing, running(1), running(2)]);
        harness.finish(attempt(job, 0), DispatchStatus::ConnectionLost, 600.0);
        let retried = [1, 2, 3].into_iter().find(|engine| harness.was_sent_to(job, *engine));
        assert_eq!(retried, retried_at, "start {started_at_ms:?}");
    }
}
