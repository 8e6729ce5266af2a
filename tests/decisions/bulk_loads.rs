//! Bulk loads lock the tables of their group on an engine: where they are sent, and how readers of the same tables
//! avoid them.

use crate::harness::{ControllerHarness, attempt};
use crate::jobs::{bulk_load, lookup};
use expect_test::expect;
use pebblevane::interface::{DispatchStatus, ProgressUpdate};

/// Guards against readers that wait at an engine for a bulk load although other engines are free. The gateway knows of
/// its own bulk loads, and of those of other gateways by readers that report that they wait.
#[test]
fn readers_avoid_engines_where_a_bulk_load_locks_their_tables() {
    let mut harness = ControllerHarness::builder().engines(3).build();

    let first = harness.submit(bulk_load(11));
    for _ in 0..4 {
        let job = harness.submit(lookup(11));
        harness.complete(job, 100.0);
    }
    // Another gateway's bulk load locks the tables of group 12.
    let blocked = harness.submit(lookup(12));
    harness.progress(attempt(blocked, 0), ProgressUpdate::WaitingForBulkLoad);
    harness.submit(lookup(12));
    harness.complete(first, 2000.0);

    harness.expect_trace(&expect![[r"
        0     endpoints [0 Running, 1 Running, 2 Running]:
        0     submit 0: dispatch 0 to 2
        0     submit 1: dispatch 1 to 1
        0     Completed 1.0:
        0     submit 2: dispatch 2 to 1
        0     Completed 2.0:
        0     submit 3: dispatch 3 to 1
        0     Completed 3.0:
        0     submit 4: dispatch 4 to 1
        0     Completed 4.0:
        0     submit 5: dispatch 5 to 1
        0     WaitingForBulkLoad 5.0: cancel dispatch 5.0
        0     submit 6: dispatch 6 to 0
        0     Completed 0.0:
    "]]);
}

/// Guards against bulk loads of all gateways that queue at one engine: the gateways learn of each other's loads too
/// late and walk the engines in the same order. So each starts at a random position.
#[test]
fn bulk_loads_of_many_gateways_spread_over_the_engines() {
    let mut loads_at = [0; 8];
    for ordinal in 0..40 {
        let mut harness = ControllerHarness::builder()
            .engines(8)
            .large_gateway_fleet()
            .gateway_ordinal(ordinal)
            .reported_jobs_in_flight(0.0, 8)
            .build();
        harness.submit(bulk_load(11));
        loads_at[harness.dispatches[0].engine as usize] += 1;
    }

    expect!["[3, 4, 6, 6, 6, 10, 5, 0]"].assert_eq(&format!("{loads_at:?}"));
}

/// Guards against a reader that is moved from engine to engine while bulk loads lock its tables on all of them: it
/// would use up its dispatches and then wait until its client times out. Its dispatch is cancelled only if there is an
/// engine where the tables are not known to be locked.
#[test]
fn a_reader_is_not_moved_to_another_engine_whose_tables_are_locked() {
    let mut harness = ControllerHarness::builder().engines(2).progress_interval_ms(1000.0).build();

    let first = harness.submit(lookup(11));
    harness.progress(attempt(first, 0), ProgressUpdate::WaitingForBulkLoad);
    harness.finish(attempt(first, 0), DispatchStatus::Cancelled, 1.0);
    harness.progress(attempt(first, 1), ProgressUpdate::WaitingForBulkLoad);
    harness.advance(100.0);
    // As the reader waited there and has completed, the tables are no longer locked on that engine.
    harness.finish(attempt(first, 1), DispatchStatus::Completed, 100.0);
    let second = harness.submit(lookup(11));
    harness.complete(second, 50.0);

    harness.expect_trace(&expect![[r"
        0     endpoints [0 Running, 1 Running]:
        0     submit 0: dispatch 0 to 0
        0     WaitingForBulkLoad 0.0: cancel dispatch 0.0
        0     Cancelled 0.0: dispatch 0 to 1
        0     WaitingForBulkLoad 0.1:
        100   Completed 0.1:
        100   submit 1: dispatch 1 to 1
        100   Completed 1.0:
    "]]);
}

/// Guards against bulk loads of one group that lock its tables on every engine, so that its readers find none. The
/// loads leave out the engine that readers visit first and queue behind each other on the others.
#[test]
fn bulk_loads_leave_one_engine_of_the_group_to_readers() {
    let mut harness = ControllerHarness::builder().engines(4).build();

    for _ in 0..5 {
        harness.submit(bulk_load(11));
    }
    for _ in 0..4 {
        harness.submit(lookup(11));
    }

    harness.expect_trace(&expect![[r"
        0     endpoints [0 Running, 1 Running, 2 Running, 3 Running]:
        0     submit 0: dispatch 0 to 2
        0     submit 1: dispatch 1 to 0
        0     submit 2: dispatch 2 to 3
        0     submit 3: dispatch 3 to 0
        0     submit 4: dispatch 4 to 2
        0     submit 5: dispatch 5 to 1
        0     submit 6: dispatch 6 to 1
        0     submit 7: dispatch 7 to 1
        0     submit 8: dispatch 8 to 1
    "]]);
}
