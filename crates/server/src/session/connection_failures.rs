//! Client connections that have failed, reported by any thread.
//!
//! A socket reports an error only once, to the thread that uses it next, and several threads use the socket of a client
//! connection. Each thread reports its error here. The thread that owns the connections closes them, so that clients do
//! not wait for answers that will never come.

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
    /// The client did not read its answers in time.
    #[error("the client does not read its answers")]
    SlowClient,
    /// The budget of buffer bytes is exhausted.
    #[error("no buffer memory left for unread answers")]
    OutOfBufferBytes,
}

/// A connection that has failed.
pub struct ConnectionFailure {
    /// Which connection has failed.
    pub connection: ConnectionId,
    /// The first error that was reported for it.
    pub error: ConnectionError,
}

/// The failed connections that their owner has not closed yet, with at most one entry per connection.
pub struct ConnectionFailures {
    pending: Mutex<Vec<ConnectionFailure>>,
    waker: Waker,
}

impl ConnectionFailures {
    /// Creates an empty list. `waker` wakes the thread that owns the connections.
    pub fn new(waker: Waker) -> ConnectionFailures {
        ConnectionFailures { pending: Mutex::default(), waker }
    }

    /// Reports a failure. To be called at most once for each connection.
    pub(super) fn report(&self, connection: ConnectionId, error: ConnectionError) {
        lock(&self.pending).push(ConnectionFailure { connection, error });
        // If the system refuses the wake-up, the owner finds the failure after its current wait for events.
        let _ = wake(&self.waker);
    }

    /// Takes the failures that were reported since this was last called.
    #[must_use = "the connections have to be closed"]
    pub fn take(&self) -> Vec<ConnectionFailure> {
        std::mem::take(&mut lock(&self.pending))
    }
}
