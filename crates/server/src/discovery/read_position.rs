//! How far the event bus has been read.

use crate::codec::event_bus::{self, Event, Line};
use crate::discovery::disconnect::DisconnectReason;
use crate::discovery::follower::EndpointListener;
use crate::lifecycle::clock;
use crate::telemetry::counters;
use pebblevane::time::Timestamp;

/// How far the event bus has been read.
pub(super) struct ReadPosition {
    /// The number of the last event that was read.
    pub(super) event: u64,
    /// The event before the most recent gap.
    gap_after: Option<u64>,
    /// The last time at which the endpoint list was known to include all changes.
    complete_at: Option<Timestamp>,
}

impl ReadPosition {
    /// The position after this event.
    pub(super) fn after(event: u64) -> ReadPosition {
        ReadPosition { event, gap_after: None, complete_at: None }
    }

    /// Handles one line. A malformed one is counted and ignored; if it was an event, the next line reveals the gap.
    ///
    /// # Errors
    /// If the line shows that an event was missed.
    pub(super) fn handle_line(
        &mut self,
        line: &str,
        listener: &impl EndpointListener,
    ) -> Result<(), DisconnectReason> {
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
