//! A planned stop, and its sequence: not well at once; new connections and requests for a second; no new
//! connections; answers to all that was taken; the end of each connection, in order; the end of the program.

use crate::lifecycle::clock;
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::OnceLock;

const COMING: TimeDelta = TimeDelta(1_000_000); // new jobs may still come for so long after the signal
const AFTER: TimeDelta = TimeDelta(400_000); // so long after the longest wait every job has its answer: a kill may follow
const LONGEST: TimeDelta = TimeDelta(3_000_000); // but a kill counts no wait as longer than this
const LEAVING: TimeDelta = TimeDelta(200_000); // for the last answers to leave: a kill comes 0.1 s later at the soonest

/// When each step of a stop ends.
#[derive(Clone, Copy)]
pub struct ShutdownSchedule {
    /// Until then new connections are accepted, and those that rest are kept.
    pub coming: Timestamp,
    /// By then all that was taken has its answer.
    pub answered: Timestamp,
    /// Then the program ends, whatever is still open.
    pub over: Timestamp,
}

#[derive(Default)]
pub struct ShutdownState(OnceLock<ShutdownSchedule>);

impl ShutdownState {
    pub fn is_well(&self) -> bool {
        self.0.get().is_none()
    }
    /// The steps of the stop under way, if one is.
    pub fn stopping(&self) -> Option<ShutdownSchedule> {
        self.0.get().copied()
    }

    /// Begins the stop and says when its steps end; none if it has begun before.
    pub fn begin(&self, longest_wait: TimeDelta) -> Option<ShutdownSchedule> {
        let now = clock::now();
        let answered = now + longest_wait.min(LONGEST) + AFTER;
        let schedule =
            ShutdownSchedule { coming: (now + COMING).min(answered), answered, over: answered + LEAVING };
        self.0.set(schedule).is_ok().then_some(schedule)
    }
}
