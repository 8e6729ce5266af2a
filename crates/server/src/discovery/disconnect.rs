//! Why a connection to the event bus was closed.

use std::io;

/// Why a connection to the event bus was closed.
#[derive(Debug, thiserror::Error)]
pub enum DisconnectReason {
    /// No connection could be made, or the subscription could not be sent.
    #[error("cannot connect: {0}")]
    CannotConnect(#[source] io::Error),
    /// The system refused to set a read timeout.
    #[error("{0}")]
    CannotSetTimeout(#[source] io::Error),
    /// No bytes were received in time, or reading failed.
    #[error("no line came in time: {0}")]
    NoLine(#[source] io::Error),
    /// The bus has closed the connection.
    #[error("the connection ended")]
    Closed,
    /// A line exceeds the maximum length.
    #[error("a line is longer than {max_bytes} bytes")]
    LineTooLong {
        /// The longest line that is read, in bytes.
        max_bytes: usize,
    },
    /// A line was begun but not completed in time.
    #[error("a line does not come to its end")]
    LineUnfinished,
    /// A heartbeat names an event that was not received.
    #[error("event {last_event} is there but did not come")]
    EventMissed {
        /// The number of the last event on the bus.
        last_event: u64,
    },
    /// Events between two others were not received.
    #[error("event {event} came after {previous}")]
    Gap {
        /// The number of the event that was received.
        event: u64,
        /// The number of the event before it.
        previous: u64,
    },
}
