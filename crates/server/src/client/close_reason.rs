//! Why a client connection ends.

use crate::codec::client::ProtocolError;
use thiserror::Error;

/// Why a client connection ends, for the log.
#[derive(Debug, Error)]
pub enum CloseReason {
    /// The client has closed the connection, or its side of it.
    #[error("the client closed it")]
    ClosedByClient,
    /// Reading from the connection failed.
    #[error(transparent)]
    ReadFailed(#[from] std::io::Error),
    /// The client goes on sending after it was shown the end of the connection.
    #[error("the client goes on behind the end")]
    LingerBytesExceeded,
    /// The client does not end its side after it was shown the end of the connection.
    #[error("the client does not end it")]
    LingerTimeout,
    /// The received bytes are not of the client protocol.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The budget of bytes is used up.
    #[error("no bytes are left for an unfinished message")]
    OutOfBufferBytes,
    /// No message came, or not all of one, for too long.
    #[error("idle, or a message that does not come to its end")]
    Idle,
    /// New connections wait for a descriptor.
    #[error("it makes room")]
    Evicted,
    /// The process shuts down.
    #[error("the program stops")]
    ShuttingDown,
}

/// How reading from a connection failed, which decides how it ends.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The client has left or gets no more time: the connection is aborted.
    #[error(transparent)]
    Abort(CloseReason),
    /// The connection is closed gracefully, so that the answers given before still reach the client.
    #[error(transparent)]
    Close(CloseReason),
}

impl From<ProtocolError> for ReadError {
    fn from(error: ProtocolError) -> ReadError {
        ReadError::Close(error.into())
    }
}
