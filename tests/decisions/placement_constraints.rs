//! Rule 6: a job that is confined to a location never runs in another one.

use crate::harness::{ControllerHarness, draining, gone, running};
use crate::jobs::confined;
use expect_test::expect;

/// Guards against running a confined job in another location because its own, that of the engines with odd numbers, has
/// no running engine.
#[test]
fn a_confined_job_waits_or_is_rejected_but_never_runs_elsewhere() {
    let mut harness = ControllerHarness::builder().engines(4).build();

    harness.update_endpoints(vec![gone(1), draining(3)]);
    harness.submit(confined(11));
    harness.advance(2000.0);
    harness.submit(confined(11));
    harness.update_endpoints(vec![running(5)]);

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running, 2 Running, 3 Running]:
            0     endpoints [1 Gone, 3 Draining]:
            0     submit 0:
            1000  : reject 0
            2000  submit 1:
            2000  endpoints [5 Running]: dispatch 1 to 5
        "]]);
}
