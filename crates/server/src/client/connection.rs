//! The state of a client connection that only the clients' thread uses.

use super::closing::ClosingConnection;
use super::discarded_message::DiscardedMessage;
use super::event_loop::turns::Priority;
use super::idle::IdleLimits;
use crate::limits::Permit;
use crate::session::client_session::ClientSession;
use pebblevane::time::Timestamp;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A client connection and the progress of reading it.
pub(super) struct ClientConnection {
    pub session: Arc<ClientSession>,
    /// The bytes of an incomplete message.
    pub received: Vec<u8>,
    /// A message that is discarded instead of being buffered, until its last byte arrives.
    pub discarded: Option<DiscardedMessage>,
    /// Permit for the received bytes beyond those that each connection may buffer without one.
    pub received_permit: Permit,
    /// Since when a message is expected. Before the first byte, since the connection was accepted; within a message,
    /// since its first byte; `None` between messages.
    pub message_expected_since: Option<Instant>,
    /// The pass of the event loop that accepted the connection.
    pub accepted_in: Pass,
    /// Whether no complete message has been received yet, so that the first request may still be in transit.
    pub awaits_first_message: bool,
    /// Messages refused since the last accepted one.
    pub consecutive_refusals: u32,
    /// Whether the connection waits for its turn to be read.
    pub is_queued: bool,
    /// With which priority it is queued next.
    pub priority: Priority,
    /// Nothing is read before this time.
    pub paused_until: Option<Instant>,
    /// Set during a graceful close, in which received bytes are discarded.
    pub closing: Option<ClosingConnection>,
}

/// One pass of the event loop.
#[derive(Clone, Copy)]
pub(super) struct Pass {
    /// The number of passes before this one.
    pub number: u64,
    /// The earliest time at which the events of the pass can have arrived.
    pub earliest_arrival: Timestamp,
}

impl ClientConnection {
    /// A connection that was just accepted. `received_permit` is empty.
    pub fn new(session: ClientSession, received_permit: Permit, accepted_in: Pass) -> ClientConnection {
        ClientConnection {
            session: Arc::new(session),
            received: Vec::new(),
            discarded: None,
            received_permit,
            message_expected_since: Some(Instant::now()),
            accepted_in,
            awaits_first_message: true,
            consecutive_refusals: 0,
            is_queued: false,
            priority: Priority::Usual,
            paused_until: None,
            closing: None,
        }
    }

    /// How long the client has been silent, if this exceeds the limit for the connection's state. `None` also while a
    /// request is open, the client has not read all answers, or the connection is being closed.
    pub fn excessive_silence(&self, limits: &IdleLimits) -> Option<Duration> {
        let idle_for = self.session.idle_for().filter(|_| self.closing.is_none())?;
        let (silent_for, limit) = match self.message_expected_since {
            Some(since) if self.is_inside_message() => (since.elapsed(), limits.rest_of_message),
            Some(since) => (since.elapsed(), limits.first_message),
            None => (idle_for, limits.idle),
        };
        Some(silent_for).filter(|silent_for| *silent_for > limit)
    }

    /// Whether a message has begun to arrive and is incomplete.
    pub fn is_inside_message(&self) -> bool {
        self.discarded.is_some() || !self.received.is_empty()
    }

    /// Whether no request is open, the client has read all answers, and no message has begun.
    pub fn is_idle(&self) -> bool {
        self.closing.is_none() && !self.is_inside_message() && self.session.is_idle()
    }

    /// Begins a graceful close: an incomplete message and all bytes that are received later are discarded.
    pub fn begin_closing(&mut self) {
        self.closing = Some(ClosingConnection::new());
        self.paused_until = None;
        self.message_expected_since = None;
        self.received = Vec::new();
        self.discarded = None;
        self.received_permit.shrink_to(0);
    }
}
