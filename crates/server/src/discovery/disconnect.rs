//! Why a connection to the event bus is given up.

use std::io;

/// Why a connection to the event bus is given up.
#[derive(Debug, thiserror::Error)]
pub enum DisconnectReason {
    /// No connection could be made, or the bus did not take the subscription.
    #[error("cannot connect: {0}")]
    CannotConnect(#[source] io::Error),
    /// The system refuses a time limit on reading.
    #[error("{0}")]
    CannotSetTimeout(#[source] io::Error),
    /// Nothing more came in time, or reading failed.
    #[error("no line came in time: {0}")]
    NoLine(#[source] io::Error),
    /// The bus has closed the connection.
    #[error("the connection ended")]
    Closed,
    /// A line is longer than lines may be.
    #[error("a line is longer than {max_bytes} bytes")]
    LineTooLong {
        /// The longest line that is read, in bytes.
        max_bytes: usize,
    },
    /// A line has begun and does not end in time.
    #[error("a line does not come to its end")]
    LineUnfinished,
    /// A heartbeat names an event that did not come.
    #[error("event {last_event} is there but did not come")]
    EventMissed {
        /// The number of the last event that the bus has.
        last_event: u64,
    },
    /// Events between two others did not come.
    #[error("event {event} came after {previous}")]
    Gap {
        /// The number of the event that came.
        event: u64,
        /// The number of the event before it.
        previous: u64,
    },
}
