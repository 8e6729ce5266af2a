//! The earliest time at which the events that a wait has returned can have arrived. A client's timeout counts from the
//! arrival of its request: if the estimate were too late, the client could stop waiting before the program answers.

use pebblevane::time::{TimeDelta, Timestamp};
use pebblevane_server::client::arrival_time::{ArrivalTimeEstimator, PollWait};

/// The timeout of each wait.
const POLL_TIMEOUT_MS: i64 = 100;
/// How much a wait exceeds its timeout if the system has delayed its return: just over the 10 ms up to which a wait
/// does not count as delayed.
const RETURN_DELAY_MS: i64 = 11;

fn at(ms: i64) -> Timestamp {
    Timestamp(ms * 1000)
}

fn wait(started_ms: i64, returned_ms: i64) -> PollWait {
    PollWait {
        started_at: at(started_ms),
        returned_at: at(returned_ms),
        timeout: TimeDelta::from_millis(POLL_TIMEOUT_MS),
        interrupted: false,
    }
}

#[test]
fn events_that_end_a_wait_arrived_when_it_returned() {
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
    let delayed = wait(10, 10 + POLL_TIMEOUT_MS + RETURN_DELAY_MS);
    assert_eq!(arrivals.earliest_arrival(&delayed), at(10));
    assert_eq!(arrivals.earliest_arrival(&wait(200, 201)), at(10), "the delayed wait may have missed events");
}

#[test]
fn events_that_arrive_during_an_interrupted_wait_are_returned_by_the_next_one() {
    let mut arrivals = ArrivalTimeEstimator::new(at(0));
    arrivals.earliest_arrival(&PollWait { interrupted: true, ..wait(10, 50) });
    assert_eq!(arrivals.earliest_arrival(&wait(60, 61)), at(10));
}
