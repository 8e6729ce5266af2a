//! The controller's state is bounded: entries that are no longer used are evicted.

use crate::harness::{ControllerHarness, attempt, gone, running};
use crate::jobs::{lookup, ordered};
use expect_test::expect;
use pebblevane::interface::DispatchStatus;
use std::fmt::Write;

/// Guards against memory that grows without limit while new engines, table groups and keys keep appearing. Entries that
/// open jobs use are kept.
#[test]
fn state_of_gone_engines_and_finished_jobs_is_evicted() {
    let mut harness = ControllerHarness::builder().engines(2).key_quiet_ms(300.0).build();

    let (mut trace, mut open) = (String::new(), vec![]);
    for round in 0..6 {
        let departing = (0..10).map(|i| gone(10 * round + i));
        let arriving = (0..10).map(|i| running(10 * round + 10 + i));
        harness.replace_endpoints(departing.chain(arriving).collect());
        for i in 0..100 {
            let key = u64::from(1000 * round + i);
            let job = harness.submit(ordered(key, key));
            harness.complete(job, 10.0);
        }
        open.push(harness.submit(lookup(1)));
        harness.advance(61_000.0);
        let retained = harness.retained_entries();
        if open.len() > 1 {
            harness.finish(attempt(open.remove(0), 0), DispatchStatus::TimedOut, 61_000.0);
        }
        harness.advance(300.0);
        writeln!(
            trace,
            "{retained} retained with {} jobs open, then {}",
            open.len(),
            harness.retained_entries()
        )
        .unwrap();
    }

    expect![[r"
        11 retained with 1 jobs open, then 11
        13 retained with 1 jobs open, then 11
        13 retained with 1 jobs open, then 11
        13 retained with 1 jobs open, then 11
        13 retained with 1 jobs open, then 11
        13 retained with 1 jobs open, then 11
    "]]
    .assert_eq(&trace);
}

/// Guards against memory that grows with the number of table groups, which clients choose freely: here each job has
/// another one, at a rate at which none is evicted for its age. The limits are 16,384 counted groups, and 1,048,576
/// engines in the cached orders, which are 10,485 groups at 100 engines.
#[test]
fn state_of_ever_new_table_groups_is_bounded() {
    const ENGINES: usize = 100;
    const MAX_COUNTED_GROUPS: usize = 16_384;
    const MAX_CACHED_ORDERS: usize = 10_485;
    let mut harness = ControllerHarness::builder().engines(ENGINES as u32).build();
    let before = harness.retained_entries();

    let mut most = 0;
    for group in 0..40_000 {
        let job = harness.submit(lookup(group));
        harness.complete(job, 1.0);
        most = most.max(harness.retained_entries());
    }

    assert!(most > before + MAX_CACHED_ORDERS, "{most} entries: the groups are not counted");
    assert!(most <= before + MAX_COUNTED_GROUPS + MAX_CACHED_ORDERS, "{most} entries");
}
