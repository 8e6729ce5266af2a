//! Why a client connection ends.

use crate::codec::client::ProtocolError;
use crate::session::connection_failures::ConnectionError;
use thiserror::Error;

/// Why a client connection ends, for the log.
#[derive(Debug, Error)]
pub enum CloseReason {
    /// The client has closed the connection, or its side of it.
    #[error("closed by the client")]
    ClosedByClient,
    /// A read or write failed, or answers that the client did not read exceeded the time limit or the memory budget.
    #[error(transparent)]
    Failed(#[from] ConnectionError),
    /// The client kept sending after this side of the connection was shut down.
    #[error("the client sent too much during the graceful close")]
    LingerBytesExceeded,
    /// The client did not shut down its side in time after this side was shut down.
    #[error("the client did not close its side in time")]
    LingerTimeout,
    /// The received bytes are not of the client protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// No message, or only a part of one, was received within the time limit.
    #[error("idle, or a message was not completed in time")]
    Idle,
    /// The connection was idle, and its descriptor is needed for a new connection.
    #[error("evicted for a new connection")]
    Evicted,
    /// The process is shutting down.
    #[error("shutting down")]
    ShuttingDown,
}

/// How reading from a connection failed, which decides how it ends.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The client has disconnected or exceeded a time limit: the connection is aborted.
    #[error(transparent)]
    Abort(CloseReason),
    /// The connection is closed gracefully, so that answers already given still reach the client.
    #[error(transparent)]
    Close(CloseReason),
}

impl From<ProtocolError> for ReadError {
    fn from(error: ProtocolError) -> ReadError {
        ReadError::Close(error.into())
    }
}
