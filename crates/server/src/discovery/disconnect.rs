//! Why a connection to the event bus was closed.

use std::io;

/// Why a connection to the event bus was closed.
#[derive(Debug, thiserror::Error)]
pub enum DisconnectReason {
    /// No connection could be made, or the subscription could not be sent.
    #[error("cannot connect: {0}")]
    CannotConnect(#[source] io::Error),
    /// The system refused to set a read timeout.
    #[error("cannot set the read timeout: {0}")]
    CannotSetTimeout(#[source] io::Error),
    /// No bytes were received in time, or reading failed.
    #[error("no line received: {0}")]
    ReadFailed(#[source] io::Error),
    /// The bus has closed the connection.
    #[error("closed by the event bus")]
    ClosedByEventBus,
    /// A line exceeds the maximum length.
    #[error("line longer than {max_bytes} bytes")]
    LineTooLong {
        /// The maximum length of a line, in bytes.
        max_bytes: usize,
    },
    /// A line was begun but not completed in time.
    #[error("line not completed in time")]
    LineTimeout,
    /// A heartbeat names an event that was not received.
    #[error("event {last_event} was sent but not received")]
    EventMissed {
        /// The number of the last event on the bus.
        last_event: u64,
    },
    /// Events between two others were not received.
    #[error("received event {event} after event {previous}")]
    Gap {
        /// The number of the event that was received.
        event: u64,
        /// The number of the event that was received before it.
        previous: u64,
    },
}
