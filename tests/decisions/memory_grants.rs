//! Memory grants of jobs for which clients estimate too little memory.

use crate::harness::{ControllerHarness, attempt};
use crate::jobs::lookup;
use expect_test::expect;
use pebblevane::interface::ProgressUpdate;

/// Guards against jobs that spill to disk although their engine has the memory, and against grants that exceed four
/// times the estimate: it is 200 MB, while the engine has 1000 MB per thread and the jobs report that they need more.
#[test]
fn memory_grants_exceed_low_estimates_up_to_the_maximum_factor() {
    let mut harness = ControllerHarness::builder()
        .engines(2)
        .memory_grants()
        .engine_memory_mb(16_000.0)
        .progress_interval_ms(50.0)
        .build();

    for _ in 0..3 {
        let job = harness.submit(lookup(11));
        harness.advance(50.0);
        harness.progress(attempt(job, 0), ProgressUpdate::SpillingToDisk(200.0));
        harness.complete(job, 100.0);
    }

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running]:
            0     submit 0: dispatch 0 to 0 with 800 MB
            50    SpillingToDisk(200.0) 0.0:
            50    Completed 0.0:
            50    submit 1: dispatch 1 to 1 with 800 MB
            100   SpillingToDisk(200.0) 1.0:
            100   Completed 1.0:
            100   submit 2: dispatch 2 to 1 with 800 MB
            150   SpillingToDisk(200.0) 2.0:
            150   Completed 2.0:
        "]]);
}
