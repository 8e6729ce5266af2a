//! Reads a client connection and splits what was received into messages.

use super::admission::{Outcome, handle_message};
use super::close_reason::{CloseReason, ReadError};
use super::connection::ClientConnection;
use super::context::ClientContext;
use super::discarded_message::DiscardedMessage;
use super::event_loop::turns::Priority;
use super::receive_buffer;
use super::turn_limits::{MessageCounter, ReadAhead};
use crate::codec::client::{self as codec, Frame, Message, ProtocolError, RequestId};
use crate::lifecycle::transient::is_transient_io_error;
use crate::session::connection_failures::ConnectionError;
use crate::telemetry::counters;
use crate::telemetry::invariants::{self, Invariant};
use pebblevane::time::Timestamp;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read};
use std::time::{Duration, Instant};

/// How many bytes of an incomplete message need no permit of the budget. Also the buffer capacity that a connection
/// retains when no message is incomplete.
const SMALL_BUFFER_BYTES: usize = 4096;
/// How long reading pauses after a refused message, multiplied by the number of consecutive refusals. Also the pause
/// after a temporary read error.
const BASE_PAUSE: Duration = Duration::from_millis(5);
/// The maximum factor by which consecutive refusals lengthen the pause.
const MAX_PAUSE_FACTOR: u32 = 20;
/// The maximum factor while a request is open. A cancellation has to be read well within 0.1 s, since no dispatch of
/// the cancelled job may be sent after that.
const MAX_PAUSE_FACTOR_WITH_OPEN_REQUEST: u32 = 4;

/// Why reading a connection stopped.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// All received bytes were read.
    AllRead,
    /// There may be more to read.
    MoreAvailable,
    /// As many messages as allowed in a turn were received, and there may be more to read.
    MessageLimitReached,
    /// Reading is paused because messages were refused or a read failed temporarily.
    Paused,
}

/// The messages that were received completely.
#[derive(Default)]
struct ReceivedMessages {
    messages: Vec<Message>,
    /// The total length of `messages` in bytes.
    length: usize,
    /// What is wrong with the bytes after `messages`.
    error: Option<ProtocolError>,
}

impl ClientConnection {
    /// Reads the received bytes, then processes their messages. All are read before any is processed, so that a client
    /// that has disconnected or cancelled a job is noticed before the job is admitted. `arrived_at` is the earliest
    /// time at which the bytes can have arrived.
    pub fn read(
        &mut self,
        context: &ClientContext,
        buffer: &mut [u8],
        arrived_at: Timestamp,
    ) -> Result<ReadProgress, ReadError> {
        let session = self.session.clone();
        let mut position = session.lock_read_position();
        let progress = self.read_and_process(context, buffer, arrived_at);
        position.inside_message = self.is_inside_message();
        progress
    }

    fn read_and_process(
        &mut self,
        context: &ClientContext,
        buffer: &mut [u8],
        arrived_at: Timestamp,
    ) -> Result<ReadProgress, ReadError> {
        let progress = self.receive(context, buffer)?;
        if self.closing.is_some() {
            return Ok(progress);
        }
        let refusals_before = self.consecutive_refusals;
        let processed = self.process_received(context, arrived_at);
        self.session.flush();
        processed?;
        self.priority = Priority::after_turn(self.consecutive_refusals, progress);
        if self.consecutive_refusals > refusals_before {
            self.paused_until = Some(Instant::now() + self.refusal_pause());
            return Ok(ReadProgress::Paused);
        }
        if progress == ReadProgress::AllRead && !self.is_inside_message() {
            self.check_cancellations();
        }
        Ok(progress)
    }

    /// Checks that each request that was cancelled by a peek at unread bytes has also been cancelled by a message. All
    /// received messages have been processed, so without one the client, whose connection is still open, is waiting for
    /// an answer that will not come.
    fn check_cancellations(&self) {
        for request_id in self.session.take_unconfirmed_cancellations() {
            invariants::report_violation(Invariant::CancelledByClient, &request_id.0.to_string());
        }
    }

