//! The queue of timers: what is due at some time, in the order of time and then of scheduling.

use crate::interface::JobId;
use crate::time::Timestamp;
use std::collections::BTreeMap;

/// What is due at some time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Periodic maintenance.
    Maintenance,
    /// The endpoint list is to be asked for again.
    PollEndpointList,
    /// The last moment for a job's final answer.
    AnswerDeadline(JobId),
    /// The last moment for the final answers of the jobs that were open when the shutdown began.
    ShutdownDeadline(Vec<JobId>),
    /// The next job of a key may run.
    KeyAvailable,
    /// The waiting jobs are to be tried again.
    PlaceWaitingJobs,
}

/// Timers in the order in which they fire.
#[derive(Default)]
pub struct TimerQueue {
    timers: BTreeMap<(Timestamp, u64), Timer>,
    last_sequence: u64,
}

impl TimerQueue {
    /// Schedules a timer; those of one time fire in the order of scheduling.
    pub fn schedule_at(&mut self, when: Timestamp, timer: Timer) {
        self.last_sequence += 1;
        self.timers.insert((when, self.last_sequence), timer);
    }

    /// Takes the first timer that is due.
    pub fn pop_due(&mut self, now: Timestamp) -> Option<Timer> {
        let first = self.timers.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// When the first timer is due.
    pub fn next_at(&self) -> Option<Timestamp> {
        self.timers.keys().next().map(|(when, _)| *when)
    }
}
