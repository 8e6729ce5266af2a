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
    /// It was made, but can't be set up for reading.
    #[error("it can't be read: {0}")]
    Setup(#[source] io::Error),
}

/// Why a connection that had been made is closed.
#[derive(Debug, Error)]
pub(crate) enum ConnectionLostReason {
    /// The engine closed its side.
    #[error("the engine closed it")]
    ClosedByEngine,
    /// Reading failed.
    #[error("{0}")]
    Read(#[source] io::Error),
    /// The engine sent what is no message.
    #[error("{0}")]
    Protocol(#[from] EngineProtocolError),
    /// The rest of a message did not come in time.
    #[error("an answer stopped in the middle")]
    MessageStalled,
    /// The system could not watch it for input.
    #[error("{0}")]
    Register(#[source] io::Error),
    /// The engine has started anew since it was made.
    #[error("the engine started anew")]
    EngineRestarted,
    /// Input or its end was found while nothing was in flight on it.
    #[error("its end or what nobody asked for came while it rested")]
    UnexpectedInput,
    /// Nothing of a request could be written.
    #[error("it takes nothing: {0}")]
    WriteRefused(#[source] io::Error),
    /// A part of what was to be written could not be.
    #[error("it takes no more: {0}")]
    WriteIncomplete(#[source] io::Error),
    /// The only request on it was cancelled while the engine was silent.
    #[error("what was out there was given up")]
    CancelledWhileSilent,
    /// Progress updates are due on it and nothing comes.
    #[error("it fell silent while the engine speaks on others")]
    Silent,
}
