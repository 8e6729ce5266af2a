//! A graceful close in progress.
//!
//! Pending answers are written, then this side of the connection is shut down. What the client still sends is read and
//! discarded until it shuts down its side too: closing a connection with unread bytes would reset it, and the client
//! would lose answers that it has not received yet.

use std::time::{Duration, Instant};

/// How long the client may take to shut down its side of the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same while new connections wait for a descriptor: long enough for a request that the client sent before it saw
/// the shutdown to arrive.
const LINGER_TIMEOUT_AT_CAPACITY: Duration = Duration::from_millis(50);
/// How many bytes the client may send during the close.
const LINGER_BYTES: usize = 256 * 1024;

/// The state of a graceful close.
pub(super) struct ClosingConnection {
    /// When this side was shut down; `None` while answers are still to be written.
    ended_at: Option<Instant>,
    remaining_bytes: usize,
}

impl ClosingConnection {
    pub fn new() -> ClosingConnection {
        ClosingConnection { ended_at: None, remaining_bytes: LINGER_BYTES }
    }

    /// Counts bytes that were read and discarded; false once the client has sent too many.
    pub fn discard(&mut self, count: usize) -> bool {
        self.remaining_bytes = self.remaining_bytes.saturating_sub(count);
        self.remaining_bytes > 0
    }

    /// Whether this side of the connection was shut down.
    pub fn has_ended(&self) -> bool {
        self.ended_at.is_some()
    }

    /// Records that this side of the connection was shut down.
    pub fn set_ended(&mut self) {
        self.ended_at = Some(Instant::now());
    }

    /// Whether the client has not shut down its side in time.
    pub fn is_overdue(&self) -> bool {
        self.ended_longer_than(LINGER_TIMEOUT)
    }

    /// The same with the shorter limit that applies while new connections wait for a descriptor.
    pub fn is_overdue_at_capacity(&self) -> bool {
        self.ended_longer_than(LINGER_TIMEOUT_AT_CAPACITY)
    }

    fn ended_longer_than(&self, timeout: Duration) -> bool {
        self.ended_at.is_some_and(|ended_at| ended_at.elapsed() > timeout)
    }
}
