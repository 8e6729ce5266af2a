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
        0     list [0 Running]:
        0     take 0: send 0 to 0
        0     take 1: send 1 to 0
        0     stopping:
        0     take 2: send 2 to 0
        250   take 3: throttle 3
        290   : recall 0.0, recall 1.0, recall 2.0, throttle 0, cancel 1, throttle 2
    "]]);
}
