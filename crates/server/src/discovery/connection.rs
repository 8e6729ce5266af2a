//! The address of the event bus and the connection to it. The address may change while the program runs.

use crate::codec::event_bus;
use crate::lifecycle::sync::lock;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// The timeout for connecting, and then for writing the subscription.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Makes connections to the event bus, and closes the current one when the address changes.
pub(super) struct EventBusConnector {
    state: Mutex<ConnectorState>,
    /// Sends a message when the address has changed.
    address_changed: Sender<()>,
    address_changes: Receiver<()>,
}

struct ConnectorState {
    address: SocketAddr,
    /// The current connection.
    stream: Option<TcpStream>,
}

impl EventBusConnector {
    /// Creates a connector to this address, without a connection.
    pub(super) fn new(address: SocketAddr) -> EventBusConnector {
        let (address_changed, address_changes) = bounded(1);
        let state = Mutex::new(ConnectorState { address, stream: None });
        EventBusConnector { state, address_changed, address_changes }
    }

    /// Connects, and subscribes to the events after this one.
    ///
    /// # Errors
    /// The system's error if the connection can't be made or written to, or an error if the address changes in the
    /// meantime.
    pub(super) fn connect(&self, last_event: u64) -> io::Result<TcpStream> {
        let address = self.state().address;
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
        stream.write_all(event_bus::subscribe_request(last_event).as_bytes())?;
        let mut state = self.state();
        if state.address != address {
            return Err(io::Error::other("the address changed while connecting"));
        }
        state.stream = Some(stream.try_clone()?);
        Ok(stream)
    }

    /// Drops the current connection after it has been lost.
    pub(super) fn disconnected(&self) {
        self.state().stream = None;
    }

    /// Changes the address, and shuts down the connection to the old one immediately.
    pub(super) fn set_address(&self, address: SocketAddr) {
        let mut state = self.state();
        if state.address == address {
            return;
        }
        state.address = address;
        if let Some(stream) = state.stream.take() {
            // The bus may have closed the connection already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // If the channel is full, the follower has yet to receive the message of an earlier change.
        let _ = self.address_changed.try_send(());
    }

    /// Waits for this time, or until the address changes. Returns whether it has changed.
    pub(super) fn wait_for_address_change(&self, pause: Duration) -> bool {
        self.address_changes.recv_timeout(pause).is_ok()
    }

    fn state(&self) -> MutexGuard<'_, ConnectorState> {
        lock(&self.state)
    }
}
