//! Accepts client connections, and carries out their closes and the steps of a stop.

use crate::client::arrival_time::{ArrivalTimeEstimator, PollWait};
use crate::client::connection::{ClientConnection, ClosingConnection, End, IdleLimits, Shared};
use crate::lifecycle::clock;
use crate::lifecycle::shutdown::ShutdownSchedule;
use crate::lifecycle::startup::retry_transient_errors;
use crate::limits::Permit;
use crate::session::client_session::ClientSession;
use crate::telemetry::counters;
use crate::telemetry::invariants::{self, Invariant};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use pebblevane::time::*;
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection ends that has been idle for so long: clients close theirs before that.
const IDLE: Duration = Duration::from_secs(5);
/// The rest of a message that has begun comes within this time.
const MESSAGE: Duration = Duration::from_secs(2);
/// How long a connection may keep the program waiting before it is closed.
const PATIENCE: IdleLimits = IdleLimits { first: IDLE, rest: MESSAGE, idle: IDLE };
/// The same at the limit of connections, where others wait for room.
const PATIENCE_AT_LIMIT: IdleLimits = IdleLimits {
    first: Duration::from_millis(100),
    rest: Duration::from_millis(100),
    idle: Duration::from_millis(300),
};
const ROOM: usize = 8; // make room at a time
const CLOSING: usize = 32; // may be on their way to their end to make room
const SWEEP: Duration = Duration::from_millis(250); // pace of looking for those
const LOOK: Duration = Duration::from_millis(100); // a wait that is held up shows from here on
const CROWDED: Duration = Duration::from_millis(20); // and while new ones wait for room, or during a stop
const COUNTS_EVERY: Duration = Duration::from_secs(30); // pace of the log line of counts
/// A connection whose end has been sent is read, and what comes is dropped, until the client ends it too: for so
/// long, and so many bytes. Where others wait for room, for as long as a request may cross the end.
const LINGER: Duration = Duration::from_millis(500);
const LINGER_BYTES: usize = 256 * 1024;
const CROSSING: Duration = Duration::from_millis(50);
const EVENTS: usize = 256;
const LISTENER: Token = Token(usize::MAX);
const PIECE: usize = 16 * 1024;
const BOTH: Interest = Interest::READABLE.add(Interest::WRITABLE);

/// The thread that accepts and reads all client connections.
pub struct Acceptor {
    shared: Shared,
    poll: Poll,
    /// None once no new connections are accepted.
    listener: Option<TcpListener>,
    /// New connections wait for room.
    crowded: bool,
    all: HashMap<usize, ClientConnection>,
    /// Those of which nothing is read for a while.
    paused: Vec<usize>,
    numbers: std::ops::RangeFrom<usize>,
    piece: Vec<u8>,
    arrivals: ArrivalTimeEstimator,
    /// When what is read now came, or before that it can't have come.
    arrived: Timestamp,
    /// The last wait ended at once.
    at_once: bool,
    /// Waits so far.
    pass: u64,
}

impl Acceptor {
    pub fn new(shared: Shared, listener: TcpListener) -> std::io::Result<Acceptor> {
        let poll = retry_transient_errors(Poll::new)?;
        listener.set_nonblocking(true)?;
        poll.registry().register(&mut SourceFd(&listener.as_raw_fd()), LISTENER, Interest::READABLE)?;
        Ok(Acceptor {
            shared,
            poll,
            listener: Some(listener),
            crowded: false,
            all: HashMap::new(),
            paused: Vec::new(),
            numbers: 0..,
            piece: vec![0; PIECE],
            arrivals: ArrivalTimeEstimator::new(clock::now()),
            arrived: clock::now(),
            at_once: false,
            pass: 0,
        })
    }

