//! How much of a connection is read in one turn, before its messages are processed and the others are served.

use super::context::ClientContext;
use crate::codec::client::{self as codec, Frame};
use crate::limits::Permit;

/// The number of bytes of one connection that are read without a permit before they are processed.
const UNBUDGETED_BYTES_PER_TURN: usize = 64 * 1024;
/// The maximum number of bytes of one connection that are read before they are processed, as far as the budget allows.
/// A client may have left behind requests that do not fit into the system's buffers, and only reading shows that.
const MAX_BYTES_PER_TURN: usize = 1024 * 1024;
/// Reading stops once this many messages are complete, before the others are served. It is well above the number of
/// messages that a client sends at once: one for each request that may be open, and their cancellations.
const MAX_MESSAGES_PER_TURN: usize = 512;

/// How many bytes are read in a turn before any is processed. Those beyond [`UNBUDGETED_BYTES_PER_TURN`] need a permit.
pub(super) struct ReadAhead {
    bytes: usize,
    permit: Option<Permit>,
}

impl ReadAhead {
    /// The state at the beginning of a turn.
    pub fn new(context: &ClientContext) -> ReadAhead {
        ReadAhead { bytes: 0, permit: context.buffer_bytes.acquire(0) }
    }

    /// Records that bytes were read.
    pub fn record(&mut self, count: usize) {
        self.bytes += count;
    }

    /// Whether more may be read.
    pub fn is_allowed(&mut self) -> bool {
        let budgeted_bytes = self.bytes.saturating_sub(UNBUDGETED_BYTES_PER_TURN);
        self.bytes < MAX_BYTES_PER_TURN
            && (budgeted_bytes == 0
                || self.permit.as_mut().is_some_and(|permit| permit.grow_to(budgeted_bytes)))
    }
}

/// Counts the messages that are complete in a buffer to which bytes are appended.
#[derive(Default)]
pub(super) struct MessageCounter {
    messages: usize,
    /// The total length of these messages in bytes.
    length: usize,
}

impl MessageCounter {
    /// Whether `received`, which begins with the bytes of the previous call, has as many complete messages as are read in
    /// a turn.
    pub fn limit_is_reached(&mut self, received: &[u8]) -> bool {
        while let Frame::Complete(length) = codec::frame(&received[self.length..]) {
            self.messages += 1;
            self.length += length;
        }
        self.messages >= MAX_MESSAGES_PER_TURN
    }
}
