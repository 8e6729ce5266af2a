//! Reads all connections to engines in one thread. A thread for each would be woken each time that the program is
//! stopped and goes on again, as it is many times a second on part of a core.

use crate::codec::engine::{self as wire, EngineMessage};
use crate::lifecycle::startup::retry_transient_errors;
use crate::lifecycle::threads;
use crossbeam_channel::{Receiver, Sender, bounded};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::HashMap;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

const NEW: usize = 256; // connections that wait to be read
const EVENTS: usize = 256;
const WAKE: Token = Token(usize::MAX);
const PIECE: usize = 16 * 1024;
const TURN: usize = 4; // pieces of one connection before others have their turn
const KEPT: usize = 4096; // bytes for an unfinished answer that a connection keeps when it has none

/// What a connection's owner is told.
pub enum ConnectionEvent {
    /// A word, under its id, and when it was read.
    EngineMessage(String, EngineMessage, Instant),
    Ended(String),
}

/// A connection that is listened to.
pub struct ReadHalf {
    stream: Arc<TcpStream>,
    /// An answer that stops in the middle for so long won't go on.
    stall: Duration,
    tell: Box<dyn Fn(ConnectionEvent) + Send>,
    bytes: Vec<u8>,
    since: Instant,
    /// An answer has begun that has not come whole.
    midway: Arc<AtomicBool>,
}

impl ReadHalf {
    pub fn new(
        stream: Arc<TcpStream>,
        stall: Duration,
        tell: Box<dyn Fn(ConnectionEvent) + Send>,
    ) -> ReadHalf {
        ReadHalf { stream, stall, tell, bytes: Vec::new(), since: Instant::now(), midway: Arc::default() }
    }

    /// Shows whether an answer has begun that has not come whole.
    pub fn midway(&self) -> Arc<AtomicBool> {
        self.midway.clone()
    }

    /// Reads what is there; says whether more may be.
    fn read(&mut self, piece: &mut [u8]) -> Result<bool, String> {
        for _ in 0..TURN {
            match (&*self.stream).read(piece) {
                Ok(0) => return Err("the engine closed it".to_string()),
                Ok(count) => self.bytes.extend_from_slice(&piece[..count]),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e.to_string()),
            }
            self.since = Instant::now();
            let since = self.since;
            let mut done = 0;
            while let Some(parsed) = wire::parse_message(&self.bytes[done..]).map_err(|e| e.to_string())? {
                done += parsed.length;
                (self.tell)(ConnectionEvent::EngineMessage(parsed.id, parsed.message, since));
            }
            self.bytes.drain(..done);
            if self.bytes.is_empty() {
                self.bytes.shrink_to(KEPT);
            }
            self.midway.store(!self.bytes.is_empty(), SeqCst);
        }
        Ok(true)
    }

    /// The time until it has stalled, if it is in the middle of an answer.
    fn left(&self) -> Option<Duration> {
        (!self.bytes.is_empty()).then(|| self.stall.saturating_sub(self.since.elapsed()))
    }
}

/// The way to the thread that reads.
pub struct SocketPoller {
    new: Sender<ReadHalf>,
    waker: Waker,
}

impl SocketPoller {
    pub fn start() -> std::io::Result<Arc<SocketPoller>> {
        let poll = retry_transient_errors(Poll::new)?;
        let (new, added) = bounded(NEW);
        let waker = retry_transient_errors(|| Waker::new(poll.registry(), WAKE))?;
        threads::spawn_required("engine words", crate::lifecycle::threads::STACK_BYTES, move || {
            listen(poll, &added)
        })?;
        Ok(Arc::new(SocketPoller { new, waker }))
    }

    pub fn add(&self, half: ReadHalf) -> std::io::Result<()> {
        self.new.try_send(half).map_err(|_| std::io::Error::other("too many wait to be read"))?;
        self.waker.wake()
    }
}

fn listen(mut poll: Poll, added: &Receiver<ReadHalf>) {
    let mut halves: HashMap<usize, ReadHalf> = HashMap::new();
    let (mut events, mut piece, mut numbers) = (Events::with_capacity(EVENTS), vec![0; PIECE], 0..);
    loop {
        let due = halves.values().filter_map(ReadHalf::left).min();
        // An interrupted wait is one without events.
        let _ = poll.poll(&mut events, due);
        for half in added.try_iter() {
            let fd = half.stream.as_raw_fd();
            let number = numbers.next().expect("numbers do not end");
            match poll.registry().register(&mut SourceFd(&fd), Token(number), Interest::READABLE) {
                Ok(()) => drop(halves.insert(number, half)),
                Err(e) => (half.tell)(ConnectionEvent::Ended(e.to_string())),
            }
        }
        let mut ended = Vec::new();
        for number in events.iter().map(|event| event.token().0) {
            let Some(half) = halves.get_mut(&number) else { continue };
            match half.read(&mut piece) {
                Ok(false) => {}
                Ok(true) => {
                    // Whatever more is there is told by a new event.
                    let fd = half.stream.as_raw_fd();
                    let _ = poll.registry().reregister(&mut SourceFd(&fd), Token(number), Interest::READABLE);
                }
                Err(why) => ended.push((number, why)),
            }
        }
        let stalled = halves.iter().filter(|(_, half)| half.left().is_some_and(|left| left.is_zero()));
        ended.extend(stalled.map(|(number, _)| (*number, "an answer stopped in the middle".to_string())));
        for (number, why) in ended {
            if let Some(half) = halves.remove(&number) {
                let _ = poll.registry().deregister(&mut SourceFd(&half.stream.as_raw_fd()));
                (half.tell)(ConnectionEvent::Ended(why));
            }
        }
    }
}
