//! The schedule of a graceful shutdown.
//!
//! Health checks fail from the start of the shutdown. For a second new connections and requests are still accepted;
//! then the listener is closed and each connection once it is idle. When all admitted jobs have their answer, or the
//! schedule is over, the process exits.

use crate::lifecycle::clock;
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::OnceLock;

/// How long new connections are accepted after the signal.
const ACCEPT_WINDOW: TimeDelta = TimeDelta(1_000_000);
/// After the longest client timeout, how much later every admitted job has its answer.
const ANSWER_MARGIN: TimeDelta = TimeDelta(400_000);
/// The longest client timeout that the schedule allows for.
const MAX_CLIENT_TIMEOUT: TimeDelta = TimeDelta(3_000_000);
/// How long the last answers may take to be read. The process is killed 0.1 s after that at the earliest.
const FLUSH_WINDOW: TimeDelta = TimeDelta(200_000);

/// When each step of a shutdown ends.
#[derive(Clone, Copy)]
pub struct ShutdownSchedule {
    /// Until then new connections are accepted, and idle ones are kept.
    pub accept_until: Timestamp,
    /// By then every admitted job has its answer.
    pub answered_by: Timestamp,
    /// The process exits then, whatever is still open.
    pub exit_at: Timestamp,
}

/// Whether the process is shutting down.
#[derive(Default)]
pub struct ShutdownState(OnceLock<ShutdownSchedule>);

impl ShutdownState {
    /// What a health check is answered: false once a shutdown has begun.
    pub fn is_healthy(&self) -> bool {
        self.0.get().is_none()
    }

    /// The schedule of the shutdown in progress, if one is.
    pub fn schedule(&self) -> Option<ShutdownSchedule> {
        self.0.get().copied()
    }

    /// Begins the shutdown and returns its schedule, or `None` if it has begun before.
    pub fn begin(&self, longest_client_timeout: TimeDelta) -> Option<ShutdownSchedule> {
        let now = clock::now();
        let answered_by = now + longest_client_timeout.min(MAX_CLIENT_TIMEOUT) + ANSWER_MARGIN;
        let schedule = ShutdownSchedule {
            accept_until: (now + ACCEPT_WINDOW).min(answered_by),
            answered_by,
            exit_at: answered_by + FLUSH_WINDOW,
        };
        self.0.set(schedule).is_ok().then_some(schedule)
    }
}
