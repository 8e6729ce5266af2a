//! The state of a client connection that several threads use: its open requests and unwritten answers.
//!
//! Locks are acquired in the order `read_position`, `requests`, `output`.

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

/// The maximum number of open requests on one connection, as the protocol specifies it.
const MAX_OPEN_REQUESTS: usize = 32;
/// The maximum number of unread bytes that are searched for a cancellation before something is sent to an engine.
const PEEK_BYTES: usize = 4096;

/// A client connection. Answers are written one at a time, and no thread blocks until the client reads them.
pub struct ClientSession {
    id: ConnectionId,
    stream: TcpStream,
    output: Mutex<WriteBuffer>,
    requests: Mutex<OpenRequests>,
    read_position: Mutex<ReadPosition>,
    failures: Arc<ConnectionFailures>,
    /// Whether a failure of the connection has been reported.
    has_failed: AtomicBool,
    _descriptor: Permit,
}

/// What a peek at the bytes that were received but not yet read shows about a request.
enum PeekOutcome {
    /// No cancellation of the request was found.
    NotCancelled,
    /// The client has cancelled the request, or closed the connection.
    Cancelled,
    /// The connection has failed.
    Failed(io::Error),
}

/// How far a connection has been read. The thread that reads holds the lock until it has processed what it has read.
#[derive(Default)]
pub struct ReadPosition {
    /// Whether the last message has been read only partly, so that the unread bytes begin within a message.
    pub inside_message: bool,
}

struct OpenRequests {
    by_id: HashMap<RequestId, OpenRequest>,
    /// Requests that were cancelled by a peek at unread bytes, until the thread that reads processes the cancellation.
    cancelled_by_peek: HashSet<RequestId>,
    /// When bytes were last received, or a request was last answered or cancelled.
    last_activity: Instant,
}

struct OpenRequest {
    job: JobId,
    cancellation: Arc<CancellationToken>,
}

