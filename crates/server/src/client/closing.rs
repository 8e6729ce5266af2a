//! A graceful close in progress.
//!
//! Pending answers are written, then this side of the connection is shut down. What the client still sends is read and
//! discarded until it shuts down its side too: closing a connection with unread bytes would reset it, and the client
//! would lose answers that it has not received yet.

use std::time::{Duration, Instant};

/// The maximum time that the client may take to shut down its side of the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same maximum while new connections wait for a descriptor. It is long enough to receive a request that the client
/// sent before it noticed that this side was shut down.
const LINGER_TIMEOUT_AT_CAPACITY: Duration = Duration::from_millis(50);
/// The maximum number of bytes that the client may send during the close.
const MAX_LINGER_BYTES: usize = 256 * 1024;

/// The state of a graceful close.
pub(super) struct ClosingConnection {
    /// When this side was shut down; `None` while answers are pending.
    half_closed_at: Option<Instant>,
    /// How many more bytes the client may send.
    remaining_bytes: usize,
}

impl ClosingConnection {
    pub fn new() -> ClosingConnection {
        ClosingConnection { half_closed_at: None, remaining_bytes: MAX_LINGER_BYTES }
    }

    /// Counts bytes that were read and discarded; returns false once the client has sent too many.
    pub fn discard(&mut self, count: usize) -> bool {
        self.remaining_bytes = self.remaining_bytes.saturating_sub(count);
        self.remaining_bytes > 0
    }

    /// Whether this side of the connection was shut down.
    pub fn is_half_closed(&self) -> bool {
        self.half_closed_at.is_some()
    }

    /// Records that this side of the connection was shut down.
    pub fn record_half_close(&mut self) {
        self.half_closed_at = Some(Instant::now());
    }

    /// Whether the client has not shut down its side in time.
    pub fn is_overdue(&self) -> bool {
        self.half_closed_longer_than(LINGER_TIMEOUT)
    }

    /// As [`ClosingConnection::is_overdue`], with the shorter limit that applies while new connections wait for a
    /// descriptor.
    pub fn is_overdue_at_capacity(&self) -> bool {
        self.half_closed_longer_than(LINGER_TIMEOUT_AT_CAPACITY)
    }

    fn half_closed_longer_than(&self, timeout: Duration) -> bool {
        self.half_closed_at.is_some_and(|half_closed_at| half_closed_at.elapsed() > timeout)
    }
}
