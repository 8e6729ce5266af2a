//! Client connections and the jobs that are open on each.

use super::budget::Lease;
use crate::wire::client::{self as wire, Reply};
use pebblevane::interface::JobId;
use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Requests that one connection may hold open, as the protocol says.
pub const OPEN: usize = 32;

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

    /// Whether a request under this message id may be taken now.
    pub fn takes(&self, message: u32) -> Result<(), &'static str> {
        let open = locked(&self.open);
        match open.len() {
            _ if open.contains_key(&message) => Err("a message id that is open already"),
            OPEN.. => Err("more open requests than a connection carries"),
            _ => Ok(()),
        }
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
        if !self.broken.load(SeqCst) && (&self.stream).write_all(&bytes).is_err() {
            self.give_up();
        }
    }
}
