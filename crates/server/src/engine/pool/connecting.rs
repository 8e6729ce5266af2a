//! Establishes connections to the engine.

use super::{ConnectionPool, PoolContext};
use crate::engine::command::{PoolCommand, RegistryMessage};
use crate::engine::connection::{DialedConnection, EngineConnection};
use crate::engine::connection_error::ConnectError;
use crate::engine::connection_input::ConnectionInput;
use crate::engine::dialer::DialTarget;
use crate::engine::ids::EngineConnectionId;
use crate::engine::socket_poller::PolledConnection;
use std::io;
use std::net::Shutdown;
use std::sync::Arc;

impl ConnectionPool {
    /// Starts an attempt to connect for each waiting request, within the limits. If no attempt is in progress
    /// afterwards, the requests share the existing connections.
    pub(super) fn dial_for_waiting(&mut self, context: &PoolContext) {
        let allowed = context.settings.max_connections.saturating_sub(self.connections.len());
        while self.dials_in_progress < self.waiting.len().min(allowed) && self.start_dial(context) {}
        if self.dials_in_progress == 0 {
            self.share_connections(context);
        }
    }

    /// Starts one attempt to connect. Returns false if no descriptor or thread is available.
    pub(super) fn start_dial(&mut self, context: &PoolContext) -> bool {
        let Some(permit) = context.descriptors.acquire(1) else { return false };
        let target = DialTarget { pool: self.id, name: &self.name, address: self.address };
        match context.dialer.dial(&target, permit) {
            Ok(()) => {
                self.dials_in_progress += 1;
                true
            }
            Err(e) => {
                self.fault_log.report(&self.name, "no thread to connect with", 0, &e);
                false
            }
        }
    }

    /// Handles the result of an attempt to connect.
    pub(super) fn handle_dialed(
        &mut self,
        dialed: Result<DialedConnection, ConnectError>,
        context: &PoolContext,
    ) {
        self.dials_in_progress -= 1;
        let engine_reachable = dialed.is_ok();
        self.report_lost_dispatches(engine_reachable);
        let connected =
            dialed.and_then(|dialed| self.add_connection(dialed, context).map_err(ConnectError::Setup));
        match connected {
            Ok(()) => self.assign_waiting(context),
            Err(e) => self.handle_dial_failure(&e, context),
        }
    }

    fn handle_dial_failure(&mut self, error: &ConnectError, context: &PoolContext) {
        self.fault_log.report(&self.name, "connecting failed", 0, error);
        if self.dials_in_progress == 0 {
            self.share_connections(context);
            self.fail_waiting();
        }
    }

    fn add_connection(&mut self, dialed: DialedConnection, context: &PoolContext) -> io::Result<()> {
        dialed.stream.set_nodelay(true)?;
        dialed.stream.set_nonblocking(true)?;
        let stream = Arc::new(dialed.stream);
        let id = EngineConnectionId(self.last_connection.0 + 1);
        self.last_connection = id;
        let input = Arc::new(ConnectionInput::new(stream.clone()));
        if let Err(e) = context.poller.add(self.polled_connection(id, input.clone(), context)) {
            // The connection may have ended already.
            let _ = stream.shutdown(Shutdown::Both);
            return Err(e);
        }
        let opened_at = (context.now)();
        let connection = EngineConnection::new(stream, input, opened_at, dialed.permit);
        self.connections.insert(id, connection);
        Ok(())
    }

    fn polled_connection(
        &self,
        connection: EngineConnectionId,
        input: Arc<ConnectionInput>,
        context: &PoolContext,
    ) -> PolledConnection {
        let (pool, messages) = (self.id, context.messages.clone());
        let on_event = Box::new(move |event| {
            let command = PoolCommand::ConnectionEvent { connection, event };
            // The `engines` thread ends only with the program.
            let _ = messages.send(RegistryMessage::Command { pool, command });
        });
        PolledConnection { input, stall_timeout: context.settings.dial_timeout, on_event }
    }
}
