//! Why a connection to an engine could not be made, or was lost.

use crate::codec::engine::EngineProtocolError;
use std::io;
use thiserror::Error;

/// Why a connection could not be made.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// The engine refused it or did not answer in time.
    #[error("{0}")]
    Dial(#[source] io::Error),
    /// It was made, but its socket options could not be set, or the socket poller did not accept it.
    #[error("cannot set up the connection: {0}")]
    Setup(#[source] io::Error),
}

/// Why a connection that had been made is closed.
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
    #[error("an answer stopped in the middle")]
    MessageStalled,
    /// The system refused to poll it.
    #[error("cannot poll the connection: {0}")]
    Register(#[source] io::Error),
    /// The engine has restarted since the connection was made.
    #[error("the engine has restarted")]
    EngineRestarted,
    /// Input, or the end of the stream, was found while no request was in flight.
    #[error("unexpected input or end of stream on an idle connection")]
    UnexpectedInput,
    /// Nothing of a request could be written.
    #[error("cannot write: {0}")]
    WriteRefused(#[source] io::Error),
    /// Only a part of a message could be written.
    #[error("incomplete write: {0}")]
    WriteIncomplete(#[source] io::Error),
    /// The only request on it was cancelled while the engine was silent.
    #[error("its request was cancelled while the engine was silent")]
    CancelledWhileSilent,
    /// Progress updates are due, and nothing is received.
    #[error("nothing received while other connections to the engine are active")]
    Silent,
}
