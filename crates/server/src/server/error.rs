//! Why the program does not start, or ends early.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the program does not start, or ends early.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The configuration can't be used; the error names the field.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The system refuses a signal handler, or the sockets by which handlers wake a thread.
    #[error("cannot install the signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The system refuses a resource that the service needs.
    #[error("cannot {action}: {source}")]
    Start {
        /// What failed, as a verb phrase.
        action: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// The system refuses the address for clients.
    #[error("field listen: cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The thread that signal handlers wake has ended.
    #[error("the thread that waits for signals has ended")]
    SignalThreadEnded,
}

impl ServerError {
    /// Converts a system error into [`ServerError::Start`] for this action.
    pub(super) fn cannot(action: &'static str) -> impl FnOnce(io::Error) -> ServerError {
        move |source| ServerError::Start { action, source }
    }
}
