//! Chooses connections for waiting requests.

use super::{ConnectionPool, PoolContext};
use crate::engine::connection::EngineConnection;
use crate::engine::ids::EngineConnectionId;

/// Whether a request may use a connection on which other requests are in flight.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Sharing {
    Allowed,
    Forbidden,
}

impl ConnectionPool {
    /// Sends waiting requests in their order while connections are available for them, and starts to connect for the
    /// rest.
    pub(crate) fn assign_waiting(&mut self, context: &PoolContext) {
        if self.waiting.is_empty() {
            return;
        }
        while let Some(&id) = self.waiting.front() {
            let Some(request) = self.in_flight.get(&id) else {
                self.waiting.pop_front();
                continue;
            };
            let sharing = self.sharing(context);
            let Some(connection) = self.choose_connection(&request.wire_id, sharing, context) else { break };
            self.waiting.pop_front();
            self.send_on(id, connection, context);
        }
        self.dial_for_waiting(context);
    }

    /// Requests may share connections if the connections and the attempts to connect have reached the maximum number
    /// for one engine.
    fn sharing(&self, context: &PoolContext) -> Sharing {
        let is_full = self.connections.len() + self.dials_in_progress >= context.settings.max_connections;
        if is_full { Sharing::Allowed } else { Sharing::Forbidden }
    }

    /// Sends waiting requests on connections that are already in use, since no new one can be established.
    pub(super) fn share_connections(&mut self, context: &PoolContext) {
        while let Some(&id) = self.waiting.front() {
            let Some(request) = self.in_flight.get(&id) else { return };
            let connection = self.choose_connection(&request.wire_id, Sharing::Allowed, context);
            let Some(connection) = connection else { return };
            self.waiting.pop_front();
            self.send_on(id, connection, context);
        }
    }

    /// Returns the connection with the fewest requests in flight, and among equals the one on which a message was
    /// received most recently. Connections on which a late answer could be mistaken for the answer to this request are
    /// left out.
    pub(super) fn choose_connection(
        &self,
        wire_id: &str,
        sharing: Sharing,
        context: &PoolContext,
    ) -> Option<EngineConnectionId> {
        let usable = self.connections.iter().filter(|(_, connection)| {
            connection.accepts_id(wire_id) && self.has_capacity(connection, sharing, context)
        });
        let best = usable
            .min_by_key(|(_, connection)| (connection.requests.len(), connection.last_received.elapsed()));
        best.map(|(id, _)| *id)
    }

    fn has_capacity(&self, connection: &EngineConnection, sharing: Sharing, context: &PoolContext) -> bool {
        let idle_timeout = context.settings.idle_timeout;
        match connection.requests.len() {
            0 => connection.is_fresh(self.reuse_limit.get(idle_timeout), idle_timeout),
            in_flight => sharing == Sharing::Allowed && in_flight < context.settings.streams_per_connection,
        }
    }
}
