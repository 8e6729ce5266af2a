//! The steps of a graceful shutdown.

use super::ClientEventLoop;
use crate::client::close_reason::CloseReason;
use crate::client::connection::ClientConnection;
use crate::lifecycle::shutdown::ShutdownSchedule;
use crate::session::connection_failures::ConnectionId;
use pebblevane::time::Timestamp;

impl ClientEventLoop {
    /// Advances a shutdown, and returns whether it is over.
    pub(super) fn advance_shutdown(&mut self, schedule: &ShutdownSchedule, now: Timestamp) -> bool {
        if now < schedule.accept_until {
            return false;
        }
        self.stop_accepting();
        // After `answered_by`, connections are closed even if a first message, or the rest of one, may still arrive.
        let may_still_send = now < schedule.answered_by;
        for id in self.connections.keys().copied().collect::<Vec<ConnectionId>>() {
            self.close_for_shutdown(id, may_still_send);
        }
        self.connections.is_empty() || now >= schedule.exit_at
    }

    /// Accepts the connections that are pending in the listen queue, and closes the listener.
    fn stop_accepting(&mut self) {
        if self.listener.is_some() {
            self.accept();
            self.listener = None;
            self.accept_pending = false;
        }
    }

    /// Closes a connection if it is idle, or advances its close.
    fn close_for_shutdown(&mut self, id: ConnectionId, may_still_send: bool) {
        let is_unneeded = |connection: &ClientConnection| {
            if may_still_send {
                connection.is_idle() && !connection.awaits_first_message
            } else {
                connection.session.is_idle()
            }
        };
        let Some(connection) = self.connections.get(&id) else { return };
        if connection.closing.is_some() {
            self.advance_close(id);
        } else if is_unneeded(connection) {
            self.close_unless_needed(id, is_unneeded, &CloseReason::ShuttingDown);
        }
    }
}
