//! The pool of connections to one engine: the requests in flight on each connection, those that wait for a connection,
//! and the attempts to connect.
//!
//! No function of a pool blocks. Each dispatch has a connection to itself while enough descriptors are available, since
//! the loss of a connection ends every request in flight on it. This module routes commands to its submodules:
//!
//! - `connection_choice` chooses connections for waiting requests;
//! - `connecting` establishes connections;
//! - `sending` checks requests before their first byte and writes them;
//! - `results` handles messages, cancelled requests and lost connections;
//! - `timeouts` handles requests that wait too long, and idle and silent connections.

mod connecting;
mod connection_choice;
mod fault_log;
mod in_flight;
mod results;
mod reuse_limit;
mod sending;
#[cfg(test)]
mod tests;
mod timeouts;

use crate::config::engine_connection_settings::EngineConnectionSettings;
use crate::engine::command::{PoolCommand, RegistryMessage};
use crate::engine::connection::EngineConnection;
use crate::engine::connection_error::ConnectionLostReason;
use crate::engine::dialer::Dialer;
use crate::engine::endpoint_updates::{AddedEndpoint, EndpointUpdate};
use crate::engine::ids::{EngineConnectionId, EngineRequestId, PoolId};
use crate::engine::request::DispatchEvent;
use crate::engine::socket_poller::{ConnectionEvent, SocketPoller};
use crate::limits::ResourceBudget;
use crossbeam_channel::Sender;
use fault_log::FaultLog;
use in_flight::{InFlightRequest, RequestKind};
use pebblevane::time::Timestamp;
use reuse_limit::ReuseLimit;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Instant;

/// The settings and resources that all connection pools share.
pub(crate) struct PoolContext {
    pub(crate) settings: EngineConnectionSettings,
    /// Limits the total number of connections of all pools.
    pub(crate) descriptors: Arc<ResourceBudget>,
    /// Reads all connections.
    pub(crate) poller: Arc<SocketPoller>,
    /// Reads the program's clock.
    pub(crate) now: fn() -> Timestamp,
    /// Establishes connections.
    pub(crate) dialer: Dialer,
    /// Where the events of connections are sent.
    pub(crate) messages: Sender<RegistryMessage>,
}

/// The pool of connections to one engine.
pub(crate) struct ConnectionPool {
    id: PoolId,
    name: String,
    address: SocketAddr,
    /// Whether dispatches may be sent; shared with the engine's handle.
    accepts_dispatches: Arc<AtomicBool>,
    /// Requests that are in flight or wait for a connection.
    in_flight: HashMap<EngineRequestId, InFlightRequest>,
    /// Requests that wait for a connection, in the order in which they are served.
    waiting: VecDeque<EngineRequestId>,
    connections: BTreeMap<EngineConnectionId, EngineConnection>,
    last_connection: EngineConnectionId,
    dials_in_progress: usize,
    /// Dispatches whose connections were lost. They are reported once it is known whether the engine accepts a new
    /// connection.
    lost_dispatches: Vec<Sender<DispatchEvent>>,
    /// Whether the engine was removed from the endpoint list.
    removed: bool,
    reuse_limit: ReuseLimit,
    fault_log: FaultLog,
}

impl ConnectionPool {
    /// A pool without connections.
    pub(crate) fn new(id: PoolId, endpoint: AddedEndpoint) -> ConnectionPool {
        ConnectionPool {
            id,
            name: endpoint.name,
            address: endpoint.address,
            accepts_dispatches: endpoint.accepts_dispatches,
            in_flight: HashMap::new(),
            waiting: VecDeque::new(),
            connections: BTreeMap::new(),
            last_connection: EngineConnectionId(0),
            dials_in_progress: 0,
            lost_dispatches: Vec::new(),
            removed: false,
            reuse_limit: ReuseLimit::unlimited(),
            fault_log: FaultLog::default(),
        }
    }

    /// Whether there are connections to sweep.
    pub(crate) fn has_connections(&self) -> bool {
        !self.connections.is_empty()
    }

    /// Whether the pool can be removed: its engine was removed, and no request or report is outstanding.
    pub(crate) fn is_finished(&self) -> bool {
        self.removed && self.in_flight.is_empty() && self.lost_dispatches.is_empty()
    }

