//! One connection to an engine: what is in flight on it, and whether it may be used again.

use crate::engine::ids::RequestId;
use crate::limits::Permit;
use pebblevane::time::Timestamp;
use std::collections::{HashMap, HashSet};
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// Ids retired on one connection, after which it takes no new request.
const MAX_RETIRED_IDS: usize = 64;

/// A connection that an engine has accepted and that nobody reads yet.
pub(crate) struct DialedConnection {
    /// The connection.
    pub(crate) stream: TcpStream,
    /// For its descriptor.
    pub(crate) permit: Permit,
}

/// One connection to an engine.
pub(crate) struct EngineConnection {
    stream: Arc<TcpStream>,
    /// The first part of a message has been read; set by the socket poller.
    has_partial_message: Arc<AtomicBool>,
    /// What is in flight on it, by the id on the wire.
    pub(crate) requests: HashMap<Box<str>, RequestId>,
    /// Ids that did not end well here: a late answer may still come under them.
    retired_ids: HashSet<Box<str>>,
    /// When it was made, last became busy, or a request on it last ended.
    pub(crate) last_change: Instant,
    /// How long it had been idle before the present requests; none on its first use.
    pub(crate) idle_before_use: Option<Duration>,
    was_used: bool,
    /// When something last came from it.
    pub(crate) last_received: Instant,
    /// When it was made, on the program's clock.
    pub(crate) opened_at: Timestamp,
    /// For its descriptor.
    _permit: Permit,
}

impl EngineConnection {
    /// A connection that was made just now.
    pub(crate) fn new(
        stream: Arc<TcpStream>,
        has_partial_message: Arc<AtomicBool>,
        opened_at: Timestamp,
        permit: Permit,
    ) -> EngineConnection {
        EngineConnection {
            stream,
            has_partial_message,
            requests: HashMap::new(),
            retired_ids: HashSet::new(),
            last_change: Instant::now(),
            idle_before_use: None,
            was_used: false,
            last_received: Instant::now(),
            opened_at,
            _permit: permit,
        }
    }

    /// Whether nothing is in flight on it.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether no late answer could be taken for that of a new request with this id.
    pub(crate) fn accepts_id(&self, id: &str) -> bool {
        self.retired_ids.len() < MAX_RETIRED_IDS
            && !self.retired_ids.contains(id)
            && !self.requests.contains_key(id)
    }

    /// Whether it changed recently enough to be used: within `reuse_limit`, or `idle_timeout` if it was never used.
    pub(crate) fn is_fresh(&self, reuse_limit: Duration, idle_timeout: Duration) -> bool {
        let limit = if self.was_used { reuse_limit } else { idle_timeout };
        self.last_change.elapsed() < limit
    }

    /// Whether something has come, read or not, that is not a whole message: a part of one, more input, or its end.
    pub(crate) fn has_unexpected_input(&self) -> bool {
        let no_input = |e: io::Error| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted);
        self.has_partial_message.load(SeqCst) || !self.stream.peek(&mut [0]).is_err_and(no_input)
    }

    /// How long the engine could have spoken on it and has not.
    pub(crate) fn silent_for(&self) -> Duration {
        self.last_received.max(self.last_change).elapsed()
    }

    /// Records that a request is about to be written to it.
    pub(crate) fn begin_request(&mut self, wire_id: Box<str>, id: RequestId) {
        if self.is_idle() {
            self.idle_before_use = self.was_used.then(|| self.last_change.elapsed());
            self.last_change = Instant::now();
            self.was_used = true;
        }
        self.requests.insert(wire_id, id);
    }

    /// Records that a request on it has ended.
    pub(crate) fn end_request(&mut self, wire_id: &str) {
        self.requests.remove(wire_id);
        self.last_change = Instant::now();
    }

    /// Keeps new requests with this id off the connection.
    pub(crate) fn retire_id(&mut self, wire_id: Box<str>) {
        self.retired_ids.insert(wire_id);
    }

    /// Writes as much as fits at once.
    pub(crate) fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match (&*self.stream).write(bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                written => return written,
            }
        }
    }

    /// Writes everything, or fails where the connection does not take it at once.
    pub(crate) fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(bytes)
    }

    /// Ends both directions.
    pub(crate) fn shut_down(&self) {
        // One that has ended already can't be shut down, and need not be.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
