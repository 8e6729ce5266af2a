//! One connection to an engine: the requests in flight on it, and whether it may be reused.

use crate::engine::connection_input::ConnectionInput;
use crate::engine::ids::EngineRequestId;
use crate::limits::Permit;
use pebblevane::time::Timestamp;
use std::collections::{HashMap, HashSet};
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection with this many retired ids accepts no new requests.
const MAX_RETIRED_IDS: usize = 64;

/// A connection that an engine has accepted, but that has not been added to the socket poller yet.
pub(crate) struct DialedConnection {
    pub(crate) stream: TcpStream,
    /// Reserves its file descriptor.
    pub(crate) permit: Permit,
}

/// One connection to an engine.
pub(crate) struct EngineConnection {
    stream: Arc<TcpStream>,
    /// Its receiving side, which the socket poller reads.
    input: Arc<ConnectionInput>,
    /// The requests in flight, by their ids on the wire.
    pub(crate) requests: HashMap<Box<str>, EngineRequestId>,
    /// Ids of requests that ended without their final answer. A late answer with such an id may still arrive, so they
    /// are not used again on this connection.
    retired_ids: HashSet<Box<str>>,
    /// When the connection was established, last changed from idle to busy, or last finished a request.
    pub(crate) last_change: Instant,
    /// How long the connection had been idle before it last became busy; `None` on its first use.
    pub(crate) idle_before_use: Option<Duration>,
    was_used: bool,
    /// When a message was last received on it.
    pub(crate) last_received: Instant,
    /// When the connection was established, on the program's clock.
    pub(crate) opened_at: Timestamp,
    /// Reserves its file descriptor.
    _permit: Permit,
}

impl EngineConnection {
    /// A connection that was established just now.
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

    /// Whether no request is in flight on the connection.
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether a new request may use this id, because no late answer to an earlier request could be mistaken for its
    /// answer.
    pub(crate) fn accepts_id(&self, id: &str) -> bool {
        self.retired_ids.len() < MAX_RETIRED_IDS
            && !self.retired_ids.contains(id)
            && !self.requests.contains_key(id)
    }

    /// Whether the last change is recent enough for reuse: within `reuse_limit`, or within `idle_timeout` if the
    /// connection was never used.
    pub(crate) fn is_fresh(&self, reuse_limit: Duration, idle_timeout: Duration) -> bool {
        let limit = if self.was_used { reuse_limit } else { idle_timeout };
        self.last_change.elapsed() < limit
    }

    /// Whether there is input that is not expected while the connection is idle: an incomplete message, unread bytes,
    /// or the end of the stream.
    pub(crate) fn has_unexpected_input(&self) -> bool {
        !self.input.is_quiet()
    }

    /// The time since the last message from the engine, or since the last change of the connection if that was later.
    pub(crate) fn silent_for(&self) -> Duration {
        self.last_received.max(self.last_change).elapsed()
    }

    /// Records that a request is about to be written to the connection.
    pub(crate) fn begin_request(&mut self, wire_id: Box<str>, id: EngineRequestId) {
        if self.is_idle() {
            self.idle_before_use = self.was_used.then(|| self.last_change.elapsed());
            self.last_change = Instant::now();
            self.was_used = true;
        }
        self.requests.insert(wire_id, id);
    }

    /// Records that a request on the connection has ended.
    pub(crate) fn end_request(&mut self, wire_id: &str) {
        self.requests.remove(wire_id);
        self.last_change = Instant::now();
    }

    /// Prevents new requests with this id from using the connection.
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

    /// Shuts down both directions of the stream.
    pub(crate) fn shut_down(&self) {
        // Fails if the connection has already ended, and then nothing is left to do.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
