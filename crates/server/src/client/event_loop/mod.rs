//! The thread that accepts, reads and closes all client connections.
//!
//! Each pass waits for events, reads connections that have received something, accepts new connections, and runs the
//! periodic tasks: closing idle connections, logging the counters, and advancing a shutdown. If there is more to read
//! than a pass has time for, the rest is read in the next passes.

mod accept;
mod close;
mod evict;
mod shutdown;
pub(super) mod turns;

use super::arrival_time::{ArrivalTimeEstimator, PollWait};
use super::close_reason::{CloseReason, ReadError};
use super::connection::{ClientConnection, Pass};
use super::context::ClientContext;
use super::reading::ReadProgress;
use crate::lifecycle::clock;
use crate::lifecycle::startup::retry_transient_errors;
use crate::session::connection_failures::{ConnectionFailures, ConnectionId};
use crate::telemetry::counters;
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token, Waker};
use pebblevane::time::{TimeDelta, Timestamp};
use std::collections::HashMap;
use std::net::TcpListener;
use std::ops::RangeFrom;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::{Duration, Instant};
use turns::{Priority, Turn, TurnQueue};

/// How often idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How often the counters are logged.
const COUNTERS_INTERVAL: Duration = Duration::from_secs(30);
/// The maximum wait for events. A delay of the wait by the system is noticed only if the wait takes longer than this.
const POLL_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum wait for events while new connections wait for a descriptor, and during a shutdown.
const BUSY_POLL_TIMEOUT: Duration = Duration::from_millis(20);
/// The maximum number of events that one poll returns.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Small, so that one read returns a limited number of messages.
const READ_BUFFER_BYTES: usize = 4 * 1024;
const LISTENER_TOKEN: Token = Token(usize::MAX);
const FAILURE_TOKEN: Token = Token(usize::MAX - 1);
const READ_AND_WRITE: Interest = Interest::READABLE.add(Interest::WRITABLE);

fn token(id: ConnectionId) -> Token {
    Token(id.0)
}

/// The thread that accepts, reads and closes all client connections.
pub struct ClientEventLoop {
    context: ClientContext,
    poll: Poll,
    /// `None` once no new connections are accepted.
    listener: Option<TcpListener>,
    /// Whether further connections may be pending, to be accepted in a later pass.
    accept_pending: bool,
    connections: HashMap<ConnectionId, ClientConnection>,
    /// Failures of connections, which any thread may report.
    failures: Arc<ConnectionFailures>,
    /// Connections whose reading is paused.
    paused: Vec<ConnectionId>,
    /// Connections that have received something and are not read yet.
    turns: TurnQueue,
    unused_ids: RangeFrom<usize>,
    read_buffer: Vec<u8>,
    arrivals: ArrivalTimeEstimator,
    pass: Pass,
    /// Whether the events of the last wait had arrived before it began.
    returned_immediately: bool,
    last_sweep: Instant,
    last_counters_line: Instant,
}

/// The events that a wait has returned.
#[derive(Default)]
struct PollOutcome {
    /// Connections that their clients have closed; there may still be bytes to read.
    closed: Vec<ConnectionId>,
    ready: Vec<ConnectionId>,
    has_new_connections: bool,
}

impl ClientEventLoop {
    /// An event loop for this listener.
    ///
    /// # Errors
    /// The system's error if it refuses a poller, or the listener can't be polled.
    pub fn new(context: ClientContext, listener: TcpListener) -> std::io::Result<ClientEventLoop> {
        let poll = retry_transient_errors(Poll::new)?;
        let waker = retry_transient_errors(|| Waker::new(poll.registry(), FAILURE_TOKEN))?;
        listener.set_nonblocking(true)?;
        poll.registry().register(&mut SourceFd(&listener.as_raw_fd()), LISTENER_TOKEN, Interest::READABLE)?;
        Ok(ClientEventLoop {
            context,
            poll,
            listener: Some(listener),
            accept_pending: false,
            connections: HashMap::new(),
            failures: Arc::new(ConnectionFailures::new(waker)),
            paused: Vec::new(),
            turns: TurnQueue::new(),
            unused_ids: 0..,
            read_buffer: vec![0; READ_BUFFER_BYTES],
            arrivals: ArrivalTimeEstimator::new(clock::now()),
            pass: Pass { number: 0, earliest_arrival: clock::now() },
            returned_immediately: false,
            last_sweep: Instant::now(),
            last_counters_line: Instant::now(),
        })
    }

