//! When what is found on connections may have come. A program that is short of its core finds requests some time after
//! they came, and their clients' waits have run on meanwhile.

use pebblevane::time::{TimeDelta, Timestamp};

/// A wait for events that ends within this time found them there: the call alone takes a program with a tenth of a core
/// some tenths of a millisecond. Counting what came within it from the wait before is wrong by no more than a pass.
const AT_ONCE: TimeDelta = TimeDelta(2_000);
/// A wait that ends this much later than it was to was held up.
const HELD_UP: TimeDelta = TimeDelta(10_000);

/// The waits for events of one thread.
pub struct ArrivalTimeEstimator {
    /// Whatever had come by then has been found.
    seen_until: Timestamp,
}

/// One wait for events.
pub struct PollWait {
    pub began: Timestamp,
    pub ended: Timestamp,
    /// How long it was to be at the most.
    pub longest: TimeDelta,
    pub interrupted: bool,
}

impl PollWait {
    /// What it was for was there before it.
    pub fn found_at_once(&self) -> bool {
        self.ended - self.began < AT_ONCE
    }
}

impl ArrivalTimeEstimator {
    pub fn new(now: Timestamp) -> ArrivalTimeEstimator {
        ArrivalTimeEstimator { seen_until: now }
    }

    /// The earliest time at which events that a wait has found can have come, as far as the wait tells.
    pub fn earliest(&mut self, wait: &PollWait) -> Timestamp {
        let took = wait.ended - wait.began;
        let held_up = took > wait.longest + HELD_UP;
        let earliest = match () {
            _ if wait.found_at_once() => self.seen_until,
            _ if held_up => wait.began,
            _ => wait.ended,
        };
        self.seen_until = if held_up || wait.interrupted { wait.began } else { wait.ended };
        earliest
    }
}
