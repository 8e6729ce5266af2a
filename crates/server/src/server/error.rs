//! Why the program does not start, or ends early.

use crate::config::ConfigError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why the program does not start, or ends early.
#[derive(Debug, Error)]
pub enum ServerError {
    /// The configuration can't be used; the text names the field.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The system refuses to deliver signals.
    #[error("cannot wait for signals: {0}")]
    Signals(#[source] io::Error),
    /// The system refuses a resource.
    #[error("cannot {action}: {source}")]
    Start {
        /// What was tried.
        action: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// The system refuses the address for clients.
    #[error("field listen: cannot listen on {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The thread that receives signals has ended.
    #[error("the thread that waits for signals has ended")]
    SignalThreadEnded,
}

impl ServerError {
    /// Turns an error of the system into that of a step of the startup.
    pub(super) fn cannot(action: &'static str) -> impl FnOnce(io::Error) -> ServerError {
        move |source| ServerError::Start { action, source }
    }
}
