//! The scheduled timers of the controller, in the order in which they fire.

use crate::interface::JobId;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// What the controller does when a timer fires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Runs the periodic maintenance.
    Maintenance,
    /// Requests the endpoint list again.
    PollEndpointList,
    /// Gives a job its final answer, if it still has none.
    AnswerDeadline(JobId),
    /// Gives a final answer to each of these jobs that still has none. They were open when the shutdown began.
    ShutdownDeadline(Vec<JobId>),
    /// Places the waiting jobs, because the next job of a key may run now.
    KeyAvailable,
    /// Places the waiting jobs, because an engine may have capacity now.
    PlaceWaitingJobs,
}

/// Timers, ordered by their time and, at equal times, by the order of scheduling.
#[derive(Default)]
pub struct TimerQueue {
    timers: BTreeMap<(Timestamp, u64), Timer>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Schedules a timer. Timers for the same time fire in the order of scheduling.
    pub fn schedule_at(&mut self, when: Timestamp, timer: Timer) {
        self.last_sequence += 1;
        self.timers.insert((when, self.last_sequence), timer);
    }

    /// Removes and returns the first timer that is due.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        let first = self.timers.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// When the first timer fires.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.timers.keys().next().map(|(when, _)| *when)
    }
}
