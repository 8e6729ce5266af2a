//! Reads all connections to engines in one thread. If the process is limited to a fraction of a core, the scheduler
//! stops and resumes it many times a second; with a thread for each connection, all of these would be woken each time.

use crate::engine::connection_error::ConnectionLostReason;
use crate::engine::connection_input::{ConnectionInput, ReadProgress, ReadResult, ReceivedMessage};
use crate::lifecycle::startup::retry_transient_errors;
use crate::lifecycle::threads::{SMALL_STACK_BYTES, spawn_required};
use crate::lifecycle::wakeup::wake;
use crossbeam_channel::{Receiver, Sender, bounded};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::time::Duration;

/// The number of new connections that may be queued for the thread.
const NEW_CONNECTION_QUEUE_CAPACITY: usize = 256;
/// The maximum number of events that one poll returns.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Marks events that only wake the thread.
const WAKE_TOKEN: Token = Token(usize::MAX);
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The maximum number of consecutive reads from one connection before the others are read.
const MAX_CONSECUTIVE_READS: usize = 4;

/// An event on a connection, for its pool.
pub(crate) enum ConnectionEvent {
    /// A message of the engine.
    Message(ReceivedMessage),
    /// The connection has ended. No further events follow.
    Ended(ConnectionLostReason),
}

/// A connection that the poller reads.
pub(crate) struct PolledConnection {
    /// Its receiving side.
    pub(crate) input: Arc<ConnectionInput>,
    /// The connection is ended if nothing more of an incomplete message is received for this time.
    pub(crate) stall_timeout: Duration,
    /// Called in the poller's thread.
    pub(crate) on_event: Box<dyn Fn(ConnectionEvent) + Send>,
}

impl PolledConnection {
    /// Reads what is available and passes on complete messages.
    fn read(&self, read_buffer: &mut [u8]) -> Result<ReadProgress, ConnectionLostReason> {
        for _ in 0..MAX_CONSECUTIVE_READS {
            let ReadResult { messages, progress } = self.input.read(read_buffer);
            for message in messages {
                (self.on_event)(ConnectionEvent::Message(message));
            }
            if progress? == ReadProgress::AllRead {
                return Ok(ReadProgress::AllRead);
            }
        }
        Ok(ReadProgress::MoreAvailable)
    }

    fn time_until_stalled(&self) -> Option<Duration> {
        self.input.time_until_stalled(self.stall_timeout)
    }

    fn has_stalled(&self) -> bool {
        self.time_until_stalled().is_some_and(|left| left.is_zero())
    }
}

/// The handle on the thread that reads all connections.
pub(crate) struct SocketPoller {
    new_connections: Sender<PolledConnection>,
    waker: Waker,
}

impl SocketPoller {
    /// Starts the thread. It runs to the program's end and is not joined.
    ///
    /// # Errors
    /// The system's error if it refuses the thread or a poller.
    pub(crate) fn start() -> io::Result<Arc<SocketPoller>> {
        let poll = retry_transient_errors(Poll::new)?;
        let (new_connections, added) = bounded(NEW_CONNECTION_QUEUE_CAPACITY);
        let waker = retry_transient_errors(|| Waker::new(poll.registry(), WAKE_TOKEN))?;
        let poll_loop = PollLoop { poll, added, connections: HashMap::new(), next_token: 0 };
        spawn_required("engine reader", SMALL_STACK_BYTES, move || poll_loop.run())?;
        Ok(Arc::new(SocketPoller { new_connections, waker }))
    }

    /// Reads this connection from now on.
    ///
    /// # Errors
    /// If too many new connections are queued, or the thread can't be woken. The thread may still begin to read the
    /// connection later, so the caller has to shut it down.
    pub(crate) fn add(&self, connection: PolledConnection) -> io::Result<()> {
        let added = self.new_connections.try_send(connection);
        added.map_err(|_| io::Error::other("too many new connections"))?;
        wake(&self.waker)
    }
}

/// The connections, and what the thread needs to read them.
struct PollLoop {
    poll: Poll,
    added: Receiver<PolledConnection>,
    connections: HashMap<usize, PolledConnection>,
    next_token: usize,
}

impl PollLoop {
    fn run(mut self) {
        let mut events = Events::with_capacity(MAX_EVENTS_PER_POLL);
        let mut read_buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let timeout = self.connections.values().filter_map(PolledConnection::time_until_stalled).min();
            // An interrupted poll counts as one without events.
            let _ = self.poll.poll(&mut events, timeout);
            self.register_added();
            let mut ended = self.read_ready(&events, &mut read_buffer);
            ended.extend(self.stalled());
            for (token, reason) in ended {
                self.remove(token, reason);
            }
        }
    }

    fn register_added(&mut self) {
        for connection in self.added.try_iter() {
            let fd = connection.input.descriptor();
            let token = self.next_token;
            self.next_token += 1;
            match self.poll.registry().register(&mut SourceFd(&fd), Token(token), Interest::READABLE) {
                Ok(()) => drop(self.connections.insert(token, connection)),
                Err(e) => (connection.on_event)(ConnectionEvent::Ended(ConnectionLostReason::Register(e))),
            }
        }
    }

    /// Reads the connections that have input. Returns those that have ended.
    fn read_ready(&mut self, events: &Events, read_buffer: &mut [u8]) -> Vec<(usize, ConnectionLostReason)> {
        let mut ended = Vec::new();
        for event in events {
            let token = event.token();
            let Some(connection) = self.connections.get(&token.0) else { continue };
            match connection.read(read_buffer) {
                Ok(ReadProgress::AllRead) => {}
                Ok(ReadProgress::MoreAvailable) => {
                    // Events are edge-triggered: registering again causes another event for the remaining input.
                    let fd = connection.input.descriptor();
                    let _ = self.poll.registry().reregister(&mut SourceFd(&fd), token, Interest::READABLE);
                }
                Err(reason) => ended.push((token.0, reason)),
            }
        }
        ended
    }

    fn stalled(&self) -> Vec<(usize, ConnectionLostReason)> {
        let stalled = self.connections.iter().filter(|(_, connection)| connection.has_stalled());
        stalled.map(|(token, _)| (*token, ConnectionLostReason::MessageStalled)).collect()
    }

    fn remove(&mut self, token: usize, reason: ConnectionLostReason) {
        if let Some(connection) = self.connections.remove(&token) {
            let fd = connection.input.descriptor();
            let _ = self.poll.registry().deregister(&mut SourceFd(&fd));
            (connection.on_event)(ConnectionEvent::Ended(reason));
        }
    }
}
