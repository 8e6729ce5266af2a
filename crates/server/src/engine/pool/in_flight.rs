//! A dispatch or health check that is in flight, or waits for a connection.

use crate::engine::ids::EngineConnectionId;
use crate::engine::request::{DispatchEvent, EngineRequest, HealthCheckCallback};
use crate::engine::send_gate::SendGate;
use crossbeam_channel::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request waits for a connection of its own for the dial timeout divided by this, and then shares one.
const EXCLUSIVE_WAIT_DIVISOR: u32 = 8;
/// A request fails after this many connections have ended before a byte of it was sent.
const MAX_FAILED_CONNECTIONS: u32 = 4;

/// A dispatch or health check at this engine.
pub(super) struct InFlightRequest {
    pub(super) kind: RequestKind,
    /// The request's id on the wire.
    pub(super) wire_id: Box<str>,
    /// The connection that the request was written to; `None` while it waits for one.
    pub(super) connection: Option<EngineConnectionId>,
    /// Whether the first page of the result was received, so that only further pages are still expected.
    pub(super) has_first_page: bool,
    /// Whether the request has waited long enough to share a connection.
    pub(super) may_share: bool,
    /// The number of connections that ended before a byte of the request was sent.
    failed_connections: u32,
    /// When the request was last written to a connection, or began to wait for its first one.
    pub(super) sent_at: Instant,
    /// When the request times out, if the pool enforces its timeout: see [`InFlightRequest::deadline`].
    pub(super) due: Instant,
}

/// The kind of a request, and where its result is sent.
pub(super) enum RequestKind {
    Dispatch {
        request: EngineRequest,
        gate: Arc<SendGate>,
        events: Sender<DispatchEvent>,
    },
    /// The callback is taken when it is called.
    HealthCheck(Option<HealthCheckCallback>),
}

impl InFlightRequest {
    /// A request that waits for its first connection.
    pub(super) fn waiting(wire_id: Box<str>, kind: RequestKind, dial_timeout: Duration) -> InFlightRequest {
        let now = Instant::now();
        InFlightRequest {
            kind,
            wire_id,
            connection: None,
            has_first_page: false,
            may_share: false,
            failed_connections: 0,
            sent_at: now,
            due: now + dial_timeout / EXCLUSIVE_WAIT_DIVISOR,
        }
    }

    /// The timeout that the pool enforces: of a request that waits for a connection, and of a health check. The timeout
    /// of a dispatch that was sent is enforced by its job.
    pub(super) fn deadline(&self) -> Option<Instant> {
        let is_health_check = matches!(self.kind, RequestKind::HealthCheck(_));
        (self.connection.is_none() || is_health_check).then_some(self.due)
    }

    /// Whether the timeout that the pool enforces has passed.
    pub(super) fn has_timed_out(&self, now: Instant) -> bool {
        self.deadline().is_some_and(|deadline| deadline <= now)
    }

    /// Records that the request is about to be written to this connection.
    pub(super) fn begin_on(&mut self, connection: EngineConnectionId, dial_timeout: Duration) {
        self.sent_at = Instant::now();
        self.connection = Some(connection);
        self.due = self.sent_at + dial_timeout;
    }

    /// Records that the connection ended before a byte of the request was sent. Returns whether it may be sent on
    /// another connection.
    pub(super) fn record_failed_connection(&mut self) -> bool {
        self.connection = None;
        self.failed_connections += 1;
        self.failed_connections < MAX_FAILED_CONNECTIONS
    }
}
