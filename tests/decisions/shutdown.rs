//! Graceful shutdown of a gateway: every open job is answered before the deadline.

use crate::harness::ControllerHarness;
use crate::jobs::{lookup, non_idempotent};
use expect_test::expect;

/// Before the gateway stops each job gets its answer; what can't complete in time is cancelled shortly before the deadline.
#[test]
fn a_graceful_shutdown_answers_every_job() {
    let mut harness = ControllerHarness::builder().engines(1).build();

    harness.submit(lookup(11));
    harness.submit(non_idempotent(12));
    harness.begin_shutdown(300.0);
    harness.submit(lookup(13));
    harness.advance(250.0);
    harness.submit(lookup(14));
    harness.advance(50.0);

    harness.expect_trace(&expect![[r"
        0     endpoints [0 Running]:
        0     submit 0: dispatch 0 to 0
        0     submit 1: dispatch 1 to 0
        0     begin shutdown:
        0     submit 2: dispatch 2 to 0
        250   submit 3: reject 3
        290   : cancel dispatch 0.0, cancel dispatch 1.0, cancel dispatch 2.0, reject 0, cancel job 1, reject 2
    "]]);
}
