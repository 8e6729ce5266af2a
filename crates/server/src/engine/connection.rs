//! One connection to an engine: the requests in flight on it, and whether it may be reused.

use crate::engine::connection_input::ConnectionInput;
use crate::engine::ids::RequestId;
use crate::limits::Permit;
use pebblevane::time::Timestamp;
use std::collections::{HashMap, HashSet};
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection with this many retired ids takes no new requests.
const MAX_RETIRED_IDS: usize = 64;

/// A connection that an engine has accepted and that is not yet added to the socket poller.
pub(crate) struct DialedConnection {
    /// The connection.
    pub(crate) stream: TcpStream,
    /// Covers its descriptor.
    pub(crate) permit: Permit,
}

/// One connection to an engine.
pub(crate) struct EngineConnection {
    stream: Arc<TcpStream>,
    /// Its receiving side, which the socket poller reads.
    input: Arc<ConnectionInput>,
    /// The requests in flight, by their ids on the wire.
    pub(crate) requests: HashMap<Box<str>, RequestId>,
    /// Ids of requests that ended without their final answer. A late answer may still arrive under them, so they are
    /// not used again on this connection.
    retired_ids: HashSet<Box<str>>,
    /// When it was made, last changed from idle to busy, or last finished a request.
    pub(crate) last_change: Instant,
    /// How long it had been idle before the requests now in flight; `None` on its first use.
    pub(crate) idle_before_use: Option<Duration>,
    was_used: bool,
    /// When a message was last received on it.
    pub(crate) last_received: Instant,
    /// When it was made, on the program's clock.
    pub(crate) opened_at: Timestamp,
    /// Covers its descriptor.
    _permit: Permit,
}

impl EngineConnection {
    /// A connection that was made just now.
    pub(crate) fn new(
        stream: Arc<TcpStream>,
        input: Arc<ConnectionInput>,
        opened_at: Timestamp,
        permit: Permit,
    ) -> EngineConnection {
        EngineConnection {
            stream,
            input,
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

    /// Whether a new request may use this id: no late answer of an earlier request could be mistaken for its answer.
    pub(crate) fn accepts_id(&self, id: &str) -> bool {
        self.retired_ids.len() < MAX_RETIRED_IDS
            && !self.retired_ids.contains(id)
            && !self.requests.contains_key(id)
    }

    /// Whether its last change is recent enough for reuse: within `reuse_limit`, or `idle_timeout` if it was never
    /// used.
    pub(crate) fn is_fresh(&self, reuse_limit: Duration, idle_timeout: Duration) -> bool {
        let limit = if self.was_used { reuse_limit } else { idle_timeout };
        self.last_change.elapsed() < limit
    }

    /// Whether there is input that no request explains: an incomplete message, unread bytes, or the end of the stream.
    pub(crate) fn has_unexpected_input(&self) -> bool {
        !self.input.is_quiet()
    }

    /// The time without a message from the engine, counted from the last change of the connection at the earliest.
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

    /// Writes as much as the socket buffer has space for.
    pub(crate) fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        loop {
            match (&*self.stream).write(bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                written => return written,
            }
        }
    }

    /// Writes everything, or fails if the socket buffer has no space for all of it.
    pub(crate) fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        (&*self.stream).write_all(bytes)
    }

    /// Ends both directions.
    pub(crate) fn shut_down(&self) {
        // This fails if the connection has ended already, and has no effect then.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
