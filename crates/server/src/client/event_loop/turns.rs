//! The order in which connections are read, so that no client delays the others.
//!
//! Each connection that has received something gets one bounded turn at a time. Connections whose messages are refused,
//! or which send very many at once, are read after all others, and get only a part of the thread's time together,
//! however many they are.

#[cfg(test)]
mod tests;

use crate::client::reading::ReadProgress;
use crate::session::connection_failures::ConnectionId;
use pebblevane::time::Timestamp;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The maximum time for the turns of one pass. After it, the events that have occurred in the meantime are collected, so
/// that clients that have disconnected are noticed.
const MAX_PASS_TIME: Duration = Duration::from_millis(10);
/// After each turn of a low-priority connection, this many times its duration pass before the next one.
const LOW_PRIORITY_REST_FACTOR: u32 = 3;

/// A connection that has received something.
#[derive(Clone, Copy)]
pub(super) struct Turn {
    pub connection: ConnectionId,
    /// The earliest time at which the bytes can have arrived.
    pub earliest_arrival: Timestamp,
}

/// How a connection is queued.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(in crate::client) enum Priority {
    Usual,
    /// Its messages were refused, or it sent as many as allowed in its last turn.
    Low,
}

impl Priority {
    /// The priority of a connection after a turn.
    pub(in crate::client) fn after_turn(consecutive_refusals: u32, progress: ReadProgress) -> Priority {
        if consecutive_refusals > 0 || progress == ReadProgress::MessageLimitReached {
            Priority::Low
        } else {
            Priority::Usual
        }
    }
}

/// The connections that wait for their turn. Each is queued at most once; the caller ensures this.
pub(super) struct TurnQueue {
    usual: VecDeque<Turn>,
    low_priority: VecDeque<Turn>,
    /// No low-priority connection is read before this time.
    low_priority_from: Instant,
    pass_ends_at: Instant,
}

impl TurnQueue {
    /// An empty queue.
    pub(super) fn new() -> TurnQueue {
        let now = Instant::now();
        TurnQueue {
            usual: VecDeque::new(),
            low_priority: VecDeque::new(),
            low_priority_from: now,
            pass_ends_at: now,
        }
    }

    /// Adds a connection.
    pub(super) fn push(&mut self, turn: Turn, priority: Priority) {
        match priority {
            Priority::Usual => self.usual.push_back(turn),
            Priority::Low => self.low_priority.push_back(turn),
        }
    }

    /// Begins a pass.
    pub(super) fn begin_pass(&mut self) {
        self.pass_ends_at = Instant::now() + MAX_PASS_TIME;
    }

    /// Takes the next connection to be read in this pass, with its priority.
    pub(super) fn pop(&mut self) -> Option<(Turn, Priority)> {
        let now = Instant::now();
        if now >= self.pass_ends_at {
            return None;
        }
        if let Some(turn) = self.usual.pop_front() {
            return Some((turn, Priority::Usual));
        }
        let is_allowed = now >= self.low_priority_from;
        let turn = is_allowed.then(|| self.low_priority.pop_front()).flatten()?;
        Some((turn, Priority::Low))
    }

    /// Records how long the turn of a low-priority connection took.
    pub(super) fn record_low_priority_turn(&mut self, started_at: Instant) {
        let now = Instant::now();
        self.low_priority_from = now + (now - started_at) * LOW_PRIORITY_REST_FACTOR;
    }

    /// How long until a queued connection can be read; `None` if none is queued.
    pub(super) fn next_turn_in(&self) -> Option<Duration> {
        if !self.usual.is_empty() {
            return Some(Duration::ZERO);
        }
        let until_allowed = self.low_priority_from.saturating_duration_since(Instant::now());
        (!self.low_priority.is_empty()).then_some(until_allowed)
    }
}
