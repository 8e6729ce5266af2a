//! What the `engines` thread is told: commands for one engine's pool, and that the endpoint list has changed.

use crate::engine::connection::DialedConnection;
use crate::engine::connection_error::ConnectError;
use crate::engine::ids::{ConnectionId, PoolId, RequestId};
use crate::engine::request::{DispatchEvent, EngineRequest, HealthCheckCallback};
use crate::engine::send_gate::SendGate;
use crate::engine::socket_poller::ConnectionEvent;
use crossbeam_channel::Sender;
use std::sync::Arc;

/// A message for the `engines` thread.
pub(crate) enum RegistryMessage {
    /// A command for one pool.
    Command {
        /// The pool that carries it out.
        pool: PoolId,
        /// What it is to do.
        command: PoolCommand,
    },
    /// There are endpoint updates to apply.
    Wakeup,
}

/// What an engine's pool is to do.
pub(crate) enum PoolCommand {
    /// Send a dispatch.
    Send {
        /// Its number at this engine.
        id: RequestId,
        /// The dispatch itself.
        request: EngineRequest,
        /// Whether it may still be sent.
        gate: Arc<SendGate>,
        /// Where its events go.
        events: Sender<DispatchEvent>,
    },
    /// Send a health check.
    CheckHealth {
        /// Its number at this engine.
        id: RequestId,
        /// Takes the result.
        callback: HealthCheckCallback,
    },
    /// Fetch a further page of a dispatch's result.
    FetchPage {
        /// The dispatch.
        id: RequestId,
        /// Position of the page in the result.
        page_number: u32,
    },
    /// Cancel a dispatch.
    Cancel {
        /// The dispatch.
        id: RequestId,
        /// Dropped once the cancellation is written.
        done: Option<Sender<()>>,
    },
    /// A connection was made, or could not be.
    Dialed(Result<DialedConnection, ConnectError>),
    /// Something came on a connection.
    ConnectionEvent {
        /// The connection.
        connection: ConnectionId,
        /// What came.
        event: ConnectionEvent,
    },
}