    /// The pause after a refused message. It slows down clients that send many messages which are refused.
    fn refusal_pause(&self) -> Duration {
        let max_factor =
            if self.session.is_idle() { MAX_PAUSE_FACTOR } else { MAX_PAUSE_FACTOR_WITH_OPEN_REQUEST };
        BASE_PAUSE * self.consecutive_refusals.min(max_factor)
    }

    /// Reads received bytes, up to the limits of a turn. During a graceful close they are discarded.
    fn receive(&mut self, context: &ClientContext, buffer: &mut [u8]) -> Result<ReadProgress, ReadError> {
        let mut messages = MessageCounter::default();
        let mut read_ahead = ReadAhead::new(context);
        while read_ahead.is_allowed() {
            match self.session.stream().read(buffer) {
                Ok(0) => return Err(ReadError::Abort(CloseReason::ClosedByClient)),
                Ok(count) => {
                    read_ahead.record(count);
                    self.keep_or_discard(&buffer[..count]).map_err(ReadError::Abort)?;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadProgress::AllRead),
                Err(e) if is_reset_by_client(&e) => {
                    return Err(ReadError::Abort(ConnectionError::from(e).into()));
                }
                // Pending answers are still written; if the connection has failed, a later read reports its end.
                Err(_) if self.closing.is_some() => return Ok(ReadProgress::AllRead),
                Err(e) if is_transient_io_error(&e) => return Ok(self.pause_reading()),
                Err(e) => return Err(ReadError::Close(ConnectionError::from(e).into())),
            }
            if self.discarded.is_none() && messages.limit_is_reached(&self.received) {
                return Ok(ReadProgress::MessageLimitReached);
            }
        }
        Ok(ReadProgress::MoreAvailable)
    }

    /// Pauses reading after a temporary error of the system, such as a lack of memory.
    fn pause_reading(&mut self) -> ReadProgress {
        self.paused_until = Some(Instant::now() + BASE_PAUSE);
        ReadProgress::Paused
    }

    fn keep_or_discard(&mut self, bytes: &[u8]) -> Result<(), CloseReason> {
        if let Some(closing) = &mut self.closing {
            return closing.discard(bytes.len()).then_some(()).ok_or(CloseReason::LingerBytesExceeded);
        }
        self.session.record_activity();
        if !self.is_inside_message() {
            self.message_expected_since = Some(Instant::now());
        }
        receive_buffer::append(&mut self.received, bytes);
        Ok(())
    }

    /// Processes all messages that were received completely. An incomplete one stays in the buffer, or is discarded if
    /// there is no memory to buffer it.
    fn process_received(&mut self, context: &ClientContext, arrived_at: Timestamp) -> Result<(), ReadError> {
        if let Some(message) = self.discard_received()? {
            self.process_message(context, message, arrived_at)?;
        }
        if self.discarded.is_some() {
            return Ok(());
        }
        self.process_buffered(context, arrived_at)?;
        if !self.acquire_buffer() {
            self.begin_discarding()?;
        }
        Ok(())
    }

    /// Processes all messages that are completely in the buffer.
    fn process_buffered(&mut self, context: &ClientContext, arrived_at: Timestamp) -> Result<(), ReadError> {
        let ReceivedMessages { messages, length, error } = self.decode_received(&context.class_names);
        let last_cancellations = last_cancellations(&messages);
        for (position, message) in messages.into_iter().enumerate() {
            if self.is_cancelled_later(&message, position, &last_cancellations) {
                counters::JOBS_ABANDONED.increment();
                continue;
            }
            self.process_message(context, message, arrived_at)?;
        }
        if let Some(error) = error {
            return Err(error.into());
        }
        self.remove_processed(length);
        Ok(())
    }

    fn process_message(
        &mut self,
        context: &ClientContext,
        message: Message,
        arrived_at: Timestamp,
    ) -> Result<(), ReadError> {
        match handle_message(context, &self.session, message, arrived_at)? {
            Outcome::Accepted => self.consecutive_refusals = 0,
            Outcome::Refused => self.consecutive_refusals += 1,
        }
        Ok(())
    }