impl ClientSession {
    /// Creates a session on a connected, non-blocking stream. The session holds `descriptor` as long as it exists;
    /// `output` is the permit for answers that the client has not read yet. A failure of the connection is reported to
    /// `failures`.
    pub fn new(
        id: ConnectionId,
        stream: TcpStream,
        descriptor: Permit,
        output: Permit,
        failures: Arc<ConnectionFailures>,
    ) -> ClientSession {
        let requests = OpenRequests {
            by_id: HashMap::new(),
            cancelled_by_peek: HashSet::new(),
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

    /// The connection, for reading and polling. Only the session writes to it.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Locks the read position. The caller holds the lock until it has processed the bytes that it has read.
    pub fn lock_read_position(&self) -> MutexGuard<'_, ReadPosition> {
        lock(&self.read_position)
    }

    /// Cancels this request if bytes that were received but not yet read contain its cancellation, or the connection
    /// has ended or failed. Returns whether that was found.
    pub fn apply_unread_cancellation(&self, request_id: RequestId) -> bool {
        // The thread that holds the lock processes cancellations itself.
        let Ok(position) = self.read_position.try_lock() else { return false };
        match self.peek(&position, request_id) {
            PeekOutcome::NotCancelled => return false,
            PeekOutcome::Cancelled => {}
            PeekOutcome::Failed(error) => self.fail(error.into()),
        }
        self.cancel_by_peek(request_id);
        true
    }

    fn peek(&self, position: &ReadPosition, request_id: RequestId) -> PeekOutcome {
        let mut unread = [0; PEEK_BYTES];
        loop {
            return match self.stream.peek(&mut unread) {
                Ok(0) => PeekOutcome::Cancelled,
                Ok(_) if position.inside_message => PeekOutcome::NotCancelled,
                Ok(count) if codec::contains_cancellation(&unread[..count], request_id) => {
                    PeekOutcome::Cancelled
                }
                Ok(_) => PeekOutcome::NotCancelled,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if is_transient_io_error(&e) => PeekOutcome::NotCancelled,
                Err(e) => PeekOutcome::Failed(e),
            };
        }
    }

    fn cancel_by_peek(&self, request_id: RequestId) {
        let mut requests = lock(&self.requests);
        if let Some(open) = requests.by_id.remove(&request_id) {
            open.cancellation.cancel();
            requests.cancelled_by_peek.insert(request_id);
        }
    }

    /// Whether a request was cancelled by a peek and its cancellation has not been processed yet.
    pub fn has_unconfirmed_cancellations(&self) -> bool {
        !lock(&self.requests).cancelled_by_peek.is_empty()
    }

    /// Takes the requests that were cancelled by a peek and whose cancellation has not been processed since.
    #[must_use]
    pub fn take_unconfirmed_cancellations(&self) -> HashSet<RequestId> {
        std::mem::take(&mut lock(&self.requests).cancelled_by_peek)
    }

    /// Whether a failure has been reported, so that the connection's owner will close it.
    pub fn has_failed(&self) -> bool {
        self.has_failed.load(SeqCst)
    }

    /// Reports that the connection has failed, so that its owner closes it. Only the first report counts.
    fn fail(&self, error: ConnectionError) {
        if !self.has_failed.swap(true, SeqCst) {
            self.failures.report(self.id, error);
        }
    }

    /// Records that bytes were received.
    pub fn record_activity(&self) {
        lock(&self.requests).last_activity = Instant::now();
    }

    /// The time since bytes were last received, or a request was last answered or cancelled. `None` while a request is
    /// open or the client has not read all answers.
    pub fn idle_for(&self) -> Option<Duration> {
        let requests = lock(&self.requests);
        let is_idle = requests.by_id.is_empty() && lock(&self.output).is_empty();
        is_idle.then(|| requests.last_activity.elapsed())
    }

    /// Whether no request is open and the client has read all answers.
    pub fn is_idle(&self) -> bool {
        self.idle_for().is_some()
    }

    /// Whether one more request may be opened.
    pub fn has_capacity(&self) -> bool {
        lock(&self.requests).by_id.len() < MAX_OPEN_REQUESTS
    }

    /// Whether the request with this id is open and belongs to this job.
    pub fn is_open_for(&self, request_id: RequestId, job: JobId) -> bool {
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
        requests.cancelled_by_peek.remove(&request_id);
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

    /// Answers an open request and returns true, or returns false if it has already been answered or cancelled. Every
    /// answer to a job is written here. `memory` is the job's permit for its result, if it has one.
    pub fn respond(&self, request_id: RequestId, reply: &Reply, memory: Option<Permit>) -> bool {
        let mut requests = lock(&self.requests);
        let Some(open) = requests.by_id.remove(&request_id) else { return false };
        open.cancellation.cancel();
        requests.last_activity = Instant::now();
        // Written under the lock, so that a thread that finds no open request finds the answer written or buffered.
        self.write_with(request_id, reply, memory);
        true
    }

    /// Appends a reply without a result to the buffered answers. It is written with the next answer or
    /// [`ClientSession::flush`], so that the replies to many messages need few system calls.
    pub fn write_deferred(&self, request_id: RequestId, reply: &Reply) {
        let mut output = lock(&self.output);
        if !output.is_closed() {
            self.report_write_error(output.write_deferred(&codec::encode(request_id, reply), &self.stream));
        }
    }

    fn write_with(&self, request_id: RequestId, reply: &Reply, memory: Option<Permit>) {
        let mut output = lock(&self.output);
        if !output.is_closed() {
            self.report_write_error(output.write(&codec::encode(request_id, reply), memory, &self.stream));
        }
    }

    /// Writes as many bytes of the buffered answers as the socket buffer has space for.
    pub fn flush(&self) {
        let mut output = lock(&self.output);
        if !output.is_empty() {
            self.report_write_error(output.flush(&self.stream));
        }
    }

    /// Shuts down this side of the connection if all answers are written, and returns whether they are. The client
    /// reads the end of the stream after its last answer, and bytes that it still sends do not reset the connection.
    pub fn finish_writing(&self) -> bool {
        let mut output = lock(&self.output);
        self.report_write_error(output.flush(&self.stream));
        let finished = output.is_empty();
        if finished {
            output.shut_down(&self.stream);
        }
        finished
    }

    fn report_write_error(&self, written: Result<(), ConnectionError>) {
        if let Err(error) = written {
            self.fail(error);
        }
    }

    /// Ends the connection immediately. Answers that the client has not read yet may be lost.
    pub fn abort(&self) {
        lock(&self.output).abort(&self.stream);
    }
}
