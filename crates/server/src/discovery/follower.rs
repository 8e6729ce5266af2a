//! Follows the event bus: connects, subscribes to the events after the last one that was read, and reads them. The
//! follower reconnects after a gap, when the connection is silent or has ended, and when the address changes.

use crate::codec::event_bus::Event;
use crate::discovery::address::EventBusAddress;
use crate::discovery::backoff::Backoff;
use crate::discovery::disconnect::DisconnectReason;
use crate::discovery::read_position::ReadPosition;
use crate::discovery::subscription::SubscriptionId;
use crate::discovery::subscriptions::{SubscriptionEvent, Subscriptions, WAKE_TOKEN};
use crate::lifecycle::startup::retry_transient_errors;
use mio::{Poll, Waker};
use pebblevane::time::Timestamp;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
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
///
/// After a timeout the silent connection stays open, and another one is made beside it. The first connection that
/// receives a complete line is kept. So a bus that takes long to answer is followed too, and a lost connection delays
/// nothing.
pub struct EventBusFollower {
    address: Arc<EventBusAddress>,
    /// The address of the open connections.
    connected_address: SocketAddr,
    subscriptions: Subscriptions,
    position: ReadPosition,
    backoff: Backoff,
    deadline: Deadline,
    attempt: ConnectAttempt,
}

/// What the follower does if no line is received until then.
enum Deadline {
    /// The connection counts as silent.
    Line(Instant),
    /// The next connection is made.
    Connect(Instant),
}

/// The last attempt to connect.
struct ConnectAttempt {
    /// The last event that was read before it.
    event_before: u64,
    /// When a line was first received after it, on any connection.
    first_line_at: Option<Instant>,
}

impl ConnectAttempt {
    fn new(event_before: u64) -> ConnectAttempt {
        ConnectAttempt { event_before, first_line_at: None }
    }

    /// Whether events or enough lines were received that the next connection may be made without a longer pause.
    fn was_useful(&self, last_event: u64) -> bool {
        last_event > self.event_before || self.first_line_at.is_some_and(|at| at.elapsed() > LINE_TIMEOUT)
    }
}

impl EventBusFollower {
    /// Creates a follower of the bus at this address, which reads lines of up to `max_line_bytes`, from the event after
    /// `last_event`. `seed` determines the jitter of the pauses between connections.
    ///
    /// # Errors
    /// The system's error if it refuses a poller.
    pub fn new(
        address: SocketAddr,
        max_line_bytes: usize,
        last_event: u64,
        seed: u64,
    ) -> io::Result<EventBusFollower> {
        let poll = retry_transient_errors(Poll::new)?;
        let waker = retry_transient_errors(|| Waker::new(poll.registry(), WAKE_TOKEN))?;
        Ok(EventBusFollower {
            address: Arc::new(EventBusAddress::new(address, waker)),
            connected_address: address,
            subscriptions: Subscriptions::new(poll, max_line_bytes),
            position: ReadPosition::after(last_event),
            backoff: Backoff::new(seed),
            deadline: Deadline::Connect(Instant::now()),
            attempt: ConnectAttempt::new(last_event),
        })
    }

    /// The address of the bus, to change it.
    pub fn address(&self) -> Arc<EventBusAddress> {
        self.address.clone()
    }

    /// Follows the bus, and never returns.
    pub fn follow(&mut self, listener: &impl EndpointListener) {
        loop {
            self.apply_address_change(listener);
            let (Deadline::Line(deadline) | Deadline::Connect(deadline)) = self.deadline;
            match self.subscriptions.next_event(deadline) {
                SubscriptionEvent::Line { from, line } => self.handle_line(from, &line, listener),
                SubscriptionEvent::Closed { was_newest, reason } => {
                    self.handle_closed(was_newest, &reason, listener);
                }
                SubscriptionEvent::Elapsed => self.handle_deadline(listener),
                SubscriptionEvent::Woken => {}
            }
        }
    }

    /// Closes the connections to the previous address, and connects without a pause.
    fn apply_address_change(&mut self, listener: &impl EndpointListener) {
        let address = self.address.get();
        if address == self.connected_address {
            return;
        }
        self.connected_address = address;
        self.subscriptions.close_all();
        self.backoff.reset();
        self.deadline = Deadline::Connect(Instant::now());
        tracing::info!(%address, last_event = self.position.event, "event bus address changed");
        listener.connection_lost();
    }

    /// Handles a line. Its connection works, so the others are closed.
    fn handle_line(&mut self, from: SubscriptionId, line: &[u8], listener: &impl EndpointListener) {
        match self.position.handle_line(&String::from_utf8_lossy(line), listener) {
            Ok(()) => {
                self.subscriptions.keep_only(from);
                self.attempt.first_line_at.get_or_insert_with(Instant::now);
                self.deadline = Deadline::Line(Instant::now() + LINE_TIMEOUT);
            }
            Err(reason) => {
                self.subscriptions.close(from);
                self.reconnect(&reason, listener);
            }
        }
    }

    /// Handles the end of a connection. It matters only if the line of this connection was awaited.
    fn handle_closed(
        &mut self,
        was_newest: bool,
        reason: &DisconnectReason,
        listener: &impl EndpointListener,
    ) {
        if was_newest && matches!(self.deadline, Deadline::Line(_)) {
            self.reconnect(reason, listener);
        } else {
            tracing::info!(%reason, "silent event bus connection closed");
        }
    }

    fn handle_deadline(&mut self, listener: &impl EndpointListener) {
        match self.deadline {
            Deadline::Line(_) => self.reconnect(&DisconnectReason::LineTimeout, listener),
            Deadline::Connect(_) => self.connect(listener),
        }
    }

    fn connect(&mut self, listener: &impl EndpointListener) {
        self.attempt = ConnectAttempt::new(self.position.event);
        match self.subscriptions.connect(self.connected_address, self.position.event) {
            Ok(()) => self.deadline = Deadline::Line(Instant::now() + FIRST_LINE_TIMEOUT),
            Err(error) => self.reconnect(&DisconnectReason::CannotConnect(error), listener),
        }
    }

    /// Schedules the next connection, after a pause that grows while the connections are of no use.
    fn reconnect(&mut self, reason: &DisconnectReason, listener: &impl EndpointListener) {
        tracing::info!(%reason, last_event = self.position.event, "event bus connection lost");
        listener.connection_lost();
        if self.attempt.was_useful(self.position.event) {
            self.backoff.reset();
        } else {
            self.backoff.increase();
        }
        self.deadline = Deadline::Connect(Instant::now() + self.backoff.next_pause());
    }
}
