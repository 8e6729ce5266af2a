//! Connects to engines. Each attempt has a thread of its own, since it blocks until the engine accepts.

use crate::engine::command::{PoolCommand, RegistryMessage};
use crate::engine::connection::DialedConnection;
use crate::engine::connection_error::ConnectError;
use crate::engine::ids::PoolId;
use crate::lifecycle::threads::{SMALL_STACK_BYTES, SpawnThread};
use crate::limits::Permit;
use crossbeam_channel::Sender;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The engine to connect to.
pub(crate) struct DialTarget<'a> {
    /// The pool that the result is sent to.
    pub(crate) pool: PoolId,
    /// The engine's name, which is part of the thread's name.
    pub(crate) name: &'a str,
    /// The address that the engine listens on.
    pub(crate) address: SocketAddr,
}

/// Starts a thread for each new connection, and sends the result to the pool.
pub(crate) struct Dialer {
    pub(crate) spawn_thread: SpawnThread,
    /// The maximum time to wait for an engine to accept.
    pub(crate) timeout: Duration,
    /// Where results are sent.
    pub(crate) messages: Sender<RegistryMessage>,
}

impl Dialer {
    /// Starts to connect. The pool receives a [`PoolCommand::Dialed`] with the result within the timeout. The thread is
    /// not joined: it ends after sending that command.
    ///
    /// # Errors
    /// The system's error if it refuses the thread. The permit is released then.
    pub(crate) fn dial(&self, target: &DialTarget, permit: Permit) -> io::Result<()> {
        let (pool, address, timeout) = (target.pool, target.address, self.timeout);
        let messages = self.messages.clone();
        let connect = move || {
            let stream = TcpStream::connect_timeout(&address, timeout);
            let dialed = stream.map(|stream| DialedConnection { stream, permit }).map_err(ConnectError::Dial);
            let command = PoolCommand::Dialed(dialed);
            // The `engines` thread ends only with the program.
            let _ = messages.send(RegistryMessage::Command { pool, command });
        };
        (self.spawn_thread)(&format!("dial {}", target.name), SMALL_STACK_BYTES, Box::new(connect))
    }
}
