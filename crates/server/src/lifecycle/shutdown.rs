//! The schedule of a graceful shutdown.
//!
//! Health checks fail from the start of the shutdown. For one second, new connections and requests are still accepted.
//! Then the listener is closed, and each connection once it is idle. The process exits when all connections are closed,
//! or at the end of the schedule.

use crate::lifecycle::clock;
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::OnceLock;

/// How long new connections are accepted after the shutdown has begun.
const ACCEPT_WINDOW: TimeDelta = TimeDelta::from_millis(1_000);
/// The time allowed after the longest client timeout for answering every admitted job.
const ANSWER_MARGIN: TimeDelta = TimeDelta::from_millis(400);
/// The longest client timeout that the schedule waits for.
const MAX_SCHEDULED_CLIENT_TIMEOUT: TimeDelta = TimeDelta::from_millis(3_000);
/// How long clients may take to read the last answers. The process may be killed 0.1 s after that.
const FLUSH_WINDOW: TimeDelta = TimeDelta::from_millis(200);

/// When each step of a graceful shutdown ends.
#[derive(Clone, Copy)]
pub struct ShutdownSchedule {
    /// New connections are accepted, and idle ones stay open, until this time.
    pub accept_until: Timestamp,
    /// Every admitted job is answered by this time.
    pub answered_by: Timestamp,
    /// The process exits at this time at the latest.
    pub exit_at: Timestamp,
}

/// Whether the process is shutting down.
#[derive(Default)]
pub struct ShutdownState(OnceLock<ShutdownSchedule>);

impl ShutdownState {
    /// The answer to health checks: false once a shutdown has begun.
    pub fn is_healthy(&self) -> bool {
        self.0.get().is_none()
    }

    /// The schedule of the shutdown in progress, if one is.
    pub fn schedule(&self) -> Option<ShutdownSchedule> {
        self.0.get().copied()
    }

    /// Begins the shutdown and returns its schedule, or returns `None` if it has already begun.
    pub fn begin(&self, longest_client_timeout: TimeDelta) -> Option<ShutdownSchedule> {
        let now = clock::now();
        let answered_by = now + longest_client_timeout.min(MAX_SCHEDULED_CLIENT_TIMEOUT) + ANSWER_MARGIN;
        let schedule = ShutdownSchedule {
            accept_until: (now + ACCEPT_WINDOW).min(answered_by),
            answered_by,
            exit_at: answered_by + FLUSH_WINDOW,
        };
        self.0.set(schedule).is_ok().then_some(schedule)
    }
}