    /// Decodes messages up to the first incomplete or invalid one.
    fn decode_received(&self, class_names: &[String]) -> ReceivedMessages {
        let mut received = ReceivedMessages::default();
        loop {
            let rest = &self.received[received.length..];
            match codec::frame(rest) {
                Frame::Complete(length) => {
                    received.length += length;
                    match codec::decode(&rest[..length], class_names) {
                        Some(message) => received.messages.push(message),
                        None => received.error = Some(ProtocolError::UnknownMessageType),
                    }
                }
                Frame::Incomplete => return received,
                Frame::Invalid(error) => received.error = Some(error),
            }
            if received.error.is_some() {
                return received;
            }
        }
    }

    /// Whether this message submits a job that a later message of the same read cancels. Such a job is not admitted.
    fn is_cancelled_later(
        &self,
        message: &Message,
        position: usize,
        last_cancellations: &HashMap<RequestId, usize>,
    ) -> bool {
        let Message::Submit(request) = message else { return false };
        let cancelled_at = last_cancellations.get(&request.request_id);
        cancelled_at.is_some_and(|cancelled_at| *cancelled_at > position)
            && !self.session.is_open(request.request_id)
    }

    /// Removes the first `length` received bytes, which are complete messages.
    fn remove_processed(&mut self, length: usize) {
        self.received.drain(..length);
        if length > 0 {
            self.record_message_end();
        }
    }

    /// Records that the last byte of a message was processed. Any received bytes are of the next one.
    fn record_message_end(&mut self) {
        self.received.shrink_to(SMALL_BUFFER_BYTES);
        self.message_expected_since = (!self.received.is_empty()).then(Instant::now);
        self.awaits_first_message = false;
    }

    /// Adjusts the permit to the incomplete message in the buffer. Returns false if the budget is exhausted.
    fn acquire_buffer(&mut self) -> bool {
        let budgeted_bytes = self.received.len().saturating_sub(SMALL_BUFFER_BYTES);
        let granted = self.received_permit.grow_to(budgeted_bytes);
        if granted {
            self.received_permit.shrink_to(budgeted_bytes);
        }
        granted
    }

    /// Discards the incomplete message in the buffer, and the rest of it when that arrives.
    fn begin_discarding(&mut self) -> Result<(), ReadError> {
        tracing::debug!(bytes = self.received.len(), "no buffer memory left, incomplete message discarded");
        self.discarded = Some(DiscardedMessage::new(&self.received));
        let discarded = self.discard_received()?;
        debug_assert!(discarded.is_none(), "the buffered message is incomplete");
        self.received_permit.shrink_to(0);
        Ok(())
    }

    /// Discards the received bytes of the message that is being discarded, if there is one. Returns the message once its
    /// last byte was discarded.
    fn discard_received(&mut self) -> Result<Option<Message>, ReadError> {
        let Some(discarded) = &mut self.discarded else { return Ok(None) };
        let is_complete = discarded.discard(&mut self.received)?;
        // No memory is retained between reads, since it is not budgeted.
        self.received.shrink_to_fit();
        let Some(discarded) = self.discarded.take_if(|_| is_complete) else { return Ok(None) };
        self.record_message_end();
        Ok(Some(discarded.into_message()))
    }
}

/// Whether a read error shows that the client has ended the connection, so that no answer can reach it any more.
fn is_reset_by_client(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionReset
            | ErrorKind::ConnectionAborted
            | ErrorKind::BrokenPipe
            | ErrorKind::NotConnected
    )
}

/// The position of the last message that cancels each request.
fn last_cancellations(messages: &[Message]) -> HashMap<RequestId, usize> {
    let mut positions = HashMap::new();
    for (position, message) in messages.iter().enumerate() {
        if let Message::Cancel(request_ids) = message {
            positions.extend(request_ids.iter().map(|request_id| (*request_id, position)));
        }
    }
    positions
}
