//! One connection to the event bus, whose lines are read without blocking.

use crate::codec::event_bus;
use crate::discovery::disconnect::DisconnectReason;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The timeout for connecting, and then for writing the subscription.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// The number of a connection to the event bus. Numbers are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SubscriptionId(pub usize);

/// A connection that has subscribed to the events after the last one that was read.
pub(super) struct Subscription {
    pub(super) id: SubscriptionId,
    pub(super) stream: TcpStream,
    /// Whether bytes may be available.
    pub(super) is_readable: bool,
    /// When bytes were last received, or the connection was made.
    pub(super) last_received_at: Instant,
    /// The received bytes that were not taken yet.
    received: Vec<u8>,
    /// How many of the received bytes are known to contain no line end.
    searched: usize,
}

impl Subscription {
    /// Connects, and subscribes to the events after this one.
    ///
    /// # Errors
    /// The system's error if the connection can't be made or written to.
    pub(super) fn connect(
        id: SubscriptionId,
        address: SocketAddr,
        last_event: u64,
    ) -> io::Result<Subscription> {
        let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_write_timeout(Some(CONNECT_TIMEOUT))?;
        stream.write_all(event_bus::subscribe_request(last_event).as_bytes())?;
        stream.set_nonblocking(true)?;
        let last_received_at = Instant::now();
        Ok(Subscription {
            id,
            stream,
            is_readable: true,
            last_received_at,
            received: Vec::new(),
            searched: 0,
        })
    }

    /// Reads available bytes once.
    ///
    /// # Errors
    /// If the connection has failed or ended.
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> Result<(), DisconnectReason> {
        match self.stream.read(buffer) {
            Ok(0) => return Err(DisconnectReason::ClosedByEventBus),
            Ok(count) => {
                self.received.extend_from_slice(&buffer[..count]);
                self.last_received_at = Instant::now();
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.is_readable = false,
            Err(e) => return Err(DisconnectReason::ReadFailed(e)),
        }
        Ok(())
    }

    /// The number of bytes that were received and not taken yet.
    pub(super) fn received_bytes(&self) -> usize {
        self.received.len()
    }

    /// Takes the first complete line, with its line end.
    pub(super) fn take_line(&mut self) -> Option<Vec<u8>> {
        let line_end = self.received[self.searched..].iter().position(|byte| *byte == b'\n');
        let Some(position) = line_end else {
            self.searched = self.received.len();
            return None;
        };
        let rest = self.received.split_off(self.searched + position + 1);
        self.searched = 0;
        Some(std::mem::replace(&mut self.received, rest))
    }
}
