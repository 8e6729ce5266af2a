//! A message that is discarded while it arrives, because there is no memory to buffer it.
//!
//! Its request is rejected once its last byte has arrived. Closing the connection instead would lose all requests that
//! are open on it.

use crate::codec::client::{
    FrameScanner, Message, ProtocolError, RequestId, ScanProgress, decode_request_id,
};

/// A message of which the bytes received so far are discarded.
pub(super) struct DiscardedMessage {
    /// `None` if the message is no request.
    request_id: Option<RequestId>,
    scanner: FrameScanner,
}

impl DiscardedMessage {
    /// The message that begins with these bytes, of which none is discarded yet.
    pub fn new(beginning: &[u8]) -> DiscardedMessage {
        DiscardedMessage { request_id: decode_request_id(beginning), scanner: FrameScanner::default() }
    }

    /// Removes the bytes of the message from `received`, and returns whether its last byte was among them. A few bytes
    /// may remain before that: the beginning of a value's header.
    ///
    /// # Errors
    /// If the bytes violate the protocol.
    pub fn discard(&mut self, received: &mut Vec<u8>) -> Result<bool, ProtocolError> {
        let (scanned, is_complete) = match self.scanner.scan(received)? {
            ScanProgress::Complete { scanned } => (scanned, true),
            ScanProgress::Incomplete { scanned } => (scanned, false),
        };
        received.drain(..scanned);
        Ok(is_complete)
    }

    /// The message, once all of it was discarded.
    pub fn into_message(self) -> Message {
        self.request_id.map_or(Message::UnknownNotification, Message::Discarded)
    }
}
