//! The part of a client connection that several threads use: its open requests and unsent answers.
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

/// The protocol's limit of open requests on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Unread bytes that are searched for a cancellation before something is sent to an engine.
const PEEK_BYTES: usize = 4096;

/// A client connection. Answers are written one after another, and no thread blocks until the client reads them.
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
    /// Whether the last message was read only in part.
    pub inside_message: bool,
}

struct OpenRequests {
    by_id: HashMap<RequestId, OpenRequest>,
    /// When bytes were last received, or a request was last answered or cancelled.
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

    /// Locks the read position. The lock is to be held until the bytes that were read have been processed.
    pub fn lock_read_position(&self) -> MutexGuard<'_, ReadPosition> {
        lock(&self.read_position)
    }

    /// Whether bytes that were received but not yet read cancel this request, or the connection has ended.
    pub fn has_unread_cancellation(&self, request_id: RequestId) -> bool {
        // The thread that holds the lock processes cancellations itself.
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

    /// Records that bytes were received.
    pub fn record_activity(&self) {
        lock(&self.requests).last_activity = Instant::now();
    }

    /// The time since bytes were last received or an answer was given. `None` while a request is open or the client has
    /// not read all answers.
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

    /// Whether the request with this id is open, and is that of this job.
    pub fn awaits(&self, request_id: RequestId, job: JobId) -> bool {
        lock(&self.requests).by_id.get(&request_id).is_some_and(|open| open.job == job)
    }

    /// Whether a request with this id is open.
    pub fn is_open(&self, request_id: RequestId) -> bool {
        lock(&self.requests).by_id.contains_key(&request_id)
    }

    /// Opens a request. `cancellation` is cancelled when the request is answered or cancelled.
    pub fn open(&self, request_id: RequestId, job: JobId, cancellation: Arc<CancellationToken>) {
        lock(&self.requests).by_id.insert(request_id, OpenRequest { job, cancellation });
    }

    /// Cancels a request, and returns its job if it was open.
    pub fn cancel(&self, request_id: RequestId) -> Option<JobId> {
        let mut requests = lock(&self.requests);
        requests.last_activity = Instant::now();
        let open = requests.by_id.remove(&request_id)?;
        open.cancellation.cancel();
        Some(open.job)
    }

    /// Cancels all open requests, and returns their jobs in ascending order.
    #[must_use = "the controller has to be notified of the jobs"]
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
        // Written under the lock, so that a thread that finds no open request finds the answer written or buffered.
        self.write(request_id, reply);
        true
    }

    /// Writes a reply, and buffers the part for which the socket buffer has no space.
    pub fn write(&self, request_id: RequestId, reply: &Reply) {
        let mut output = lock(&self.output);
        if !output.is_closed() {
            output.write(codec::encode(request_id, reply), &self.stream);
        }
    }

    /// Writes as much of the buffered answers as the socket buffer has space for.
    pub fn flush(&self) {
        let mut output = lock(&self.output);
        if !output.is_empty() {
            output.flush(&self.stream);
        }
    }

    /// Shuts down this side of the connection if all answers are written, and returns whether they are. The client
    /// reads the end of the stream after its last answer, and what it still sends does not reset the connection.
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
