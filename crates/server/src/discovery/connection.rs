//! The address of the event bus and the connection to it. The address may change while the program runs.

use crate::codec::event_bus;
use crate::lifecycle::sync::lock;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// How long a connect may take, and a write on the new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Makes connections to the event bus, and closes the current one when the address changes.
pub(super) struct EventBusConnector {
    state: Mutex<ConnectorState>,
    /// Holds a message after the address has changed.
    moved: Sender<()>,
    was_moved: Receiver<()>,
}

struct ConnectorState {
    address: SocketAddr,
    /// The current connection.
    stream: Option<TcpStream>,
}

impl EventBusConnector {
    /// A connector to this address, without a connection.
    pub(super) fn new(address: SocketAddr) -> EventBusConnector {
        let (moved, was_moved) = bounded(1);
        EventBusConnector { state: Mutex::new(ConnectorState { address, stream: None }), moved, was_moved }
    }

    /// Connects, and subscribes to the events after this one.
    ///
    /// # Errors
    /// The system's error if the connection can't be made or written to, or an error if the address changed meanwhile.
    pub(super) fn connect(&self, last_event: u64) -> io::Result<TcpStream> {
        let address = self.state().address;
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
        stream.write_all(event_bus::subscribe_request(last_event).as_bytes())?;
        let mut state = self.state();
        if state.address != address {
            return Err(io::Error::other("the address has changed meanwhile"));
        }
        state.stream = Some(stream.try_clone()?);
        Ok(stream)
    }

    /// Drops the current connection after it has been lost.
    pub(super) fn disconnected(&self) {
        self.state().stream = None;
    }

    /// Sets the address, and shuts down the connection to the old one at once.
    pub(super) fn move_to(&self, address: SocketAddr) {
        let mut state = self.state();
        if state.address == address {
            return;
        }
        state.address = address;
        if let Some(stream) = state.stream.take() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let _ = self.moved.try_send(());
    }

    /// Waits for this time, or until the address changes. Returns whether it has changed.
    pub(super) fn wait_for_move(&self, pause: Duration) -> bool {
        self.was_moved.recv_timeout(pause).is_ok()
    }

    fn state(&self) -> MutexGuard<'_, ConnectorState> {
        // A panic aborts the process, so a poisoned mutex needs no handling.
        lock(&self.state)
    }
}
