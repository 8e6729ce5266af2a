//! Follows the event bus: connects, subscribes to the events after the last one that was read, and reads them. The
//! follower reconnects after a gap, when the connection is silent or has ended, and when the address changes.

use crate::codec::event_bus::{self, Event, Line};
use crate::discovery::backoff::Backoff;
use crate::discovery::connection::EventBusConnector;
use crate::discovery::disconnect::DisconnectReason;
use crate::discovery::line_reader::LineReader;
use crate::lifecycle::clock;
use crate::telemetry::counters;
use pebblevane::time::Timestamp;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long to wait for a complete line: two heartbeat intervals and some slack.
const LINE_TIMEOUT: Duration = Duration::from_millis(2200);
/// How long to wait for the first line of a new connection; the bus sends a heartbeat each second. It is shorter than
/// [`LINE_TIMEOUT`] so that a draining engine is detected within 7 s even in this case: the bus becomes silent, one
/// attempt to connect fails, and two new connections stay silent.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Receives the changes of the endpoint list.
pub trait EndpointListener {
    /// The endpoint list has changed. `last_complete` is the last time before the change at which the list was known to
    /// include all changes.
    fn endpoints_changed(&self, event: Event, last_complete: Option<Timestamp>);
    /// The connection to the event bus was lost.
    fn connection_lost(&self);
}

/// Follows the event bus. Its address may change while the program runs.
pub struct EventBusFollower {
    connector: EventBusConnector,
    max_line_bytes: usize,
}

/// How far the event bus has been read.
struct ReadPosition {
    /// The number of the last event that was read.
    event: u64,
    /// The event before the most recent gap.
    gap_after: Option<u64>,
    /// The last time at which the endpoint list was known to include all changes.
    complete_at: Option<Timestamp>,
}

impl EventBusFollower {
    /// Creates a follower of the bus at this address, which reads lines of up to `max_line_bytes`.
    pub fn new(address: SocketAddr, max_line_bytes: usize) -> EventBusFollower {
        EventBusFollower { connector: EventBusConnector::new(address), max_line_bytes }
    }

    /// Changes the address, with immediate effect even while the follower reads, connects or pauses.
    pub fn set_address(&self, address: SocketAddr) {
        self.connector.set_address(address);
    }

    /// Follows the bus from the event after `last_event`, and never returns. `seed` determines the jitter of the pauses
    /// between connections.
    pub fn follow(&self, listener: &impl EndpointListener, last_event: u64, seed: u64) {
        let mut position = ReadPosition { event: last_event, gap_after: None, complete_at: None };
        let mut backoff = Backoff::new(seed);
        loop {
            let (event_before, started_at) = (position.event, Instant::now());
            let reason = self.follow_connection(listener, &mut position);
            self.connector.disconnected();
            tracing::info!(reason = %reason, last_event = position.event, "event bus connection lost");
            listener.connection_lost();
            let was_useful = position.event > event_before || started_at.elapsed() > LINE_TIMEOUT;
            if was_useful {
                backoff.reset();
            } else {
                backoff.increase();
            }
            if self.connector.wait_for_address_change(backoff.next_pause()) {
                backoff.reset();
            }
        }
    }

    /// Makes a connection and reads it until it has to be closed. Returns the reason.
    fn follow_connection(
        &self,
        listener: &impl EndpointListener,
        position: &mut ReadPosition,
    ) -> DisconnectReason {
        match self.connector.connect(position.event) {
            Ok(stream) => self.read_lines(stream, listener, position),
            Err(e) => DisconnectReason::CannotConnect(e),
        }
    }

    fn read_lines(
        &self,
        stream: TcpStream,
        listener: &impl EndpointListener,
        position: &mut ReadPosition,
    ) -> DisconnectReason {
        let mut reader = LineReader::new(stream, self.max_line_bytes);
        let mut timeout = FIRST_LINE_TIMEOUT;
        loop {
            let handled = reader.read_line(timeout).and_then(|line| position.handle_line(&line, listener));
            if let Err(reason) = handled {
                return reason;
            }
            timeout = LINE_TIMEOUT;
        }
    }
}

impl ReadPosition {
    /// Handles one line. A malformed one is counted and ignored; if it was an event, the next line reveals the gap.
    ///
    /// # Errors
    /// If the line shows that an event was missed.
    fn handle_line(&mut self, line: &str, listener: &impl EndpointListener) -> Result<(), DisconnectReason> {
        match event_bus::decode_line(line) {
            Ok(Line::Heartbeat(last_event)) => self.handle_heartbeat(last_event),
            Ok(Line::Event(event)) => self.handle_event(event, listener),
            Err(error) => {
                counters::MALFORMED_EVENTS.increment();
                tracing::warn!(reason = %error, "malformed event bus line ignored");
                Ok(())
            }
        }
    }

    fn handle_heartbeat(&mut self, last_event: u64) -> Result<(), DisconnectReason> {
        if last_event > self.event {
            return Err(DisconnectReason::EventMissed { last_event });
        }
        self.complete_at = Some(clock::now());
        Ok(())
    }

    /// Passes a new event to the listener, and ignores one that was received before.
    fn handle_event(
        &mut self,
        event: Event,
        listener: &impl EndpointListener,
    ) -> Result<(), DisconnectReason> {
        if event.offset <= self.event {
            return Ok(());
        }
        if event.offset > self.event + 1 && !event.complete && self.record_if_new_gap() {
            return Err(DisconnectReason::Gap { event: event.offset, previous: self.event });
        }
        self.event = event.offset;
        for error in &event.malformed {
            counters::MALFORMED_EVENTS.increment();
            tracing::warn!(event = event.offset, reason = %error, "malformed endpoint ignored");
        }
        listener.endpoints_changed(event, self.complete_at);
        Ok(())
    }

    /// Records a gap after the last event, and returns whether the gap is new. If the same gap is found again after
    /// reconnecting, the bus no longer has the missing events. They are then skipped, since the follower would
    /// otherwise reconnect forever.
    fn record_if_new_gap(&mut self) -> bool {
        self.gap_after.replace(self.event) != Some(self.event)
    }
}
