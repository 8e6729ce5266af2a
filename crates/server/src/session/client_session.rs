//! Client connections, the jobs that are open on each, and the ids of all open jobs.

use crate::codec::client::{self as wire, Reply};
use crate::limits::Permit;
use crate::session::cancellation::CancellationToken;
use crate::telemetry::counters;
use pebblevane::interface::JobId;
use std::collections::{HashMap, HashSet};
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Requests that one connection may hold open, as the protocol says.
const OPEN: usize = 32;
/// Unread bytes that are looked at before something is sent.
const UNREAD: usize = 4096;
/// A client that does not take its answers within this time is cut off.
const WRITE: Duration = Duration::from_secs(2);

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic ends the program, so that nobody sees what a panic left behind.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A client connection. Answers go out whole, one after another, and nobody waits for the client to take them.
pub struct ClientSession {
    pub stream: TcpStream,
    out: Mutex<WriteBuffer>,
    state: Mutex<State>,
    reading: Mutex<ReadPosition>,
    _lease: Permit,
}

/// How far a connection has been read. Whoever reads holds it until what was read is dealt with.
#[derive(Default)]
pub struct ReadPosition {
    /// A message has been read in part.
    pub midway: bool,
}

struct WriteBuffer {
    /// What the client has not yet taken, and since when.
    bytes: Vec<u8>,
    since: Instant,
    held: Permit,
    /// Nothing more is written: the connection is cut, or this side has ended.
    broken: bool,
}

struct State {
    /// The open requests by message id.
    open: HashMap<u32, (JobId, Arc<CancellationToken>)>,
    /// When something last came or was answered.
    since: Instant,
}

impl ClientSession {
    /// `lease` is for the descriptor, `held` for the bytes of answers that are not taken at once.
    pub fn new(stream: TcpStream, lease: Permit, held: Permit) -> ClientSession {
        let since = Instant::now();
        ClientSession {
            stream,
            out: Mutex::new(WriteBuffer { bytes: Vec::new(), since, held, broken: false }),
            state: Mutex::new(State { open: HashMap::new(), since }),
            reading: Mutex::default(),
            _lease: lease,
        }
    }