    /// Serves clients until a graceful shutdown is over: all connections are closed, or its time has run out.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
        loop {
            let shutdown = self.context.shutdown.schedule();
            let outcome = self.wait(&mut events, shutdown.is_some());
            self.process(outcome);
            self.run_periodic_tasks();
            if shutdown.is_some_and(|schedule| self.advance_shutdown(&schedule, clock::now())) {
                return;
            }
        }
    }

    /// Waits for events and records the earliest time at which they can have arrived.
    fn wait(&mut self, events: &mut Events, is_shutting_down: bool) -> PollOutcome {
        let timeout = self.poll_timeout(is_shutting_down);
        let started_at = clock::now();
        // An interrupted wait has no events.
        let interrupted = self.poll.poll(events, Some(timeout)).is_err();
        let returned_at = clock::now();
        let timeout = TimeDelta(timeout.as_micros() as i64);
        let wait = PollWait { started_at, returned_at, timeout, interrupted };
        self.pass =
            Pass { number: self.pass.number + 1, earliest_arrival: self.arrivals.earliest_arrival(&wait) };
        self.returned_immediately = wait.returned_immediately();
        self.collect_ready(events)
    }

    /// The time until the next queued or paused connection can be read, but not more than the usual timeout.
    fn poll_timeout(&self, is_shutting_down: bool) -> Duration {
        let timeout = if self.accept_pending || is_shutting_down { BUSY_POLL_TIMEOUT } else { POLL_TIMEOUT };
        let paused = self.paused.iter().filter_map(|id| self.connections.get(id)?.paused_until);
        let pauses = paused.map(|until| until.saturating_duration_since(Instant::now()));
        pauses.chain(self.turns.next_turn_in()).min().map_or(timeout, |pause| pause.min(timeout))
    }

    fn collect_ready(&mut self, events: &Events) -> PollOutcome {
        let mut outcome = PollOutcome { has_new_connections: self.accept_pending, ..PollOutcome::default() };
        for event in events {
            match event.token() {
                LISTENER_TOKEN => outcome.has_new_connections = true,
                FAILURE_TOKEN => {}
                Token(id) if event.is_read_closed() => outcome.closed.push(ConnectionId(id)),
                Token(id) => outcome.ready.push(ConnectionId(id)),
            }
        }
        self.resume_paused(&mut outcome.ready);
        outcome
    }

    /// Moves the connections whose pause is over to those that are ready.
    fn resume_paused(&mut self, ready: &mut Vec<ConnectionId>) {
        let now = Instant::now();
        let connections = &mut self.connections;
        self.paused.retain(|id| {
            let Some(connection) = connections.get_mut(id) else { return false };
            let is_paused = connection.paused_until.is_some_and(|until| until > now);
            if !is_paused {
                connection.paused_until = None;
                ready.push(*id);
            }
            is_paused
        });
    }

    fn process(&mut self, outcome: PollOutcome) {
        self.close_failed();
        for id in outcome.closed {
            self.handle_closed_by_client(id);
        }
        for id in outcome.ready {
            self.queue_turn(id);
        }
        self.take_turns();
        if outcome.has_new_connections {
            self.accept();
        }
    }

    fn run_periodic_tasks(&mut self) {
        if self.last_sweep.elapsed() >= SWEEP_INTERVAL {
            self.last_sweep = Instant::now();
            self.sweep();
        }
        if self.last_counters_line.elapsed() >= COUNTERS_INTERVAL {
            self.last_counters_line = Instant::now();
            tracing::info!("counters: {}", counters::line());
        }
    }

    /// Queues a connection that has received something, unless it is queued already.
    fn queue_turn(&mut self, id: ConnectionId) {
        let earliest_arrival = self.earliest_arrival(id);
        let Some(connection) = self.connections.get_mut(&id).filter(|connection| !connection.is_queued)
        else {
            return;
        };
        connection.is_queued = true;
        self.turns.push(Turn { connection: id, earliest_arrival }, connection.priority);
    }

    /// Reads the queued connections one after another, until the time for the pass is over.
    fn take_turns(&mut self) {
        self.turns.begin_pass();
        while let Some((turn, priority)) = self.turns.pop() {
            let started_at = Instant::now();
            if let Some(connection) = self.connections.get_mut(&turn.connection) {
                connection.is_queued = false;
            }
            self.read_arrived(turn.connection, turn.earliest_arrival);
            if priority == Priority::Low {
                self.turns.record_low_priority_turn(started_at);
            }
        }
    }

    /// The earliest time at which the bytes that a connection has received in this pass can have arrived.
    fn earliest_arrival(&self, id: ConnectionId) -> Timestamp {
        let accepted_in = self.connections.get(&id).map(|connection| connection.accepted_in);
        // Events that the first wait after the accept returned immediately may have arrived before the accept.
        let accepted_before_wait =
            accepted_in.filter(|accepted_in| accepted_in.number + 1 == self.pass.number);
        let arrived_in = accepted_before_wait.filter(|_| self.returned_immediately);
        arrived_in.unwrap_or(self.pass).earliest_arrival
    }

    /// Reads and processes what a connection has received, unless its reading is paused.
    fn read(&mut self, id: ConnectionId) {
        self.read_arrived(id, self.earliest_arrival(id));
    }

    /// As [`ClientEventLoop::read`], for bytes that can't have arrived before `earliest_arrival`.
    fn read_arrived(&mut self, id: ConnectionId, earliest_arrival: Timestamp) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.paused_until.is_some() {
            return;
        }
        connection.session.flush();
        if connection.closing.is_none() && connection.session.has_failed() {
            // The next pass closes it, with the reason that was reported.
            return;
        }
        let progress = connection.read(&self.context, &mut self.read_buffer, earliest_arrival);
        match progress {
            Ok(ReadProgress::AllRead) => {}
            Ok(ReadProgress::Paused) => self.paused.push(id),
            Ok(ReadProgress::MoreAvailable | ReadProgress::MessageLimitReached) => self.request_event(id),
            Err(ReadError::Abort(reason)) => self.abort(id, &reason),
            Err(ReadError::Close(reason)) => self.close(id, &reason),
        }
        self.advance_close(id);
    }

    /// Registers the connection again: events are edge-triggered, so bytes left unread cause no further event.
    fn request_event(&self, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        let descriptor = connection.session.stream().as_raw_fd();
        // Registering a registered descriptor again does not fail.
        let _ = self.poll.registry().reregister(&mut SourceFd(&descriptor), token(id), READ_AND_WRITE);
    }

    /// Handles a connection that the client has closed, or of which it has shut down its side. The two can't be
    /// distinguished, and clients of this protocol have no use for a half-closed connection, so open requests are
    /// cancelled.
    fn handle_closed_by_client(&mut self, id: ConnectionId) {
        match self.connections.get_mut(&id) {
            // The client may still read the last answers. The bytes that it has sent are read to the end, since unread
            // bytes would reset the connection.
            Some(connection) if connection.closing.is_some() => {
                connection.paused_until = None;
                self.read(id);
            }
            _ => self.abort(id, &CloseReason::ClosedByClient),
        }
    }
}
