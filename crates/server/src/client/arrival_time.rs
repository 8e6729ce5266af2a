//! Estimates when received messages arrived. A process that gets little processor time reads them late, while the
//! clients' timeouts are already running.

use pebblevane::time::{TimeDelta, Timestamp};

/// The events of a wait that returns within this time had arrived before it began. The call itself may take some tenths
/// of a millisecond if the process has only a fraction of a core.
const MAX_IMMEDIATE_RETURN: TimeDelta = TimeDelta::from_millis(2);
/// A wait that exceeds its timeout by more than this was delayed by the system.
const MAX_RETURN_DELAY: TimeDelta = TimeDelta::from_millis(10);

/// Estimates arrival times from the waits for events of one thread.
pub struct ArrivalTimeEstimator {
    /// All events that arrived before this time have been returned by a wait.
    seen_until: Timestamp,
}

/// One wait for events.
pub struct PollWait {
    /// When the wait began.
    pub started_at: Timestamp,
    /// When it returned.
    pub returned_at: Timestamp,
    /// The maximum duration that was requested.
    pub timeout: TimeDelta,
    /// Whether a signal interrupted the wait, which then returned no events.
    pub interrupted: bool,
}

impl PollWait {
    /// Whether the events had arrived before the wait began.
    pub fn returned_immediately(&self) -> bool {
        self.returned_at - self.started_at < MAX_IMMEDIATE_RETURN
    }

    fn was_delayed(&self) -> bool {
        self.returned_at - self.started_at > self.timeout + MAX_RETURN_DELAY
    }
}

impl ArrivalTimeEstimator {
    /// An estimator for a thread that begins its first wait now.
    pub fn new(now: Timestamp) -> ArrivalTimeEstimator {
        ArrivalTimeEstimator { seen_until: now }
    }

    /// The earliest time at which the events that a wait has returned can have arrived.
    ///
    /// Events that were returned immediately arrived before the wait began, but after those of earlier waits. If the
    /// system delayed the return, the events may have arrived at any time during the wait. Otherwise the wait returned
    /// as soon as they arrived.
    pub fn earliest_arrival(&mut self, wait: &PollWait) -> Timestamp {
        let was_delayed = wait.was_delayed();
        let earliest = if wait.returned_immediately() {
            self.seen_until
        } else if was_delayed {
            wait.started_at
        } else {
            wait.returned_at
        };
        // A delayed or interrupted wait may have missed events that arrived after it began.
        self.seen_until = if was_delayed || wait.interrupted { wait.started_at } else { wait.returned_at };
        earliest
    }
}
