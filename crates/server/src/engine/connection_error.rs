//! Why a connection to an engine could not be established, or was lost.

use crate::codec::engine::EngineProtocolError;
use std::io;
use thiserror::Error;

/// Why a connection could not be established.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// The engine refused the connection, or did not accept it in time.
    #[error("{0}")]
    Dial(#[source] io::Error),
    /// The connection was established, but its socket options could not be set, or the socket poller did not accept it.
    #[error("cannot set up the connection: {0}")]
    Setup(#[source] io::Error),
}

/// Why an established connection is closed.
#[derive(Debug, Error)]
pub(crate) enum ConnectionLostReason {
    /// The engine closed its side.
    #[error("closed by the engine")]
    ClosedByEngine,
    /// Reading failed.
    #[error("{0}")]
    Read(#[source] io::Error),
    /// The engine sent bytes that are not a message.
    #[error("{0}")]
    Protocol(#[from] EngineProtocolError),
    /// The rest of a message was not received in time.
    #[error("the rest of a message was not received in time")]
    MessageStalled,
    /// The connection could not be registered with the system's poller.
    #[error("cannot poll the connection: {0}")]
    Register(#[source] io::Error),
    /// The engine has restarted since the connection was established.
    #[error("the engine has restarted")]
    EngineRestarted,
    /// Input, or the end of the stream, was found while no request was in flight.
    #[error("unexpected input or end of stream on an idle connection")]
    UnexpectedInput,
    /// Not a single byte of a request could be written.
    #[error("cannot write: {0}")]
    WriteRefused(#[source] io::Error),
    /// Only a part of a message could be written.
    #[error("incomplete write: {0}")]
    WriteIncomplete(#[source] io::Error),
    /// The only request on the connection was cancelled after the engine had sent nothing for a while.
    #[error("its request was cancelled while the engine was silent")]
    CancelledWhileSilent,
    /// Nothing is received although progress updates are expected, while the engine sends messages on other
    /// connections.
    #[error("nothing received while other connections to the engine are active")]
    Silent,
}