    /// Whether a request waits for a connection that can't be established because no descriptor is available.
    pub(crate) fn lacks_descriptor(&self, context: &PoolContext) -> bool {
        !self.waiting.is_empty()
            && self.dials_in_progress == 0
            && self.connections.len() < context.settings.max_connections
            && context.descriptors.acquire(1).is_none()
    }

    /// Since when the connection that has been idle longest is idle; `None` if no connection is idle.
    pub(crate) fn longest_idle_since(&self) -> Option<Instant> {
        self.longest_idle().map(|(since, _)| since)
    }

    /// Closes the connection that has been idle longest.
    pub(crate) fn close_longest_idle(&mut self) {
        let Some((_, id)) = self.longest_idle() else { return };
        if let Some(connection) = self.connections.remove(&id) {
            connection.shut_down();
        }
    }

    fn longest_idle(&self) -> Option<(Instant, EngineConnectionId)> {
        let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
        idle.map(|(id, connection)| (connection.last_change, *id)).min()
    }

    /// Closes all connections.
    pub(crate) fn close(self) {
        for connection in self.connections.values() {
            connection.shut_down();
        }
    }

    /// Applies a change of the engine's entry in the endpoint list.
    pub(crate) fn apply_update(&mut self, update: &EndpointUpdate, context: &PoolContext) {
        if let Some(restarted_at) = update.restarted_at {
            self.close_opened_before(restarted_at, context);
        }
        self.removed |= update.removed;
        if update.draining && !self.accepts_dispatches.load(SeqCst) {
            self.fail_waiting();
        }
        self.assign_waiting(context);
    }

    fn close_opened_before(&mut self, restarted_at: Timestamp, context: &PoolContext) {
        let earlier = self.connections.iter().filter(|(_, connection)| connection.opened_at < restarted_at);
        for id in earlier.map(|(id, _)| *id).collect::<Vec<EngineConnectionId>>() {
            self.close_connection(id, &ConnectionLostReason::EngineRestarted, context);
        }
    }

    /// Executes a command, and then assigns the connections that it made available to waiting requests.
    pub(crate) fn handle_command(&mut self, command: PoolCommand, context: &PoolContext) {
        match command {
            PoolCommand::Send { id, request, gate, events } => {
                let wire_id = request.id.clone();
                self.enqueue(id, wire_id, RequestKind::Dispatch { request, gate, events }, context);
            }
            PoolCommand::CheckHealth { id, callback } => {
                // This differs from the ids of all jobs, which consist of hexadecimal digits.
                let wire_id = format!("p{}", id.0).into();
                self.enqueue(id, wire_id, RequestKind::HealthCheck(Some(callback)), context);
            }
            PoolCommand::FetchPage { id, page_number } => self.fetch_page(id, page_number, context),
            PoolCommand::Cancel { id, done } => {
                self.cancel(id, context);
                drop(done);
            }
            PoolCommand::Dialed(dialed) => self.handle_dialed(dialed, context),
            PoolCommand::ConnectionEvent { connection, event } => {
                self.handle_connection_event(connection, event, context);
            }
        }
        self.assign_waiting(context);
    }

    fn handle_connection_event(
        &mut self,
        id: EngineConnectionId,
        event: ConnectionEvent,
        context: &PoolContext,
    ) {
        match event {
            ConnectionEvent::Message(received) => self.handle_message(id, received),
            ConnectionEvent::Ended(reason) => self.close_connection(id, &reason, context),
        }
    }

    /// Queues a request. A dispatch that is received after its engine began to drain fails immediately, since no later
    /// event would end its wait for a connection.
    fn enqueue(&mut self, id: EngineRequestId, wire_id: Box<str>, kind: RequestKind, context: &PoolContext) {
        let is_withheld = self.withhold_if_draining(&kind);
        let request = InFlightRequest::waiting(wire_id, kind, context.settings.dial_timeout);
        self.in_flight.insert(id, request);
        self.waiting.push_back(id);
        if is_withheld {
            self.fail_request(id);
        } else {
            self.assign_waiting(context);
        }
    }

    /// Withholds a dispatch if its engine does not accept dispatches any more. Returns whether it was withheld.
    fn withhold_if_draining(&self, kind: &RequestKind) -> bool {
        let RequestKind::Dispatch { request, gate, .. } = kind else { return false };
        let is_draining = !self.accepts_dispatches.load(SeqCst);
        if is_draining {
            tracing::debug!(job = %request.id, engine = %self.name, "dispatch withheld");
            gate.withhold();
        }
        is_draining
    }
}
