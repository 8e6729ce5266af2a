//! The part of a client connection that several threads use: its open requests and unsent answers.
//!
//! Locks are taken in the order `read_position`, `requests`, `output`.

use super::cancellation::CancellationToken;
use super::connection_failures::{ConnectionError, ConnectionFailures, ConnectionId};
use super::write_buffer::WriteBuffer;
use crate::codec::client::{self as codec, Reply, RequestId};
use crate::lifecycle::sync::lock;
use crate::lifecycle::transient::is_transient_io_error;
use crate::limits::Permit;
use pebblevane::interface::JobId;
use std::collections::{HashMap, HashSet};
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The protocol's limit of open requests on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Unread bytes that are searched for a cancellation before something is sent to an engine.
const PEEK_BYTES: usize = 4096;

/// A client connection. Answers are written one after another, and no thread blocks until the client reads them.
pub struct ClientSession {
    id: ConnectionId,
    stream: TcpStream,
    output: Mutex<WriteBuffer>,
    requests: Mutex<OpenRequests>,
    read_position: Mutex<ReadPosition>,
    failures: Arc<ConnectionFailures>,
    /// A failure has been reported.
    has_failed: AtomicBool,
    _descriptor: Permit,
}

/// What the bytes that were received but not yet read say about a request.
enum ReadAhead {
    /// Nothing of it.
    Nothing,
    /// The client has cancelled it, or closed the connection.
    Cancelled,
    /// The connection has failed.
    Failed(io::Error),
}

/// How far a connection has been read. The thread that reads holds its lock until it has processed what it read.
#[derive(Default)]
pub struct ReadPosition {
    /// Whether the last message was read only in part.
    pub inside_message: bool,
}

struct OpenRequests {
    by_id: HashMap<RequestId, OpenRequest>,
    /// Requests that a read-ahead has cancelled, until the thread that reads comes to their cancellation.
    cancelled_ahead: HashSet<RequestId>,
    /// When bytes were last received, or a request was last answered or cancelled.
    last_activity: Instant,
}

struct OpenRequest {
    job: JobId,
    cancellation: Arc<CancellationToken>,
}

impl ClientSession {
    /// A session on a connected, non-blocking stream. `descriptor` is held as long as the session, `output` covers
    /// answers that the client has not read yet. `failures` receives the failure of the connection.
    pub fn new(
        id: ConnectionId,
        stream: TcpStream,
        descriptor: Permit,
        output: Permit,
        failures: Arc<ConnectionFailures>,
    ) -> ClientSession {
        let requests = OpenRequests {
            by_id: HashMap::new(),
            cancelled_ahead: HashSet::new(),
            last_activity: Instant::now(),
        };
        ClientSession {
            id,
            stream,
            output: Mutex::new(WriteBuffer::new(output)),
            requests: Mutex::new(requests),
            read_position: Mutex::default(),
            failures,
            has_failed: AtomicBool::new(false),
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

    /// Cancels this request if bytes that were received but not yet read cancel it, or the connection has ended. Returns
    /// whether it did.
    pub fn cancel_if_unread(&self, request_id: RequestId) -> bool {
        // The thread that holds the lock processes cancellations itself.
        let Ok(position) = self.read_position.try_lock() else { return false };
        match self.read_ahead(&position, request_id) {
            ReadAhead::Nothing => return false,
            ReadAhead::Cancelled => {}
            ReadAhead::Failed(error) => self.fail(error.into()),
        }
        self.cancel_ahead(request_id);
        true
    }

    fn read_ahead(&self, position: &ReadPosition, request_id: RequestId) -> ReadAhead {
        let mut unread = [0; PEEK_BYTES];
        loop {
            return match self.stream.peek(&mut unread) {
                Ok(0) => ReadAhead::Cancelled,
                Ok(_) if position.inside_message => ReadAhead::Nothing,
                Ok(count) if codec::contains_cancellation(&unread[..count], request_id) => {
                    ReadAhead::Cancelled
                }
                Ok(_) => ReadAhead::Nothing,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if is_transient_io_error(&e) => ReadAhead::Nothing,
                Err(e) => ReadAhead::Failed(e),
            };
        }
    }

    fn cancel_ahead(&self, request_id: RequestId) {
        let mut requests = lock(&self.requests);
        if let Some(open) = requests.by_id.remove(&request_id) {
            open.cancellation.cancel();
            requests.cancelled_ahead.insert(request_id);
        }
    }

    /// Whether a request was cancelled by a read-ahead, and the thread that reads has not come to its cancellation.
    pub fn has_unconfirmed_cancellations(&self) -> bool {
        !lock(&self.requests).cancelled_ahead.is_empty()
    }

    /// Takes the requests that a read-ahead has cancelled and no message since.
    #[must_use]
    pub fn take_unconfirmed_cancellations(&self) -> HashSet<RequestId> {
        std::mem::take(&mut lock(&self.requests).cancelled_ahead)
    }

    /// Whether the connection has failed, so that its owner is to end it.
    pub fn has_failed(&self) -> bool {
        self.has_failed.load(SeqCst)
    }

    /// Reports that the connection has failed, so that its owner ends it.
    fn fail(&self, error: ConnectionError) {
        if !self.has_failed.swap(true, SeqCst) {
            self.failures.report(self.id, error);
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
        requests.cancelled_ahead.remove(&request_id);
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
            self.check(output.write(codec::encode(request_id, reply), &self.stream));
        }
    }

    /// Writes as much of the buffered answers as the socket buffer has space for.
    pub fn flush(&self) {
        let mut output = lock(&self.output);
        if !output.is_empty() {
            self.check(output.flush(&self.stream));
        }
    }

    /// Shuts down this side of the connection if all answers are written, and returns whether they are. The client
    /// reads the end of the stream after its last answer, and what it still sends does not reset the connection.
    pub fn finish_writing(&self) -> bool {
        let mut output = lock(&self.output);
        self.check(output.flush(&self.stream));
        let finished = output.is_empty();
        if finished {
            output.shut_down(&self.stream);
        }
        finished
    }

    fn check(&self, written: Result<(), ConnectionError>) {
        if let Err(error) = written {
            self.fail(error);
        }
    }

    /// Ends the connection at once. Answers that were not read are lost.
    pub fn abort(&self) {
        lock(&self.output).abort(&self.stream);
    }
}
