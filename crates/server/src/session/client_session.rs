//! A client connection as the whole program sees it: its open requests and the answers on their way to it.
//!
//! Locks are taken in the order `read_position`, `requests`, `output`.

use super::cancellation::CancellationToken;
use super::write_buffer::WriteBuffer;
use crate::codec::client::{self as codec, Reply, RequestId};
use crate::lifecycle::sync::lock;
use crate::limits::Permit;
use pebblevane::interface::JobId;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Requests that may be open on one connection; the protocol says so.
const MAX_OPEN_REQUESTS: usize = 32;
/// Unread bytes that are searched for a cancellation before something is sent to an engine.
const PEEK_BYTES: usize = 4096;

/// A client connection. Answers are written whole, one after another, and no thread waits for the client to read them.
pub struct ClientSession {
    stream: TcpStream,
    output: Mutex<WriteBuffer>,
    requests: Mutex<OpenRequests>,
    read_position: Mutex<ReadPosition>,
    _descriptor: Permit,
}

/// How far a connection has been read. The thread that reads holds its lock until it has processed what it read.
#[derive(Default)]
pub struct ReadPosition {
    /// The last message was read only in part.
    pub inside_message: bool,
}

struct OpenRequests {
    by_id: HashMap<RequestId, OpenRequest>,
    /// When something was last received, answered or cancelled.
    last_activity: Instant,
}

struct OpenRequest {
    job: JobId,
    cancellation: Arc<CancellationToken>,
}

impl ClientSession {
    /// A session on a connected, non-blocking stream. `descriptor` is held as long as the session, `output` covers
    /// answers that the client has not read yet.
    pub fn new(stream: TcpStream, descriptor: Permit, output: Permit) -> ClientSession {
        let requests = OpenRequests { by_id: HashMap::new(), last_activity: Instant::now() };
        ClientSession {
            stream,
            output: Mutex::new(WriteBuffer::new(output)),
            requests: Mutex::new(requests),
            read_position: Mutex::default(),
            _descriptor: descriptor,
        }
    }

    /// The connection, to be read and polled. It is written to by the session only.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// To be held while the connection is read and what was read is processed.
    pub fn lock_read_position(&self) -> MutexGuard<'_, ReadPosition> {
        lock(&self.read_position)
    }

    /// Whether what was received and not read yet ends the connection or cancels this request.
    pub fn has_unread_cancellation(&self, request_id: RequestId) -> bool {
        // What is being read right now is processed at once.
        let Ok(position) = self.read_position.try_lock() else { return false };
        let mut unread = [0; PEEK_BYTES];
        match self.stream.peek(&mut unread) {
            Ok(0) => true,
            Ok(count) => {
                !position.inside_message && codec::contains_cancellation(&unread[..count], request_id)
            }
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Notes that something was received.
    pub fn record_activity(&self) {
        lock(&self.requests).last_activity = Instant::now();
    }

    /// The time since something was last received or answered. `None` while a request is open or an answer was not
    /// read completely.
    pub fn idle_for(&self) -> Option<Duration> {
        let requests = lock(&self.requests);
        let is_idle = requests.by_id.is_empty() && lock(&self.output).is_empty();
        is_idle.then(|| requests.last_activity.elapsed())
    }

    /// Whether no request is open and the client has read all answers.
    pub fn is_idle(&self) -> bool {
        self.idle_for().is_some()
    }

    /// Whether one more request may be open.
    pub fn has_capacity(&self) -> bool {
        lock(&self.requests).by_id.len() < MAX_OPEN_REQUESTS
    }

    /// Whether this job is open under this request id.
    pub fn awaits(&self, request_id: RequestId, job: JobId) -> bool {
        lock(&self.requests).by_id.get(&request_id).is_some_and(|open| open.job == job)
    }

    /// Whether a request with this id is open.
    pub fn is_open(&self, request_id: RequestId) -> bool {
        lock(&self.requests).by_id.contains_key(&request_id)
    }

    /// Opens a request. `cancellation` is cancelled when it is answered or its client no longer waits.
    pub fn open(&self, request_id: RequestId, job: JobId, cancellation: Arc<CancellationToken>) {
        lock(&self.requests).by_id.insert(request_id, OpenRequest { job, cancellation });
    }

    /// Closes a request for which the client no longer waits, and returns its job if it was open.
    pub fn cancel(&self, request_id: RequestId) -> Option<JobId> {
        let mut requests = lock(&self.requests);
        requests.last_activity = Instant::now();
        let open = requests.by_id.remove(&request_id)?;
        open.cancellation.cancel();
        Some(open.job)
    }

    /// Closes all requests, as the client no longer waits for any, and returns their jobs in ascending order.
    #[must_use = "the controller has to be told of the jobs"]
    pub fn cancel_all(&self) -> Vec<JobId> {
        let open = std::mem::take(&mut lock(&self.requests).by_id);
        for request in open.values() {
            request.cancellation.cancel();
        }
        let mut jobs: Vec<JobId> = open.into_values().map(|request| request.job).collect();
        jobs.sort_unstable();
        jobs
    }

    /// Answers an open request and returns true, or returns false if it has been answered or cancelled before. Every
    /// answer to a job is written here.
    pub fn respond(&self, request_id: RequestId, reply: &Reply) -> bool {
        let mut requests = lock(&self.requests);
        let Some(open) = requests.by_id.remove(&request_id) else { return false };
        open.cancellation.cancel();
        requests.last_activity = Instant::now();
        // Written under the lock: whoever finds no open request finds the answer written, or in the buffer.
        self.write(request_id, reply);
        true
    }

    /// Writes a reply, or buffers what the client does not read at once.
    pub fn write(&self, request_id: RequestId, reply: &Reply) {
        let mut output = lock(&self.output);
        if !output.is_closed() {
            output.write(codec::encode(request_id, reply), &self.stream);
        }
    }

    /// Writes buffered answers, as far as the client reads them.
    pub fn flush(&self) {
        let mut output = lock(&self.output);
        if !output.is_empty() {
            output.flush(&self.stream);
        }
    }

    /// Ends this side of the connection if all answers are written, and returns whether they are. The client sees the
    /// end behind its last answer, and what it still sends does not reset the connection.
    pub fn finish_writing(&self) -> bool {
        let mut output = lock(&self.output);
        output.flush(&self.stream);
        let finished = output.is_empty();
        if finished {
            output.shut_down(&self.stream);
        }
        finished
    }

    /// Ends the connection at once. Answers that were not read are lost.
    pub fn abort(&self) {
        lock(&self.output).abort(&self.stream);
    }
}
