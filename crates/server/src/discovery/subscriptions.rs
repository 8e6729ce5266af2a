//! The open connections to the event bus, of which the first one that sends a complete line is kept.
//!
//! A connection on which nothing arrives may be lost, or the bus may be slow to answer. The two can't be distinguished,
//! so further connections are made beside the silent one, which is kept for the second case.

use crate::discovery::disconnect::DisconnectReason;
use crate::discovery::subscription::{Subscription, SubscriptionId};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use std::io;
use std::net::SocketAddr;
use std::ops::RangeFrom;
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant};

/// The maximum number of connections to the event bus.
const MAX_SUBSCRIPTIONS: usize = 4;
/// A connection that has received nothing for this long counts as lost.
const MAX_SILENCE: Duration = Duration::from_secs(30);
const MAX_EVENTS_PER_POLL: usize = 8;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Marks events that only wake the thread.
pub(super) const WAKE_TOKEN: Token = Token(usize::MAX);

/// What a wait has found.
pub(super) enum SubscriptionEvent {
    /// A connection has received this line.
    Line { from: SubscriptionId, line: Vec<u8> },
    /// A connection was closed.
    Closed {
        /// Whether it was the newest one.
        was_newest: bool,
        reason: DisconnectReason,
    },
    /// Another thread has woken this one.
    Woken,
    /// The time of the wait is over.
    Elapsed,
}

/// The open connections, the oldest first.
pub(super) struct Subscriptions {
    poll: Poll,
    open: Vec<Subscription>,
    unused_ids: RangeFrom<usize>,
    /// The maximum number of bytes of incomplete lines, of all connections together.
    max_line_bytes: usize,
    read_buffer: Vec<u8>,
}

impl Subscriptions {
    /// An empty list, whose connections are polled by this poller.
    pub(super) fn new(poll: Poll, max_line_bytes: usize) -> Subscriptions {
        let read_buffer = vec![0; READ_BUFFER_BYTES];
        Subscriptions { poll, open: Vec::new(), unused_ids: 0.., max_line_bytes, read_buffer }
    }

    /// Makes a further connection, which subscribes to the events after `last_event`. The others stay open; if there are
    /// too many, one is closed.
    ///
    /// # Errors
    /// The system's error if the connection can't be made or polled.
    pub(super) fn connect(&mut self, address: SocketAddr, last_event: u64) -> io::Result<()> {
        self.make_room();
        let id = SubscriptionId(self.unused_ids.next().expect("the range has no end"));
        let subscription = Subscription::connect(id, address, last_event)?;
        let descriptor = subscription.stream.as_raw_fd();
        self.poll.registry().register(&mut SourceFd(&descriptor), Token(id.0), Interest::READABLE)?;
        self.open.push(subscription);
        Ok(())
    }

    /// Closes one connection if there are as many as allowed. The oldest one, which waits for a very slow bus, is closed
    /// only after a long silence; the others take turns.
    fn make_room(&mut self) {
        if self.open.len() < MAX_SUBSCRIPTIONS {
            return;
        }
        let oldest_is_lost = self.open[0].last_received_at.elapsed() > MAX_SILENCE;
        self.open.remove(usize::from(!oldest_is_lost));
    }

    /// Closes all connections but one.
    pub(super) fn keep_only(&mut self, id: SubscriptionId) {
        self.open.retain(|subscription| subscription.id == id);
    }

    /// Closes a connection.
    pub(super) fn close(&mut self, id: SubscriptionId) {
        self.open.retain(|subscription| subscription.id != id);
    }

    fn close_because(&mut self, id: SubscriptionId, reason: DisconnectReason) -> SubscriptionEvent {
        let was_newest = self.open.last().is_some_and(|newest| newest.id == id);
        self.close(id);
        SubscriptionEvent::Closed { was_newest, reason }
    }

    /// Closes all connections.
    pub(super) fn close_all(&mut self) {
        self.open.clear();
    }

    /// Waits for a line, the end of a connection or a wake-up, until `deadline`. What has been received before is
    /// returned first, even after the deadline, since the process may have been suspended.
    pub(super) fn next_event(&mut self, deadline: Instant) -> SubscriptionEvent {
        loop {
            if let Some(event) = self.read_available() {
                return event;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            match self.poll(left) {
                PollOutcome::Woken => return SubscriptionEvent::Woken,
                PollOutcome::NoEvents if left.is_zero() => return SubscriptionEvent::Elapsed,
                PollOutcome::Readable | PollOutcome::NoEvents => {}
            }
        }
    }

    /// Reads the connections until one has a complete line or is closed, or nothing more is available.
    fn read_available(&mut self) -> Option<SubscriptionEvent> {
        let mut index = 0;
        while let Some(subscription) = self.open.get_mut(index) {
            let id = subscription.id;
            if let Some(line) = subscription.take_line() {
                return Some(SubscriptionEvent::Line { from: id, line });
            }
            if !subscription.is_readable {
                index += 1;
                continue;
            }
            if let Err(reason) = subscription.read(&mut self.read_buffer) {
                return Some(self.close_because(id, reason));
            }
            if let Some(closed) = self.limit_received_bytes() {
                return Some(closed);
            }
        }
        None
    }

    /// Closes the connection with the fewest received bytes if all together exceed the maximum length of a line, so that
    /// several connections need no more memory than one.
    fn limit_received_bytes(&mut self) -> Option<SubscriptionEvent> {
        let total: usize = self.open.iter().map(Subscription::received_bytes).sum();
        if total <= self.max_line_bytes {
            return None;
        }
        let receiving = self.open.iter().filter(|subscription| subscription.received_bytes() > 0);
        let id = receiving.min_by_key(|subscription| subscription.received_bytes())?.id;
        Some(self.close_because(id, DisconnectReason::LineTooLong { max_bytes: self.max_line_bytes }))
    }

    fn poll(&mut self, timeout: Duration) -> PollOutcome {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
        // An interrupted wait has no events.
        let _ = self.poll.poll(&mut events, Some(timeout));
        let mut outcome = PollOutcome::NoEvents;
        for event in &events {
            if event.token() == WAKE_TOKEN {
                outcome = PollOutcome::Woken;
                continue;
            }
            let mut open = self.open.iter_mut();
            if let Some(subscription) = open.find(|subscription| Token(subscription.id.0) == event.token()) {
                subscription.is_readable = true;
                if matches!(outcome, PollOutcome::NoEvents) {
                    outcome = PollOutcome::Readable;
                }
            }
        }
        outcome
    }
}

/// What a poll has returned.
enum PollOutcome {
    Woken,
    Readable,
    NoEvents,
}
