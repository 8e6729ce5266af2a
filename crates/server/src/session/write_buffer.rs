//! Buffers answers that a client does not read immediately.

use super::connection_failures::ConnectionError;
use crate::lifecycle::transient::is_transient_io_error;
use crate::limits::Permit;
use crate::telemetry::counters;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// A client that has not read all pending answers within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// How many unwritten bytes need no permit: enough for an answer without a result to each request that may be open on a
/// connection.
const UNBUDGETED_BYTES: usize = 4096;

/// The bytes of answers that have not been written to the socket yet.
pub(super) struct WriteBuffer {
    unwritten: Vec<u8>,
    /// When the buffer last ceased to be empty.
    unwritten_since: Instant,
    /// Permit for the unwritten bytes.
    permit: Permit,
    /// Whether nothing more is written: the connection was aborted, or this side of it was shut down.
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

    /// Appends a message, and writes as much as the socket buffer has space for. `memory` is the permit that its sender
    /// holds for the message, if any.
    ///
    /// # Errors
    /// As [`WriteBuffer::flush`].
    pub fn write(
        &mut self,
        message: &[u8],
        memory: Option<Permit>,
        stream: &TcpStream,
    ) -> Result<(), ConnectionError> {
        if let Some(memory) = memory {
            self.permit.merge(memory);
        }
        self.append(message);
        self.flush(stream)
    }

    /// Appends a message, and writes only if the unwritten bytes need a permit.
    ///
    /// # Errors
    /// As [`WriteBuffer::flush`].
    pub fn write_deferred(&mut self, message: &[u8], stream: &TcpStream) -> Result<(), ConnectionError> {
        self.append(message);
        if self.unwritten.len() > UNBUDGETED_BYTES { self.flush(stream) } else { Ok(()) }
    }

    fn append(&mut self, message: &[u8]) {
        if self.unwritten.is_empty() {
            self.unwritten_since = Instant::now();
        }
        self.unwritten.extend_from_slice(message);
    }

    /// Writes as much as the socket buffer has space for.
    ///
    /// # Errors
    /// If the connection has failed, the client reads too slowly, or the budget of buffer bytes is exhausted. The
    /// connection is then aborted, since only its end shows the client that an answer is incomplete.
    pub fn flush(&mut self, stream: &TcpStream) -> Result<(), ConnectionError> {
        let flushed = self.try_flush(stream);
        if let Err(error) = &flushed {
            if !matches!(error, ConnectionError::Socket(_)) {
                counters::SLOW_CLIENTS_CUT_OFF.increment();
            }
            self.abort(stream);
        }
        flushed
    }

    fn try_flush(&mut self, stream: &TcpStream) -> Result<(), ConnectionError> {
        let written = self.write_available(stream)?;
        self.unwritten.drain(..written);
        self.unwritten.shrink_to(0);
        let remaining = self.unwritten.len();
        if !self.permit.grow_to(remaining.saturating_sub(UNBUDGETED_BYTES)) {
            return Err(ConnectionError::OutOfBufferBytes);
        }
        self.permit.shrink_to(remaining);
        Ok(())
    }

    /// Writes until the socket buffer is full, and returns the number of bytes written.
    fn write_available(&self, mut stream: &TcpStream) -> Result<usize, ConnectionError> {
        let mut written = 0;
        while written < self.unwritten.len() {
            match stream.write(&self.unwritten[written..]) {
                Ok(0) => return Err(io::Error::from(ErrorKind::WriteZero).into()),
                Ok(count) => written += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if is_transient_io_error(&e) && !self.is_overdue() => break,
                Err(e) if is_transient_io_error(&e) => return Err(ConnectionError::SlowClient),
                Err(e) => return Err(e.into()),
            }
        }
        Ok(written)
    }

    fn is_overdue(&self) -> bool {
        self.unwritten_since.elapsed() >= WRITE_TIMEOUT
    }

    /// Ends the connection immediately and discards the unwritten bytes.
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
