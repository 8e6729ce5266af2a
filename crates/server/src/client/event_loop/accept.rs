//! Accepting connections.

use super::{ClientEventLoop, READ_AND_WRITE, token};
use crate::client::connection::ClientConnection;
use crate::limits::Permit;
use crate::session::client_session::ClientSession;
use crate::session::connection_failures::ConnectionId;
use mio::unix::SourceFd;
use std::io::{Error, ErrorKind};
use std::net::TcpStream;
use std::os::fd::AsRawFd;

impl ClientEventLoop {
    /// Accepts pending connections while descriptors are available. The others are accepted in a later pass.
    pub(super) fn accept(&mut self) {
        self.accept_pending = false;
        loop {
            let Some(descriptor) = self.acquire_descriptor() else {
                self.accept_pending = true;
                return;
            };
            let Some(listener) = &self.listener else { return };
            let added = match listener.accept() {
                Ok((stream, _)) => self.add_connection(stream, descriptor),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => Err(e),
            };
            if let Err(e) = added {
                // The connection has ended already, or the system has no descriptor left. Further connections may be
                // pending.
                tracing::debug!(reason = %e, "accepting a client failed");
                self.accept_pending = true;
                return;
            }
        }
    }

    /// Acquires a descriptor for a client connection, and evicts idle connections if none is available.
    fn acquire_descriptor(&mut self) -> Option<Permit> {
        self.context.descriptors.acquire(1).or_else(|| {
            self.evict();
            self.context.descriptors.acquire(1)
        })
    }

    fn add_connection(&mut self, stream: TcpStream, descriptor: Permit) -> Result<(), Error> {
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        let empty_permit = || self.context.buffer_bytes.acquire(0).ok_or(ErrorKind::OutOfMemory);
        let (received_permit, output_permit) = (empty_permit()?, empty_permit()?);
        let id = ConnectionId(self.unused_ids.next().expect("the range has no end"));
        self.poll.registry().register(&mut SourceFd(&stream.as_raw_fd()), token(id), READ_AND_WRITE)?;
        let session = ClientSession::new(id, stream, descriptor, output_permit, self.failures.clone());
        let connection = ClientConnection::new(session, received_permit, self.pass);
        self.connections.insert(id, connection);
        Ok(())
    }
}
