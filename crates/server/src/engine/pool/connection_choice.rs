//! Which connection a waiting request gets.

use super::{EnginePool, PoolContext};
use crate::engine::connection::EngineConnection;
use crate::engine::ids::ConnectionId;

/// Whether a request may use a connection on which another one is in flight.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Sharing {
    Allowed,
    Forbidden,
}

impl EnginePool {
    /// Finds connections for what waits, in turn, or opens more.
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

    /// Connections are shared where the engine's share of them is used up.
    fn sharing(&self, context: &PoolContext) -> Sharing {
        let is_full = self.connections.len() + self.dials_in_progress >= context.settings.max_connections;
        if is_full { Sharing::Allowed } else { Sharing::Forbidden }
    }

    /// Where no connection can be made, what waits shares those that are there.
    pub(super) fn share_connections(&mut self, context: &PoolContext) {
        while let Some(&id) = self.waiting.front() {
            let Some(request) = self.in_flight.get(&id) else { return };
            let connection = self.choose_connection(&request.wire_id, Sharing::Allowed, context);
            let Some(connection) = connection else { return };
            self.waiting.pop_front();
            self.send_on(id, connection, context);
        }
    }

    /// A connection on which no late answer can be taken for that of this id: the one with the least in flight, among
    /// those the one that has proved to work most recently.
    pub(super) fn choose_connection(
        &self,
        wire_id: &str,
        sharing: Sharing,
        context: &PoolContext,
    ) -> Option<ConnectionId> {
        let usable = self.connections.iter().filter(|(_, connection)| {
            connection.accepts_id(wire_id) && self.has_room(connection, sharing, context)
        });
        let best = usable
            .min_by_key(|(_, connection)| (connection.requests.len(), connection.last_received.elapsed()));
        best.map(|(id, _)| *id)
    }

    fn has_room(&self, connection: &EngineConnection, sharing: Sharing, context: &PoolContext) -> bool {
        let idle_timeout = context.settings.idle_timeout;
        match connection.requests.len() {
            0 => connection.is_fresh(self.reuse_limit.get(idle_timeout), idle_timeout),
            in_flight => sharing == Sharing::Allowed && in_flight < context.settings.streams_per_connection,
        }
    }
}
