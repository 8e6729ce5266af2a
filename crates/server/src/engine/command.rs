//! The messages to the `engines` thread: commands for the pool of one engine, and wakeups after endpoint updates.

use crate::engine::connection::DialedConnection;
use crate::engine::connection_error::ConnectError;
use crate::engine::ids::{EngineConnectionId, EngineRequestId, PoolId};
use crate::engine::request::{DispatchEvent, EngineRequest, HealthCheckCallback};
use crate::engine::send_gate::SendGate;
use crate::engine::socket_poller::ConnectionEvent;
use crossbeam_channel::Sender;
use std::sync::Arc;

/// A message for the `engines` thread.
pub(crate) enum RegistryMessage {
    /// A command for one pool.
    Command {
        /// The pool that executes the command.
        pool: PoolId,
        command: PoolCommand,
    },
    /// There are endpoint updates to apply. Sent only to wake the thread.
    Wakeup,
}

/// A command for the pool of one engine.
pub(crate) enum PoolCommand {
    /// Send a dispatch.
    Send {
        /// The number of the dispatch at this engine.
        id: EngineRequestId,
        request: EngineRequest,
        /// Decides whether the dispatch may still be sent.
        gate: Arc<SendGate>,
        /// Receives the events of the dispatch.
        events: Sender<DispatchEvent>,
    },
    /// Send a health check.
    CheckHealth {
        /// The number of the health check at this engine.
        id: EngineRequestId,
        /// Receives the result.
        callback: HealthCheckCallback,
    },
    /// Fetch a further page of a dispatch's result.
    FetchPage {
        /// The number of the dispatch at this engine.
        id: EngineRequestId,
        /// The position of the page in the result, counted from 0.
        page_number: u32,
    },
    /// Cancel a dispatch.
    Cancel {
        /// The number of the dispatch at this engine.
        id: EngineRequestId,
        /// Dropped once the cancellation has been written.
        done: Option<Sender<()>>,
    },
    /// An attempt to connect has finished.
    Dialed(Result<DialedConnection, ConnectError>),
    /// A message was received on a connection, or the connection has ended.
    ConnectionEvent { connection: EngineConnectionId, event: ConnectionEvent },
}