    /// Returns when the program was told to stop and all have their answers and have left.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS);
        let (mut swept, mut counted) = (Instant::now(), Instant::now());
        loop {
            let until = |number: &usize| self.all.get(number).and_then(|connection| connection.pauses_until);
            let pauses = self.paused.iter().filter_map(until);
            let pauses = pauses.map(|until| until.saturating_duration_since(Instant::now())).min();
            let stopping = self.shared.health.schedule();
            let wait = if self.crowded || stopping.is_some() { CROWDED } else { LOOK };
            let wait = pauses.map_or(wait, |pause| pause.min(wait));
            let began = clock::now();
            // An interrupted wait is one without events.
            let interrupted = self.poll.poll(&mut events, Some(wait)).is_err();
            let (ended, longest) = (clock::now(), TimeDelta(wait.as_micros() as i64));
            let wait = PollWait { began, ended, longest, interrupted };
            (self.arrived, self.at_once) = (self.arrivals.earliest(&wait), wait.found_at_once());
            self.pass += 1;
            let (mut ready, mut left, mut comes) = (Vec::new(), Vec::new(), self.crowded);
            for event in &events {
                match event.token() {
                    LISTENER => comes = true,
                    // Its client has left, however much is there to be read before its end.
                    Token(number) if event.is_read_closed() => left.push(number),
                    Token(number) => ready.push(number),
                }
            }
            let (all, now) = (&mut self.all, Instant::now());
            self.paused.retain(|number| {
                let Some(connection) = all.get_mut(number) else { return false };
                let over = connection.pauses_until.is_none_or(|until| until <= now);
                if over {
                    connection.pauses_until = None;
                    ready.push(*number);
                }
                !over
            });
            left.into_iter().for_each(|number| self.left(number));
            ready.into_iter().for_each(|number| self.read(number));
            if comes {
                self.accept();
            }
            if swept.elapsed() >= SWEEP {
                swept = Instant::now();
                self.sweep();
            }
            if counted.elapsed() >= COUNTS_EVERY {
                counted = Instant::now();
                tracing::info!("counts: {}", counters::line());
            }
            if stopping.is_some_and(|steps| self.stop(&steps, clock::now())) {
                return;
            }
        }
    }

    /// Takes the next steps of a stop; says whether it is over.
    fn stop(&mut self, steps: &ShutdownSchedule, now: Timestamp) -> bool {
        if now < steps.accept_until {
            return false;
        }
        if self.listener.is_some() {
            // What the system has accepted is taken as well.
            self.accept();
            self.listener = None;
            self.crowded = false;
        }
        for number in self.all.keys().copied().collect::<Vec<usize>>() {
            let Some(connection) = self.all.get(&number) else { continue };
            if connection.closing.is_some() {
                self.proceed(number);
            } else {
                // At the end nobody waits for the rest of a message, or for a first one.
                let useless = |it: &ClientConnection| {
                    it.rests() && !it.fresh || now >= steps.answered_by && it.client.rests()
                };
                if useless(connection) {
                    self.retire(number, useless, "the program stops");
                }
            }
        }
        self.all.is_empty() || now >= steps.exit_at
    }

    fn accept(&mut self) {
        self.crowded = false;
        loop {
            let lease = self.shared.sockets.acquire(1).or_else(|| {
                self.make_room();
                self.shared.sockets.acquire(1)
            });
            let Some(lease) = lease else {
                self.crowded = true;
                return;
            };
            let Some(listener) = &self.listener else { return };
            let entered = match listener.accept() {
                Ok((stream, _)) => self.enter(stream, lease),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => Err(e),
            };
            if let Err(e) = entered {
                // A connection that has ended already, or no descriptor is free: what waits is tried again soon.
                tracing::debug!(reason = %e, "accepting a client failed");
                self.crowded = true;
                return;
            }
        }
    }

    fn enter(&mut self, stream: TcpStream, lease: Permit) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        let none = || self.shared.bytes.acquire(0).ok_or(ErrorKind::OutOfMemory);
        let (held, out) = (none()?, none()?);
        let number = self.numbers.next().expect("numbers do not end");
        self.poll.registry().register(&mut SourceFd(&stream.as_raw_fd()), Token(number), BOTH)?;
        let client = Arc::new(ClientSession::new(stream, lease, out));
        let owes = Some(Instant::now());
        let connection = ClientConnection {
            client,
            bytes: Vec::new(),
            held,
            owes,
            accepted: (self.pass, self.arrived),
            fresh: true,
            useless: 0,
            pauses_until: None,
            closing: None,
        };
        self.all.insert(number, connection);
        Ok(())
    }

    /// Reads what is there and deals with it.
    fn read(&mut self, number: usize) {
        let Some(connection) = self.all.get_mut(&number).filter(|it| it.pauses_until.is_none()) else {
            return;
        };
        connection.client.flush();
        // What the first wait after it was accepted finds at once may have come before it was accepted.
        let (pass, waits) = connection.accepted;
        let arrived = if pass + 1 == self.pass && self.at_once { waits } else { self.arrived };
        match connection.read(&self.shared, &mut self.piece, arrived) {
            Ok(false) => self.paused.extend(connection.pauses_until.map(|_| number)),
            Ok(true) => {
                // Whatever more is there is told by a new event.
                let fd = connection.client.stream.as_raw_fd();
                let _ = self.poll.registry().reregister(&mut SourceFd(&fd), Token(number), BOTH);
            }
            Err(End::Left(why)) => self.cut(number, &why),
            Err(End::Odd(why)) => self.close(number, &why),
        }
        self.proceed(number);
    }

    /// The client has closed the connection, or its side of it: which of them can't be told, and clients of this
    /// protocol have no use for half a connection. So nobody waits for what is open here.
    fn left(&mut self, number: usize) {
        match self.all.get_mut(&number) {
            // It may still read the last answers: its bytes are read to their end, lest they be reset.
            Some(connection) if connection.closing.is_some() => {
                connection.pauses_until = None;
                self.read(number);
            }
            _ => self.cut(number, "the client closed it"),
        }
    }

    /// The one place where a connection ends at once: where the client has ended it, or gets no more time.
    fn cut(&mut self, number: usize, why: &str) {
        let Some(connection) = self.all.remove(&number) else { return };
        tracing::debug!(connection = number, reason = why, "client connection ended");
        let _ = self.poll.registry().deregister(&mut SourceFd(&connection.client.stream.as_raw_fd()));
        self.give_up(&connection.client);
        connection.client.cut();
    }

    /// The one place where the program ends a connection: what is open is given up; the answers that were given
    /// leave; the client is shown the end; what it has sent meanwhile is read and dropped, since a close over
    /// unread bytes resets the connection with all that is still on its way.
    fn close(&mut self, number: usize, why: &str) {
        let Some(connection) = self.all.get_mut(&number).filter(|it| it.closing.is_none()) else { return };
        tracing::debug!(connection = number, reason = why, "closing client connection");
        connection.closing = Some(ClosingConnection { ended: None, left: LINGER_BYTES });
        connection.pauses_until = None;
        (connection.bytes, connection.owes) = (Vec::new(), None);
        connection.held.shrink_to(0);
        let client = connection.client.clone();
        self.give_up(&client);
        self.proceed(number);
    }

    /// Closes a connection that is of no use, after a last look at what has come since that was found.
    fn retire(&mut self, number: usize, useless: impl Fn(&ClientConnection) -> bool, why: &str) {
        self.read(number);
        let Some(connection) = self.all.get(&number).filter(|connection| useless(connection)) else { return };
        if !connection.client.rests() {
            invariants::violated(Invariant::ClosedOnlyWhenIdle, why);
        }
        self.close(number, why);
    }

    /// Goes on with a close under way.
    fn proceed(&mut self, number: usize) {
        let Some(connection) = self.all.get_mut(&number) else { return };
        let Some(closing) = &mut connection.closing else { return };
        if closing.ended.is_none() && connection.client.finish() {
            closing.ended = Some(Instant::now());
        }
        if closing.ended.is_some_and(|at| at.elapsed() > LINGER) {
            self.cut(number, "the client does not end it");
        }
    }

    fn give_up(&self, client: &ClientSession) {
        for job in client.forget_all() {
            counters::JOBS_ABANDONED.increment();
            self.shared.module.client_disconnected(job);
        }
    }

    /// Closes connections that are of no use any more, and cuts those that don't take their answers.
    fn sweep(&mut self) {
        let useless = |connection: &ClientConnection| connection.useless_for(&PATIENCE).is_some();
        for number in self.all.keys().copied().collect::<Vec<usize>>() {
            let Some(connection) = self.all.get(&number) else { continue };
            connection.client.flush();
            if connection.closing.is_some() {
                self.proceed(number);
            } else if useless(connection) {
                self.retire(number, useless, "idle, or a message that does not come to its end");
            }
        }
    }

    /// At the limit the connections that have been shown their end make room, then those that owe a message, then
    /// those that rest, the longest first, some at a time: looking through all for each new one would take the core
    /// from the others when hundreds come.
    fn make_room(&mut self) {
        let ended = |connection: &ClientConnection| Some(connection.closing.as_ref()?.ended?.elapsed());
        let over =
            self.all.iter().filter(|(_, connection)| ended(connection).is_some_and(|for_| for_ > CROSSING));
        for number in over.map(|(number, _)| *number).collect::<Vec<usize>>() {
            self.read(number);
            self.cut(number, "it makes room");
        }
        let closing = self.all.values().filter(|connection| connection.closing.is_some()).count();
        let rank = |connection: &ClientConnection| {
            Some((connection.owes.is_some(), connection.useless_for(&PATIENCE_AT_LIMIT)?))
        };
        let useless = self.all.iter().filter_map(|(number, connection)| Some((rank(connection)?, *number)));
        let mut useless: Vec<((bool, Duration), usize)> = useless.collect();
        useless.sort_unstable_by(|a, b| b.cmp(a));
        for (_, number) in useless.into_iter().take(ROOM.min(CLOSING.saturating_sub(closing))) {
            counters::CONNECTIONS_EVICTED.increment();
            self.retire(number, |connection| rank(connection).is_some(), "it makes room");
        }
    }
}
