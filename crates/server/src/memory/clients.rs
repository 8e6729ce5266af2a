//! Client connections and the jobs that are open on each.

use super::budget::Lease;
use super::counts;
use crate::wire::client::{self as wire, Reply};
use pebblevane::interface::JobId;
use std::collections::HashMap;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Requests that one connection may hold open, as the protocol says.
const OPEN: usize = 32;
/// A client that does not take an answer within this time is cut off.
pub const WRITE: Duration = Duration::from_secs(2);

pub struct Client {
    pub stream: TcpStream,
    /// Who writes; answers go out whole, one after another.
    writing: Mutex<()>,
    broken: AtomicBool,
    /// The open requests by message id.
    open: Mutex<HashMap<u32, JobId>>,
    _lease: Lease,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic ends the program, so that nobody sees what a panic left behind.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Client {
    pub fn new(stream: TcpStream, lease: Lease) -> Client {
        Client {
            stream,
            writing: Mutex::default(),
            broken: AtomicBool::new(false),
            open: Mutex::default(),
            _lease: lease,
        }
    }

    /// Whether the connection carries one more request.
    pub fn has_room(&self) -> bool {
        locked(&self.open).len() < OPEN
    }

    pub fn is_open(&self, message: u32) -> bool {
        locked(&self.open).contains_key(&message)
    }

    pub fn open(&self, message: u32, job: JobId) {
        locked(&self.open).insert(message, job);
    }

    pub fn is_idle(&self) -> bool {
        locked(&self.open).is_empty()
    }

    /// The client no longer waits for it.
    pub fn forget(&self, message: u32) -> Option<JobId> {
        locked(&self.open).remove(&message)
    }

    /// The client has gone; what it had open.
    pub fn leave(&self) -> Vec<JobId> {
        self.give_up();
        let mut jobs: Vec<JobId> = locked(&self.open).drain().map(|(_, job)| job).collect();
        jobs.sort_unstable();
        jobs
    }

    fn give_up(&self) {
        self.broken.store(true, SeqCst);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// The one place from which a job's answer goes out: once, and not if the client has forgotten the job.
    pub fn answer(&self, message: u32, reply: &Reply) {
        if self.forget(message).is_some() {
            self.write(message, reply);
        }
    }

    /// Writes one message whole. A client that does not take it in time loses its connection, for only so can
    /// it tell that the message is cut.
    pub fn write(&self, message: u32, reply: &Reply) {
        let bytes = wire::encode(message, reply);
        let _turn = locked(&self.writing);
        if !self.broken.load(SeqCst) && !self.write_in_time(&bytes) {
            counts::CUT_CLIENTS.add();
            self.give_up();
        }
    }

    /// A client that takes a byte now and then is as bad as one that takes none.
    fn write_in_time(&self, mut bytes: &[u8]) -> bool {
        let begun = Instant::now();
        while !bytes.is_empty() {
            match (&self.stream).write(bytes) {
                Ok(count) if count > 0 && begun.elapsed() < WRITE => bytes = &bytes[count..],
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return false,
            }
        }
        true
    }
}
