//! Conversion of engines' start times, which were taken with a wall clock, to the monotonic clock. Wall clocks may be
//! stepped, and a wrong start time gives an engine a wrong age (rule 4): an engine that seems older than it is gets
//! more load than it can handle.

use expect_test::expect;
use pebblevane::time::Timestamp;
use pebblevane_server::codec::event_bus::UnixTime;
use pebblevane_server::discovery::start_time_converter::StartTimeConverter;
use std::fmt::Write as _;

/// One second in microseconds, the unit of [`Timestamp`] and [`UnixTime`].
const SECOND_US: i64 = 1_000_000;

/// The wall-clock time minus the monotonic time before any step.
const WALL_OFFSET_US: i64 = 1_700_000_000 * SECOND_US;

/// The monotonic time at which start times are converted.
const NOW_US: i64 = 500 * SECOND_US;

/// The age, in seconds, that the converter gives an engine which started `ago` seconds before [`NOW_US`].
///
/// The start time was taken with a wall clock that is `engine_step` seconds ahead of this machine's before any step.
/// From second 497 of the monotonic clock on, this machine's wall clock is recorded once a second, ahead by each of
/// `own_steps` in turn. The endpoint list was last complete without the start at second `complete`.
fn age(own_steps: &[i64], engine_step: i64, ago: i64, complete: Option<i64>) -> f64 {
    let mut converter = StartTimeConverter::default();
    converter.record_clocks(Timestamp(400 * SECOND_US), UnixTime(WALL_OFFSET_US + 400 * SECOND_US));
    for (at, step) in (497..).zip(own_steps) {
        converter
            .record_clocks(Timestamp(at * SECOND_US), UnixTime(WALL_OFFSET_US + (at + step) * SECOND_US));
    }
    let wall_start = UnixTime(WALL_OFFSET_US + NOW_US + (engine_step - ago) * SECOND_US);
    let started =
        converter.start_time(wall_start, Timestamp(NOW_US), complete.map(|at| Timestamp(at * SECOND_US)));
    (Timestamp(NOW_US) - started).as_millis_f64() / 1000.0
}

/// A step of either wall clock must not make an engine seem much older than it is: a start is listed within 10 s, so an
/// earlier one is not plausible. The age may be underestimated.
#[test]
fn an_engines_age_survives_steps_of_either_wall_clock() {
    let mut trace = String::new();
    for step in [0, 5, -5, 3600, -3600] {
        // This machine's clock and the one that the start time is taken with are stepped together, or only one of them.
        for (what, own_step, engine_step) in [("both", step, step), ("own", step, 0), ("other", 0, step)] {
            let ages = [1, 2, 8, 20].map(|ago| age(&[own_step], engine_step, ago, Some(499)));
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

/// At the program's start the list has not been complete before, so a start may be any time ago: its time is converted
/// as it is, and only times in the future count as now.
#[test]
fn start_times_have_no_minimum_before_the_list_is_complete() {
    let ages = [-3600, -1, 0, 20, 3600].map(|ago| age(&[], 0, ago, None));

    expect!["[0.0, 0.0, 0.0, 20.0, 3600.0]"].assert_eq(&format!("{ages:?}"));
}

#[test]
fn a_start_time_converter_still_knows_the_latest_of_many_steps() {
    let steps: Vec<i64> = (0..40).map(|step| step * 7).collect();

    expect!["1.0"].assert_eq(&format!("{:.1}", age(&steps, 39 * 7, 1, Some(499))));
}
