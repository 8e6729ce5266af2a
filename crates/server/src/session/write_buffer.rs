//! Buffers answers that a client does not read immediately.

use crate::limits::Permit;
use crate::telemetry::counters;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// A client that has not read all of its answers within this time is cut off.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The bytes of answers that are not written yet.
pub(super) struct WriteBuffer {
    unwritten: Vec<u8>,
    /// Since when the buffer has not been empty.
    unwritten_since: Instant,
    /// Covers the unwritten bytes.
    permit: Permit,
    /// Nothing more is written: the connection was aborted, or this side of it was shut down.
    closed: bool,
}

impl WriteBuffer {
    pub fn new(permit: Permit) -> WriteBuffer {
        WriteBuffer { unwritten: Vec::new(), unwritten_since: Instant::now(), permit, closed: false }
    }

    pub fn is_empty(&self) -> bool {
        self.unwritten.is_empty()
    }

    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Appends a message, and writes as much as the socket buffer has space for.
    pub fn write(&mut self, message: Vec<u8>, stream: &TcpStream) {
        if self.unwritten.is_empty() {
            self.unwritten_since = Instant::now();
        }
        self.unwritten.extend(message);
        self.flush(stream);
    }

    /// Writes as much as the socket buffer has space for. A client that reads too slowly is disconnected, since only
    /// the end of the connection shows it that an answer is incomplete.
    pub fn flush(&mut self, stream: &TcpStream) {
        let Some(written) = self.write_available(stream) else {
            return self.cut_off(stream);
        };
        self.unwritten.drain(..written);
        self.unwritten.shrink_to(0);
        let remaining = self.unwritten.len();
        if !self.permit.grow_to(remaining) {
            return self.cut_off(stream);
        }
        self.permit.shrink_to(remaining);
    }

    /// The number of bytes that were written, or `None` if the client has disconnected or is too slow.
    fn write_available(&self, mut stream: &TcpStream) -> Option<usize> {
        let mut written = 0;
        while written < self.unwritten.len() {
            match stream.write(&self.unwritten[written..]) {
                Ok(count) if count > 0 => written += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && !self.is_overdue() => break,
                _ => return None,
            }
        }
        Some(written)
    }

    fn is_overdue(&self) -> bool {
        self.unwritten_since.elapsed() >= WRITE_TIMEOUT
    }

    fn cut_off(&mut self, stream: &TcpStream) {
        counters::SLOW_CLIENTS_CUT_OFF.increment();
        self.abort(stream);
    }

    /// Ends the connection at once and discards what was not written.
    pub fn abort(&mut self, stream: &TcpStream) {
        self.closed = true;
        self.unwritten = Vec::new();
        self.permit.shrink_to(0);
        // The client may have closed the connection already.
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Shuts down this side of the connection, so that the client reads the end of the stream after its last answer.
    pub fn shut_down(&mut self, stream: &TcpStream) {
        if !self.closed {
            self.closed = true;
            // The client may have closed the connection already.
            let _ = stream.shutdown(Shutdown::Write);
        }
    }
}
