//! Rule 1: each job gets exactly one final answer, before its client times out.

use crate::harness::{ControllerHarness, attempt};
use crate::jobs::{lookup, non_idempotent};
use expect_test::expect;
use pebblevane::interface::DispatchStatus;

/// Guards against a client without an answer at its timeout (4000 ms), and against a second answer when a result
/// arrives after the controller has answered at 3990 ms. A write that may have run must not be rejected, as a rejection
/// lets the client retry it.
#[test]
fn a_job_is_answered_once_before_its_client_times_out() {
    let mut harness = ControllerHarness::builder().engines(2).build();

    let read = harness.submit(lookup(11));
    let post = harness.submit(non_idempotent(12));
    harness.advance(4000.0);
    harness.finish(attempt(read, 0), DispatchStatus::Cancelled, 4000.0);
    harness.complete(post, 4000.0);
    harness.complete(post, 4000.0);

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running]:
            0     submit 0: dispatch 0 to 0
            0     submit 1: dispatch 1 to 1
            3990  : cancel dispatch 0.0, cancel dispatch 1.0, reject 0, cancel job 1
            4000  Cancelled 0.0:
            4000  Completed 1.0:
            4000  Completed 1.0:
        "]]);
}
