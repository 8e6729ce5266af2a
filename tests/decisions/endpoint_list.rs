//! Rule 3: no job is sent to an engine that is draining or gone. Also: what happens to jobs while no engine is listed.

use crate::harness::{ControllerHarness, attempt, draining, running};
use crate::jobs::lookup;
use expect_test::expect;
use pebblevane::interface::{DispatchStatus, JobId};

/// Guards against dispatches to engines that shut down, whether the list marks them as draining or no longer contains
/// them.
#[test]
fn draining_and_gone_engines_get_no_dispatch() {
    let mut harness = ControllerHarness::builder().engines(3).build();

    harness.update_endpoints(vec![draining(0)]);
    harness.replace_endpoints(vec![running(1)]);
    for group in 0..4 {
        harness.submit(lookup(group));
    }

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running, 2 Running]:
            0     endpoints [0 Draining]:
            0     endpoints [1 Running]:
            0     submit 0: dispatch 0 to 1
            0     submit 1: dispatch 1 to 1
            0     submit 2: dispatch 2 to 1
            0     submit 3: dispatch 3 to 1
        "]]);
}

/// Guards against rejecting a job at once because no engine is listed, or because the list is stale and its engine is
/// unreachable. The job waits, or is retried, while it can meet its latency objective.
#[test]
fn jobs_wait_for_an_engine_and_are_retried_after_a_stale_endpoint_list() {
    let mut harness = ControllerHarness::builder().build();

    harness.submit(lookup(11));
    harness.replace_endpoints(vec![running(0)]);
    harness.finish(attempt(JobId(0), 0), DispatchStatus::Unreachable, 250.0);
    harness.advance(250.0);
    harness.replace_endpoints(vec![running(1)]);
    harness.replace_endpoints(vec![]);
    harness.submit(lookup(12));
    harness.advance(1500.0);

    harness.expect_trace(&expect![[r"
            0     endpoints []:
            0     submit 0:
            0     endpoints [0 Running]: dispatch 0 to 0
            0     Unreachable 0.0: dispatch 0 to 0
            250   endpoints [1 Running]:
            250   endpoints []:
            250   submit 1:
            1250  : reject 1
        "]]);
}
