//! Reads all connections to engines in one thread. Where the scheduler throttles the process to a fraction of a core,
//! it is stopped and continued many times a second, and each time a thread for each connection would be woken.

use crate::codec::engine::{EngineMessage, parse_message};
use crate::engine::connection_error::ConnectionLostReason;
use crate::lifecycle::startup::retry_transient_errors;
use crate::lifecycle::threads::{STACK_BYTES, spawn_required};
use crossbeam_channel::{Receiver, Sender, bounded};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// New connections that may be queued for the thread.
const NEW_CONNECTIONS_CAPACITY: usize = 256;
/// Events that one wait returns at most.
const EVENTS_CAPACITY: usize = 256;
const WAKE_TOKEN: Token = Token(usize::MAX);
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Reads from one connection before others are served.
const READS_PER_TURN: usize = 4;
/// Memory that a connection without a partial message keeps for the next one.
const RETAINED_BUFFER_BYTES: usize = 4096;

/// An event on a connection, for its pool.
pub(crate) enum ConnectionEvent {
    /// A message of the engine.
    Message {
        /// The id on the wire of the request that it answers.
        wire_id: String,
        /// The message itself.
        message: EngineMessage,
        /// When it was read.
        read_at: Instant,
    },
    /// The connection has ended; there are no further events.
    Ended(ConnectionLostReason),
}

/// The reading side of a connection.
pub(crate) struct ReadHalf {
    stream: Arc<TcpStream>,
    /// The connection ends if a partial message is not continued within this time.
    stall_timeout: Duration,
    on_event: Box<dyn Fn(ConnectionEvent) + Send>,
    /// The bytes of an incomplete message.
    buffer: Vec<u8>,
    last_read: Instant,
    has_partial_message: Arc<AtomicBool>,
}

/// Why reading stopped.
enum ReadTurn {
    /// There is nothing more to read.
    Drained,
    /// There may be more to read.
    MoreAvailable,
}

impl ReadHalf {
    /// The reading side of this connection; `on_event` is called in the poller's thread.
    pub(crate) fn new(
        stream: Arc<TcpStream>,
        stall_timeout: Duration,
        on_event: Box<dyn Fn(ConnectionEvent) + Send>,
    ) -> ReadHalf {
        ReadHalf {
            stream,
            stall_timeout,
            on_event,
            buffer: Vec::new(),
            last_read: Instant::now(),
            has_partial_message: Arc::default(),
        }
    }

    /// A flag that is set while only the first part of a message has been read.
    pub(crate) fn has_partial_message(&self) -> Arc<AtomicBool> {
        self.has_partial_message.clone()
    }

    /// Reads what is available and passes on complete messages.
    fn read(&mut self, read_buffer: &mut [u8]) -> Result<ReadTurn, ConnectionLostReason> {
        for _ in 0..READS_PER_TURN {
            match (&*self.stream).read(read_buffer) {
                Ok(0) => return Err(ConnectionLostReason::ClosedByEngine),
                Ok(count) => self.buffer.extend_from_slice(&read_buffer[..count]),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(ReadTurn::Drained),
                Err(e) => return Err(ConnectionLostReason::Read(e)),
            }
            self.last_read = Instant::now();
            self.pass_on_messages()?;
        }
        Ok(ReadTurn::MoreAvailable)
    }

    fn pass_on_messages(&mut self) -> Result<(), ConnectionLostReason> {
        let mut parsed_bytes = 0;
        while let Some(parsed) = parse_message(&self.buffer[parsed_bytes..])? {
            parsed_bytes += parsed.length;
            (self.on_event)(ConnectionEvent::Message {
                wire_id: parsed.id,
                message: parsed.message,
                read_at: self.last_read,
            });
        }
        self.buffer.drain(..parsed_bytes);
        if self.buffer.is_empty() {
            self.buffer.shrink_to(RETAINED_BUFFER_BYTES);
        }
        self.has_partial_message.store(!self.buffer.is_empty(), SeqCst);
        Ok(())
    }

