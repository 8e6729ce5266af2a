//! Reads lines from a connection, each within a time limit.

use crate::discovery::disconnect::DisconnectReason;
use std::borrow::Cow;
use std::io::{BufRead, BufReader, ErrorKind};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The minimum read timeout, since a timeout of zero is rejected.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// Reads the lines of one connection to the event bus.
pub(super) struct LineReader {
    stream: BufReader<TcpStream>,
    line: Vec<u8>,
    max_bytes: usize,
}

impl LineReader {
    /// Creates a reader of lines of up to `max_bytes`.
    pub(super) fn new(stream: TcpStream, max_bytes: usize) -> LineReader {
        LineReader { stream: BufReader::new(stream), line: Vec::new(), max_bytes }
    }

    /// Reads one line. The timeout applies to the complete line, however slowly its bytes arrive.
    ///
    /// # Errors
    /// If the line is not complete in time or too long, or the connection fails or ends.
    pub(super) fn read_line(&mut self, timeout: Duration) -> Result<Cow<'_, str>, DisconnectReason> {
        self.line.clear();
        let due = Instant::now() + timeout;
        while !self.read_part(due)? {
            if self.line.len() > self.max_bytes {
                return Err(DisconnectReason::LineTooLong { max_bytes: self.max_bytes });
            }
            if Instant::now() >= due {
                return Err(DisconnectReason::LineTimeout);
            }
        }
        Ok(String::from_utf8_lossy(&self.line))
    }

    /// Waits for bytes of the line until `due` and reads them. Returns whether the line is complete.
    fn read_part(&mut self, due: Instant) -> Result<bool, DisconnectReason> {
        let bytes = fill_buffer(&mut self.stream, due)?;
        if bytes.is_empty() {
            return Err(DisconnectReason::ClosedByEventBus);
        }
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        let count = line_end.map_or(bytes.len(), |position| position + 1);
        self.line.extend_from_slice(&bytes[..count]);
        self.stream.consume(count);
        Ok(line_end.is_some())
    }
}

/// Returns the received bytes that are not consumed yet. If there are none, waits for some until `due`.
fn fill_buffer(stream: &mut BufReader<TcpStream>, due: Instant) -> Result<&[u8], DisconnectReason> {
    loop {
        let time_left = due.saturating_duration_since(Instant::now()).max(MIN_READ_TIMEOUT);
        stream.get_ref().set_read_timeout(Some(time_left)).map_err(DisconnectReason::CannotSetTimeout)?;
        match stream.fill_buf() {
            Ok(_) => break,
            // A signal has interrupted the call, for instance because the process was stopped and continued.
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(DisconnectReason::ReadFailed(e)),
        }
    }
    Ok(stream.buffer())
}
