//! When what a wait has found can have arrived at the earliest.

use pebblevane::time::{TimeDelta, Timestamp};
use pebblevane_server::client::arrival_time::{ArrivalTimeEstimator, PollWait};

const TIMEOUT_MS: i64 = 100;

fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1000)
}

fn wait(started_ms: i64, returned_ms: i64) -> PollWait {
    PollWait {
        started_at: at(started_ms),
        returned_at: at(returned_ms),
        timeout: TimeDelta(TIMEOUT_MS * 1000),
        interrupted: false,
    }
}

#[test]
fn events_that_end_a_wait_have_just_arrived() {
    let mut arrivals = ArrivalTimeEstimator::new(at(0));
    assert_eq!(arrivals.earliest_arrival(&wait(0, 50)), at(50));
}

#[test]
fn events_found_immediately_may_have_arrived_since_the_previous_wait() {
    let mut arrivals = ArrivalTimeEstimator::new(at(0));
    arrivals.earliest_arrival(&wait(0, 50));
    assert_eq!(arrivals.earliest_arrival(&wait(80, 81)), at(50));
    assert_eq!(arrivals.earliest_arrival(&wait(90, 91)), at(81));
}

#[test]
fn events_of_a_delayed_wait_may_have_arrived_since_it_began() {
    let mut arrivals = ArrivalTimeEstimator::new(at(0));
    assert_eq!(arrivals.earliest_arrival(&wait(10, 10 + TIMEOUT_MS + 11)), at(10));
    assert_eq!(arrivals.earliest_arrival(&wait(200, 201)), at(10), "nor has it seen all that came meanwhile");
}

#[test]
fn an_interrupted_wait_has_seen_nothing_of_what_arrived_during_it() {
    let mut arrivals = ArrivalTimeEstimator::new(at(0));
    arrivals.earliest_arrival(&PollWait { interrupted: true, ..wait(10, 50) });
    assert_eq!(arrivals.earliest_arrival(&wait(60, 61)), at(10));
}
