//! Graceful shutdown of a gateway: every open job is answered before the process ends.

use crate::harness::ControllerHarness;
use crate::jobs::{lookup, non_idempotent};
use expect_test::expect;

/// Guards against clients that get no answer because the process ends. A job that can't complete in time is rejected on
/// arrival; the jobs still open shortly before the end, at 290 ms, are cancelled and answered.
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
