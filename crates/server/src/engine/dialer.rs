//! Making connections. Each has a thread of its own, since connecting waits for the engine.

use crate::engine::command::{PoolCommand, RegistryMessage};
use crate::engine::connection::DialedConnection;
use crate::engine::connection_error::ConnectError;
use crate::engine::ids::PoolId;
use crate::lifecycle::threads::{STACK_BYTES, SpawnThread};
use crate::limits::Permit;
use crossbeam_channel::Sender;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The engine to connect to.
pub(crate) struct DialTarget<'a> {
    /// The pool that is told the result.
    pub(crate) pool: PoolId,
    /// The engine's name, for the thread's.
    pub(crate) name: &'a str,
    /// Where the engine listens.
    pub(crate) address: SocketAddr,
}

/// Starts the threads that connect, and tells the pools how that came out.
pub(crate) struct Dialer {
    /// Starts a thread.
    pub(crate) spawn_thread: SpawnThread,
    /// Longest time to wait for an engine to accept.
    pub(crate) timeout: Duration,
    /// Where results go.
    pub(crate) messages: Sender<RegistryMessage>,
}

impl Dialer {
    /// Starts to connect; the pool gets a [`PoolCommand::Dialed`] within the timeout. The thread is not joined: it
    /// ends by itself after that command, which says all that is to be known of it.
    ///
    /// # Errors
    /// What the system says where it refuses the thread; the permit is given back then.
    pub(crate) fn dial(&self, target: &DialTarget, permit: Permit) -> io::Result<()> {
        let (pool, address, timeout) = (target.pool, target.address, self.timeout);
        let messages = self.messages.clone();
        let connect = move || {
            let stream = TcpStream::connect_timeout(&address, timeout);
            let dialed = stream.map(|stream| DialedConnection { stream, permit }).map_err(ConnectError::Dial);
            let command = PoolCommand::Dialed(dialed);
            // The receiver lives as long as the program.
            let _ = messages.send(RegistryMessage::Command { pool, command });
        };
        (self.spawn_thread)(&format!("dial {}", target.name), STACK_BYTES, Box::new(connect))
    }
}