    /// For whoever reads the connection and deals with what it reads.
    pub fn reading(&self) -> MutexGuard<'_, ReadPosition> {
        locked(&self.reading)
    }

    /// Whether the client has closed the connection, or taken this request back, in what has come and is not read yet.
    pub fn has_withdrawn(&self, message: u32) -> bool {
        // What is being read at this moment is dealt with at once.
        let Ok(position) = self.reading.try_lock() else { return false };
        let mut unread = [0; UNREAD];
        match self.stream.peek(&mut unread) {
            Ok(0) => true,
            Ok(count) => !position.midway && wire::takes_back(&unread[..count], message),
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Something has come.
    pub fn speaks(&self) {
        locked(&self.state).since = Instant::now();
    }

    /// How long nothing has come and been answered; none while something is open or not yet taken.
    pub fn idle_for(&self) -> Option<Duration> {
        let state = locked(&self.state);
        (state.open.is_empty() && locked(&self.out).bytes.is_empty()).then(|| state.since.elapsed())
    }

    /// Whether nothing is open and nothing is kept that the client has not taken.
    pub fn rests(&self) -> bool {
        self.idle_for().is_some()
    }

    /// Whether the connection carries one more request.
    pub fn has_room(&self) -> bool {
        locked(&self.state).open.len() < OPEN
    }

    /// Whether this job's answer is still owed.
    pub fn waits_for(&self, message: u32, job: JobId) -> bool {
        locked(&self.state).open.get(&message).is_some_and(|(open, _)| *open == job)
    }

    pub fn is_open(&self, message: u32) -> bool {
        locked(&self.state).open.contains_key(&message)
    }

    /// `wanted` is told when nobody waits for the job any more.
    pub fn open(&self, message: u32, job: JobId, wanted: Arc<CancellationToken>) {
        locked(&self.state).open.insert(message, (job, wanted));
    }

    /// The client no longer waits for it: nothing is sent for it from now on.
    pub fn forget(&self, message: u32) -> Option<JobId> {
        let mut state = locked(&self.state);
        state.since = Instant::now();
        let (job, wanted) = state.open.remove(&message)?;
        wanted.cancel();
        Some(job)
    }

    /// The client no longer waits for anything; what it had open.
    pub fn forget_all(&self) -> Vec<JobId> {
        let open = std::mem::take(&mut locked(&self.state).open);
        open.values().for_each(|(_, wanted)| wanted.cancel());
        let mut jobs: Vec<JobId> = open.into_values().map(|(job, _)| job).collect();
        jobs.sort_unstable();
        jobs
    }

    /// The connection ends here and now, whatever is still on its way.
    pub fn cut(&self) {
        locked(&self.out).give_up(&self.stream);
    }

    /// Ends this side of the connection once all answers have left; says whether they have. The client sees the
    /// end behind its answers, and what it sends meanwhile is no reason for a reset.
    pub fn finish(&self) -> bool {
        let mut out = locked(&self.out);
        out.flush(&self.stream);
        let done = out.bytes.is_empty();
        if done && !std::mem::replace(&mut out.broken, true) {
            let _ = self.stream.shutdown(Shutdown::Write);
        }
        done
    }

    /// The one place from which a job's answer goes out: once, and not if the client has forgotten the job. Says
    /// whether it did.
    pub fn answer(&self, message: u32, reply: &Reply) -> bool {
        let mut state = locked(&self.state);
        let Some((_, wanted)) = state.open.remove(&message) else { return false };
        wanted.cancel();
        state.since = Instant::now();
        // Still under the lock: whoever finds nothing open here finds the answer kept or gone out.
        self.write(message, reply);
        true
    }

    /// Writes one message, or keeps what the client does not take at once.
    pub fn write(&self, message: u32, reply: &Reply) {
        let mut out = locked(&self.out);
        if out.broken {
            return;
        }
        if out.bytes.is_empty() {
            out.since = Instant::now();
        }
        out.bytes.extend(wire::encode(message, reply));
        out.flush(&self.stream);
    }

    /// The client may take more. One that does not, or only a byte now and then, loses its connection, for only
    /// so can it tell that an answer is cut.
    pub fn flush(&self) {
        let mut out = locked(&self.out);
        if !out.bytes.is_empty() {
            out.flush(&self.stream);
        }
    }
}

impl WriteBuffer {
    fn flush(&mut self, mut to: &TcpStream) {
        let mut done = 0;
        while done < self.bytes.len() {
            match to.write(&self.bytes[done..]) {
                Ok(count) if count > 0 => done += count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && self.since.elapsed() < WRITE => break,
                _ => {
                    counters::SLOW_CLIENTS_CUT_OFF.increment();
                    return self.give_up(to);
                }
            }
        }
        self.bytes.drain(..done);
        self.bytes.shrink_to(0);
        let kept = self.bytes.len();
        if !self.held.grow_to(kept) {
            counters::SLOW_CLIENTS_CUT_OFF.increment();
            return self.give_up(to);
        }
        self.held.shrink_to(kept);
    }

    fn give_up(&mut self, stream: &TcpStream) {
        (self.broken, self.bytes) = (true, Vec::new());
        self.held.shrink_to(0);
        let _ = stream.shutdown(Shutdown::Both);
    }
}

/// The clients' own ids of open jobs. Engines know jobs by them, so that no two may be open under one.
#[derive(Default)]
pub struct ClientJobIds(Mutex<HashSet<Box<str>>>);

/// An id that is taken until this is dropped.
pub struct ClientJobId {
    names: Arc<ClientJobIds>,
    name: Box<str>,
}

impl ClientJobIds {
    pub fn take(self: &Arc<Self>, name: &str) -> Option<ClientJobId> {
        locked(&self.0).insert(name.into()).then(|| ClientJobId { names: self.clone(), name: name.into() })
    }
}

impl Drop for ClientJobId {
    fn drop(&mut self) {
        locked(&self.names.0).remove(&self.name);
    }
}