    /// The time until the connection counts as stalled; `None` without a partial message.
    fn time_until_stalled(&self) -> Option<Duration> {
        (!self.buffer.is_empty()).then(|| self.stall_timeout.saturating_sub(self.last_read.elapsed()))
    }

    fn has_stalled(&self) -> bool {
        self.time_until_stalled().is_some_and(|left| left.is_zero())
    }
}

/// The handle on the thread that reads.
pub(crate) struct SocketPoller {
    new_connections: Sender<ReadHalf>,
    waker: Waker,
}

impl SocketPoller {
    /// Starts the thread. It runs to the program's end and is not joined.
    ///
    /// # Errors
    /// The system's error if it refuses the thread or a poller.
    pub(crate) fn start() -> io::Result<Arc<SocketPoller>> {
        let poll = retry_transient_errors(Poll::new)?;
        let (new_connections, added) = bounded(NEW_CONNECTIONS_CAPACITY);
        let waker = retry_transient_errors(|| Waker::new(poll.registry(), WAKE_TOKEN))?;
        let poll_loop = PollLoop { poll, added, read_halves: HashMap::new(), next_token: 0 };
        spawn_required("engine reader", STACK_BYTES, move || poll_loop.run())?;
        Ok(Arc::new(SocketPoller { new_connections, waker }))
    }

    /// Reads this connection from now on.
    ///
    /// # Errors
    /// If too many new connections are queued, or the thread can't be woken.
    pub(crate) fn add(&self, read_half: ReadHalf) -> io::Result<()> {
        let added = self.new_connections.try_send(read_half);
        added.map_err(|_| io::Error::other("too many new connections"))?;
        self.waker.wake()
    }
}

/// The state of the thread.
struct PollLoop {
    poll: Poll,
    added: Receiver<ReadHalf>,
    read_halves: HashMap<usize, ReadHalf>,
    next_token: usize,
}

impl PollLoop {
    fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS_CAPACITY);
        let mut read_buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let timeout = self.read_halves.values().filter_map(ReadHalf::time_until_stalled).min();
            // An interrupted wait is one without events.
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
        for read_half in self.added.try_iter() {
            let fd = read_half.stream.as_raw_fd();
            let token = self.next_token;
            self.next_token += 1;
            match self.poll.registry().register(&mut SourceFd(&fd), Token(token), Interest::READABLE) {
                Ok(()) => drop(self.read_halves.insert(token, read_half)),
                Err(e) => (read_half.on_event)(ConnectionEvent::Ended(ConnectionLostReason::Register(e))),
            }
        }
    }

    /// Reads the connections that have input. Returns those that have ended.
    fn read_ready(&mut self, events: &Events, read_buffer: &mut [u8]) -> Vec<(usize, ConnectionLostReason)> {
        let mut ended = Vec::new();
        for event in events {
            let token = event.token();
            let Some(read_half) = self.read_halves.get_mut(&token.0) else { continue };
            match read_half.read(read_buffer) {
                Ok(ReadTurn::Drained) => {}
                Ok(ReadTurn::MoreAvailable) => {
                    // Events are edge-triggered: registering again reports what is still there.
                    let fd = read_half.stream.as_raw_fd();
                    let _ = self.poll.registry().reregister(&mut SourceFd(&fd), token, Interest::READABLE);
                }
                Err(reason) => ended.push((token.0, reason)),
            }
        }
        ended
    }

    fn stalled(&self) -> Vec<(usize, ConnectionLostReason)> {
        let stalled = self.read_halves.iter().filter(|(_, read_half)| read_half.has_stalled());
        stalled.map(|(token, _)| (*token, ConnectionLostReason::MessageStalled)).collect()
    }

    fn remove(&mut self, token: usize, reason: ConnectionLostReason) {
        if let Some(read_half) = self.read_halves.remove(&token) {
            let fd = read_half.stream.as_raw_fd();
            let _ = self.poll.registry().deregister(&mut SourceFd(&fd));
            (read_half.on_event)(ConnectionEvent::Ended(reason));
        }
    }
}
