//! Closing idle connections: after the usual time, or sooner if new connections wait for a descriptor.

use super::ClientEventLoop;
use crate::client::close_reason::CloseReason;
use crate::client::closing::ClosingConnection;
use crate::client::connection::ClientConnection;
use crate::client::idle::{IDLE_LIMITS, IDLE_LIMITS_AT_CAPACITY};
use crate::session::connection_failures::ConnectionId;
use crate::telemetry::counters;
use std::time::Duration;

/// The maximum number of connections evicted at a time. When hundreds of new connections arrive, searching all
/// connections for each of them would take too much time.
const EVICTION_BATCH: usize = 8;
/// No connections are evicted while this many are being closed.
const MAX_CLOSING_CONNECTIONS: usize = 32;

/// Orders connections for eviction; the one with the greatest rank is evicted first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    /// Whether a message is expected. Such connections are evicted before those that are idle between messages.
    message_is_expected: bool,
    silent_for: Duration,
}

impl EvictionRank {
    /// The rank of a connection, or `None` if it may not be evicted.
    fn of(connection: &ClientConnection) -> Option<EvictionRank> {
        let silent_for = connection.excessive_silence(&IDLE_LIMITS_AT_CAPACITY)?;
        Some(EvictionRank { message_is_expected: connection.message_expected_since.is_some(), silent_for })
    }
}

impl ClientEventLoop {
    /// Closes connections that have been silent for too long, and advances graceful closes. Also writes buffered
    /// answers, which disconnects clients that have not read theirs in time. Reads connections on which a peek has
    /// found a cancellation that is not processed yet.
    pub(super) fn sweep(&mut self) {
        let is_overdue = |connection: &ClientConnection| connection.excessive_silence(&IDLE_LIMITS).is_some();
        for id in self.connections.keys().copied().collect::<Vec<ConnectionId>>() {
            let Some(connection) = self.connections.get(&id) else { continue };
            connection.session.flush();
            if connection.closing.is_some() {
                self.advance_close(id);
            } else if connection.session.has_unconfirmed_cancellations() {
                self.read(id);
            } else if is_overdue(connection) {
                self.close_unless_needed(id, is_overdue, &CloseReason::Idle);
            }
        }
    }

    /// Closes connections to free descriptors for new ones. Those in the last step of a graceful close are aborted
    /// first. Then connections that expect a message are closed, then those that are idle between messages; in each of
    /// these two groups, those that have been silent longest are first.
    pub(super) fn evict(&mut self) {
        self.abort_lingering();
        for id in self.eviction_candidates() {
            counters::CONNECTIONS_EVICTED.increment();
            let may_be_evicted = |connection: &ClientConnection| EvictionRank::of(connection).is_some();
            self.close_unless_needed(id, may_be_evicted, &CloseReason::Evicted);
        }
    }

    /// Aborts the connections whose clients have not finished a graceful close in time.
    fn abort_lingering(&mut self) {
        let is_overdue = |connection: &ClientConnection| {
            connection.closing.as_ref().is_some_and(ClosingConnection::is_overdue_at_capacity)
        };
        let overdue = self.connections.iter().filter(|(_, connection)| is_overdue(connection));
        for id in overdue.map(|(id, _)| *id).collect::<Vec<ConnectionId>>() {
            self.read(id);
            self.abort(id, &CloseReason::Evicted);
        }
    }

    /// The connections to evict next, in this order.
    fn eviction_candidates(&self) -> Vec<ConnectionId> {
        let closing = self.connections.values().filter(|connection| connection.closing.is_some()).count();
        let ranked = self.connections.iter().filter_map(|(id, connection)| {
            let rank = EvictionRank::of(connection)?;
            Some((rank, *id))
        });
        let mut ranked: Vec<(EvictionRank, ConnectionId)> = ranked.collect();
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let count = EVICTION_BATCH.min(MAX_CLOSING_CONNECTIONS.saturating_sub(closing));
        ranked.into_iter().take(count).map(|(_, id)| id).collect()
    }
}
