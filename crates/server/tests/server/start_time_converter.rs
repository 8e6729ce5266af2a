//! Rule 4 rests on engines' ages: start times, stamped by wall clocks that are stepped, on the monotonic clock.

use expect_test::expect;
use pebblevane::time::Timestamp;
use pebblevane_server::codec::event_bus::UnixTime;
use pebblevane_server::discovery::start_time_converter::StartTimeConverter;
use std::fmt::Write as _;

/// In microseconds.
const SECOND: i64 = 1_000_000;

/// What the wall clock shows over the monotonic one before any step.
const WALL: i64 = 1_700_000_000 * SECOND;

const NOW: i64 = 500 * SECOND;

/// How old an engine is by a clock that began at second 400, was stepped at second 497 and is read at second 500, if
/// its stamp was `ago` seconds before that by a wall clock `stamped` seconds ahead of the first one.
fn age(steps: &[i64], stamped: i64, ago: i64, complete: Option<i64>) -> f64 {
    let mut converter = StartTimeConverter::default();
    converter.record_clocks(Timestamp(400 * SECOND), UnixTime(WALL + 400 * SECOND));
    for (at, step) in (497..).zip(steps) {
        converter.record_clocks(Timestamp(at * SECOND), UnixTime(WALL + (at + step) * SECOND));
    }
    let stamp = UnixTime(WALL + NOW + (stamped - ago) * SECOND);
    let started = converter.start_time(stamp, Timestamp(NOW), complete.map(|at| Timestamp(at * SECOND)));
    (Timestamp(NOW) - started).as_millis_f64() / 1000.0
}

#[test]
fn an_engines_age_survives_steps_of_either_wall_clock() {
    let mut trace = String::new();
    for step in [0, 5, -5, 3600, -3600] {
        // This machine's clock and the stamping one were stepped together, or one of them alone.
        for (what, own, stamped) in [("both", step, step), ("own", step, 0), ("other", 0, step)] {
            let ages = [1, 2, 8, 20].map(|ago| age(&[own], stamped, ago, Some(499)));
            writeln!(trace, "step {step:>5} {what:<5} of 1, 2, 8, 20 s: {ages:?}").unwrap();
        }
    }

    expect![[r"
        step     0 both  of 1, 2, 8, 20 s: [1.0, 2.0, 8.0, 0.0]
        step     0 own   of 1, 2, 8, 20 s: [1.0, 2.0, 8.0, 0.0]
        step     0 other of 1, 2, 8, 20 s: [1.0, 2.0, 8.0, 0.0]
        step     5 both  of 1, 2, 8, 20 s: [1.0, 2.0, 3.0, 0.0]
        step     5 own   of 1, 2, 8, 20 s: [1.0, 2.0, 8.0, 0.0]
        step     5 other of 1, 2, 8, 20 s: [0.0, 0.0, 3.0, 0.0]
        step    -5 both  of 1, 2, 8, 20 s: [1.0, 2.0, 8.0, 0.0]
        step    -5 own   of 1, 2, 8, 20 s: [1.0, 2.0, 3.0, 0.0]
        step    -5 other of 1, 2, 8, 20 s: [6.0, 7.0, 0.0, 0.0]
        step  3600 both  of 1, 2, 8, 20 s: [1.0, 2.0, 8.0, 0.0]
        step  3600 own   of 1, 2, 8, 20 s: [1.0, 2.0, 8.0, 0.0]
        step  3600 other of 1, 2, 8, 20 s: [0.0, 0.0, 0.0, 0.0]
        step -3600 both  of 1, 2, 8, 20 s: [1.0, 2.0, 8.0, 0.0]
        step -3600 own   of 1, 2, 8, 20 s: [1.0, 2.0, 8.0, 0.0]
        step -3600 other of 1, 2, 8, 20 s: [0.0, 0.0, 0.0, 0.0]
    "]]
    .assert_eq(&trace);
}

/// So it is at the program's start; times in the future count as now.
#[test]
fn start_times_are_taken_as_stamped_before_a_complete_list() {
    let ages = [-3600, -1, 0, 20, 3600].map(|ago| age(&[], 0, ago, None));

    expect!["[0.0, 0.0, 0.0, 20.0, 3600.0]"].assert_eq(&format!("{ages:?}"));
}

#[test]
fn a_start_time_converter_retains_only_the_last_steps() {
    let steps: Vec<i64> = (0..40).map(|step| step * 7).collect();

    expect!["1.0"].assert_eq(&format!("{:.1}", age(&steps, 39 * 7, 1, Some(499))));
}
