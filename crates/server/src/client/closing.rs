//! A graceful close in progress.
//!
//! The answers that were given are written, then this side of the connection ends. What the client still sends is read
//! and discarded until it ends its side too: closing a connection with unread bytes would reset it, and lose the
//! answers that are still on their way.

use std::time::{Duration, Instant};

/// How long the client may take to end its side of the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same where new connections wait for a descriptor: as long as a request may cross the end on its way.
const LINGER_TIMEOUT_AT_CAPACITY: Duration = Duration::from_millis(50);
/// How much the client may send meanwhile.
const LINGER_BYTES: usize = 256 * 1024;

/// The state of a graceful close.
pub(super) struct ClosingConnection {
    /// When this side was ended; `None` while answers are still to be written.
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

    /// Whether this side of the connection was ended.
    pub fn has_ended(&self) -> bool {
        self.ended_at.is_some()
    }

    /// Notes that this side of the connection was ended.
    pub fn set_ended(&mut self) {
        self.ended_at = Some(Instant::now());
    }

    /// Whether the client has had long enough to end its side.
    pub fn is_overdue(&self) -> bool {
        self.ended_longer_than(LINGER_TIMEOUT)
    }

    /// The same where new connections wait for a descriptor.
    pub fn is_overdue_at_capacity(&self) -> bool {
        self.ended_longer_than(LINGER_TIMEOUT_AT_CAPACITY)
    }

    fn ended_longer_than(&self, timeout: Duration) -> bool {
        self.ended_at.is_some_and(|ended_at| ended_at.elapsed() > timeout)
    }
}
