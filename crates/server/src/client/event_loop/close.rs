//! Ends connections, immediately or gracefully.

use super::ClientEventLoop;
use crate::client::close_reason::CloseReason;
use crate::client::connection::ClientConnection;
use crate::session::client_session::ClientSession;
use crate::session::connection_failures::ConnectionId;
use crate::telemetry::counters;
use crate::telemetry::invariants::{self, Invariant};
use mio::unix::SourceFd;
use std::os::fd::AsRawFd;

impl ClientEventLoop {
    /// Ends a connection immediately, and cancels its open requests.
    pub(super) fn abort(&mut self, id: ConnectionId, reason: &CloseReason) {
        let Some(connection) = self.connections.remove(&id) else { return };
        tracing::debug!(connection = id.0, reason = %reason, "client connection ended");
        let session = &connection.session;
        // The descriptor is closed with the session in any case.
        let _ = self.poll.registry().deregister(&mut SourceFd(&session.stream().as_raw_fd()));
        self.cancel_open_requests(session);
        session.abort();
    }

    /// Begins a graceful close: open requests are cancelled, and pending answers are written before the connection
    /// ends.
    pub(super) fn close(&mut self, id: ConnectionId, reason: &CloseReason) {
        let Some(connection) =
            self.connections.get_mut(&id).filter(|connection| connection.closing.is_none())
        else {
            return;
        };
        tracing::debug!(connection = id.0, reason = %reason, "closing client connection");
        connection.begin_closing();
        let session = connection.session.clone();
        self.cancel_open_requests(&session);
        self.advance_close(id);
        // The event causes a read, which discards unread bytes and notices if the connection has failed.
        self.request_event(id);
    }

    /// Closes the connections whose failure was reported, by whichever thread.
    pub(super) fn close_failed(&mut self) {
        for failure in self.failures.take() {
            self.close(failure.connection, &failure.error.into());
        }
    }

    /// Reads a connection and closes it if it then still `is_unneeded`: bytes received in the meantime may contain a
    /// request. They are read even if reading is paused after refused messages.
    pub(super) fn close_unless_needed(
        &mut self,
        id: ConnectionId,
        is_unneeded: impl Fn(&ClientConnection) -> bool,
        reason: &CloseReason,
    ) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.paused_until = None;
        }
        self.read(id);
        let Some(connection) = self.connections.get(&id).filter(|connection| is_unneeded(connection)) else {
            return;
        };
        if !connection.session.is_idle() {
            invariants::report_violation(Invariant::ClosedOnlyWhenIdle, &reason.to_string());
        }
        self.close(id, reason);
    }

    /// Takes the next step of a graceful close, if one is in progress.
    pub(super) fn advance_close(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let Some(closing) = &mut connection.closing else { return };
        if !closing.is_half_closed() && connection.session.finish_writing() {
            closing.record_half_close();
        }
        if closing.is_overdue() {
            self.abort(id, &CloseReason::LingerTimeout);
        }
    }

    fn cancel_open_requests(&self, session: &ClientSession) {
        for job in session.cancel_all() {
            counters::JOBS_ABANDONED.increment();
            self.context.controller.client_disconnected(job);
        }
    }
}
