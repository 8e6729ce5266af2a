//! The receiving side of a connection to an engine. Two threads use it: the socket poller reads it, and the pool checks
//! it for pending input before it reuses the connection.
//!
//! Bytes are read and parsed under one lock. Whenever the lock is free, each byte is either still in the socket, or in
//! the buffer of an incomplete message, or in a message that the reader is about to pass on.

use crate::codec::engine::{EngineMessage, parse_message};
use crate::engine::connection_error::ConnectionLostReason;
use crate::lifecycle::sync::lock;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The maximum buffer capacity that a connection retains while it has no incomplete message.
const RETAINED_BUFFER_BYTES: usize = 4096;

/// A message that was read.
pub(crate) struct ReceivedMessage {
    /// The id, as sent on the wire, of the request that it answers.
    pub(crate) wire_id: String,
    pub(crate) message: EngineMessage,
    /// When it was read.
    pub(crate) read_at: Instant,
}

/// The result of one read.
pub(crate) struct ReadResult {
    /// The messages that this read has completed.
    pub(crate) messages: Vec<ReceivedMessage>,
    /// Whether there may be more to read, or why the connection has ended.
    pub(crate) progress: Result<ReadProgress, ConnectionLostReason>,
}

/// How far a connection has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadProgress {
    /// There is nothing more to read.
    AllRead,
    /// There may be more to read.
    MoreAvailable,
}

/// The receiving side of one connection.
pub(crate) struct ConnectionInput {
    stream: Arc<TcpStream>,
    state: Mutex<InputState>,
}

struct InputState {
    /// The bytes of an incomplete message.
    buffer: Vec<u8>,
    last_read: Instant,
    /// Whether reading has failed, or has reached the end of the stream.
    has_ended: bool,
}

impl ConnectionInput {
    /// The receiving side of a non-blocking connection from which nothing has been read yet.
    pub(crate) fn new(stream: Arc<TcpStream>) -> ConnectionInput {
        let state = InputState { buffer: Vec::new(), last_read: Instant::now(), has_ended: false };
        ConnectionInput { stream, state: Mutex::new(state) }
    }

    /// The file descriptor to poll.
    pub(crate) fn descriptor(&self) -> RawFd {
        self.stream.as_raw_fd()
    }

    /// Reads once. The lock is released before the caller passes the messages on.
    pub(crate) fn read(&self, read_buffer: &mut [u8]) -> ReadResult {
        let mut state = lock(&self.state);
        let mut messages = Vec::new();
        let progress = state.read(&self.stream, read_buffer, &mut messages);
        state.has_ended |= progress.is_err();
        ReadResult { messages, progress }
    }

    /// Whether nothing has been received since the last complete message, and the connection has not ended. Waits for a
    /// read that is in progress.
    pub(crate) fn is_quiet(&self) -> bool {
        let state = lock(&self.state);
        !state.has_ended && state.buffer.is_empty() && self.has_nothing_unread()
    }

    fn has_nothing_unread(&self) -> bool {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
                Ok(_) => return false,
            }
        }
    }

    /// The time until an incomplete message counts as stalled; `None` if there is none.
    pub(crate) fn time_until_stalled(&self, stall_timeout: Duration) -> Option<Duration> {
        let state = lock(&self.state);
        let is_incomplete = !state.buffer.is_empty();
        is_incomplete.then(|| stall_timeout.saturating_sub(state.last_read.elapsed()))
    }
}

impl InputState {
    fn read(
        &mut self,
        mut stream: &TcpStream,
        read_buffer: &mut [u8],
        messages: &mut Vec<ReceivedMessage>,
    ) -> Result<ReadProgress, ConnectionLostReason> {
        match stream.read(read_buffer) {
            Ok(0) => return Err(ConnectionLostReason::ClosedByEngine),
            Ok(count) => self.buffer.extend_from_slice(&read_buffer[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => return Ok(ReadProgress::MoreAvailable),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadProgress::AllRead),
            Err(e) => return Err(ConnectionLostReason::Read(e)),
        }
        self.last_read = Instant::now();
        self.take_messages(messages)?;
        Ok(ReadProgress::MoreAvailable)
    }

    /// Moves the complete messages from the buffer to `messages`.
    fn take_messages(&mut self, messages: &mut Vec<ReceivedMessage>) -> Result<(), ConnectionLostReason> {
        let mut parsed_bytes = 0;
        while let Some(parsed) = parse_message(&self.buffer[parsed_bytes..])? {
            parsed_bytes += parsed.length;
            messages.push(ReceivedMessage {
                wire_id: parsed.id,
                message: parsed.message,
                read_at: self.last_read,
            });
        }
        self.buffer.drain(..parsed_bytes);
        if self.buffer.is_empty() {
            self.buffer.shrink_to(RETAINED_BUFFER_BYTES);
        }
        Ok(())
    }
}
