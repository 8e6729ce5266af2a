//! Why a connection to the event bus was closed, or another one is made beside it.

use std::io;

/// Why a connection to the event bus was closed, or another one is made beside it.
#[derive(Debug, thiserror::Error)]
pub enum DisconnectReason {
    /// No connection could be made, or the subscription could not be sent.
    #[error("cannot connect: {0}")]
    CannotConnect(#[source] io::Error),
    /// Reading failed.
    #[error("reading failed: {0}")]
    ReadFailed(#[source] io::Error),
    /// The bus has closed the connection.
    #[error("closed by the event bus")]
    ClosedByEventBus,
    /// The incomplete lines of all connections exceed the maximum length of a line.
    #[error("line longer than {max_bytes} bytes")]
    LineTooLong {
        /// The maximum length of a line, in bytes.
        max_bytes: usize,
    },
    /// No complete line was received in time. The connection stays open in case that the bus is only slow.
    #[error("no line received in time")]
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
