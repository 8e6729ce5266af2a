//! Selection of an engine: the pair of the job's table group by the hashed order, the faster engine of the pair, and
//! for large jobs the whole pool.

use crate::harness::ControllerHarness;
use crate::jobs::lookup;
use expect_test::expect;
use std::fmt::Write as _;

/// Guards against spreading the jobs of a table group over engines that do not have its tables in memory.
#[test]
fn jobs_of_a_table_group_go_to_its_pair_of_engines() {
    let mut harness = ControllerHarness::builder().engines(6).build();

    for round in 0..4 {
        for group in [11, 12] {
            let job = harness.submit(lookup(group));
            harness.advance(50.0);
            harness.complete(job, 50.0 + f64::from(round));
        }
    }

    harness.expect_trace(&expect![[r"
            0     endpoints [0 Running, 1 Running, 2 Running, 3 Running, 4 Running, 5 Running]:
            0     submit 0: dispatch 0 to 5
            50    Completed 0.0:
            50    submit 1: dispatch 1 to 1
            100   Completed 1.0:
            100   submit 2: dispatch 2 to 1
            150   Completed 2.0:
            150   submit 3: dispatch 3 to 1
            200   Completed 3.0:
            200   submit 4: dispatch 4 to 1
            250   Completed 4.0:
            250   submit 5: dispatch 5 to 1
            300   Completed 5.0:
            300   submit 6: dispatch 6 to 5
            350   Completed 6.0:
            350   submit 7: dispatch 7 to 1
            400   Completed 7.0:
        "]]);
}

/// Guards against sending half of the jobs to an engine that takes nine times as long as the other one of the pair.
#[test]
fn the_faster_engine_of_a_pair_is_learned() {
    let mut harness = ControllerHarness::builder().engines(2).build();

    let mut counts = [0; 2];
    for _ in 0..300 {
        let job = harness.submit(lookup(11));
        let slow = harness.was_sent_to(job, 1);
        counts[usize::from(slow)] += 1;
        harness.advance(20.0);
        harness.complete(job, if slow { 900.0 } else { 100.0 });
    }

    expect!["[299, 1]"].assert_eq(&format!("{counts:?}"));
}

/// Guards against overloading the pair of a busy table group: the first large job of every gateway would go there. A
/// gateway can't balance jobs with more work than its share of an engine by its own figures, so they start their walk
/// at a random engine.
#[test]
fn large_jobs_of_many_gateways_spread_over_all_engines() {
    let mut lines = String::new();
    for cost in [50.0, 3000.0] {
        let mut jobs_at = [0; 8];
        for ordinal in 0..40 {
            let mut harness = ControllerHarness::builder()
                .engines(8)
                .large_gateway_fleet()
                .health_check_price(1.0)
                .gateway_ordinal(ordinal)
                .build();
            for group in 0..30 {
                let usual = lookup(100 + group).cost_ms(400.0);
                let job = harness.submit(if group == 29 { lookup(11).cost_ms(cost) } else { usual });
                harness.advance(100.0);
                harness.complete(job, 100.0);
            }
            jobs_at[harness.dispatches[29].engine as usize] += 1;
        }
        writeln!(lines, "{cost} ms: {jobs_at:?}").unwrap();
    }

    expect![[r"
        50 ms: [0, 16, 0, 0, 0, 0, 0, 24]
        3000 ms: [2, 3, 1, 11, 4, 12, 1, 6]
    "]]
    .assert_eq(&lines);
}
