//! Client connections that have failed, whichever thread noticed it.
//!
//! A socket reports an error once, to the thread that uses it next, and several threads use the socket of a client
//! connection. Each reports what it is told here; the thread that owns the connections ends them, so that their clients
//! do not wait for answers that never come.

use crate::lifecycle::sync::lock;
use crate::lifecycle::wakeup::wake;
use mio::Waker;
use std::io;
use std::sync::Mutex;
use thiserror::Error;

/// The number of a client connection. Numbers are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub usize);

/// Why a connection can't be used any more.
#[derive(Debug, Error)]
pub enum ConnectionError {
    /// A read or write failed.
    #[error(transparent)]
    Socket(#[from] io::Error),
    /// The client has not read its answers in time.
    #[error("the client does not read its answers")]
    SlowClient,
    /// The budget of buffer bytes is used up.
    #[error("no buffer memory left for unread answers")]
    OutOfBufferBytes,
}

/// A connection that has failed.
pub struct ConnectionFailure {
    /// The connection.
    pub connection: ConnectionId,
    /// How it failed.
    pub error: ConnectionError,
}

/// The failed connections that their owner has not ended yet: one entry for each connection at most.
pub struct ConnectionFailures {
    pending: Mutex<Vec<ConnectionFailure>>,
    waker: Waker,
}

impl ConnectionFailures {
    /// No failures so far. `waker` wakes the owner of the connections.
    pub fn new(waker: Waker) -> ConnectionFailures {
        ConnectionFailures { pending: Mutex::default(), waker }
    }

    /// Reports a failure, once for each connection.
    pub(super) fn report(&self, connection: ConnectionId, error: ConnectionError) {
        lock(&self.pending).push(ConnectionFailure { connection, error });
        // If the system refuses the wake-up, the owner finds the failure after its longest wait for events.
        let _ = wake(&self.waker);
    }

    /// Takes the failures that were reported since this was last called.
    #[must_use = "the connections have to be ended"]
    pub fn take(&self) -> Vec<ConnectionFailure> {
        std::mem::take(&mut lock(&self.pending))
    }
}
