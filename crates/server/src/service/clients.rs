//! Accepts client connections and reads what comes on each.

use crate::job::{JobTask, USUAL_RESULT};
use crate::memory::budget::{Budget, Lease, Shares};
use crate::memory::clients::{Client, Names};
use crate::memory::counts;
use crate::module::Module;
use crate::service::clock;
use crate::service::shutdown::Health;
use crate::wire::client::{self as wire, Ask, Frame, Message, Reply};
use crate::wire::sql;
use crossbeam_channel::{Sender, bounded};
use mio::unix::SourceFd;
use mio::{Events, Interest, Poll, Token};
use pebblevane::interface::*;
use std::collections::HashMap;
use std::io::{ErrorKind, Read};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A connection ends that has been idle for so long: clients close theirs before that.
const IDLE: Duration = Duration::from_secs(5);
/// A first message, and the rest of one that has begun, come within this time.
const MESSAGE: Duration = Duration::from_secs(2);
/// At the limit, connections that owe a message for so long, or have been idle for so long, make room.
const SILENT: Duration = Duration::from_millis(100);
const RESTING: Duration = Duration::from_millis(300);
const ROOM: usize = 8; // make room at a time
const SWEEP: Duration = Duration::from_millis(250); // pace of looking for those
const CROWDED: Duration = Duration::from_millis(20); // and while new ones wait for room
const BACK_IN: Span = Span(1_000_000); // told with the fixed answer at the program's own limits
const COUNTS_EVERY: Duration = Duration::from_secs(30); // pace of the log line of counts
const SMALL: usize = 4096; // bytes of an unfinished message that are not counted
/// After each message of no use the next one is read this much later, up to a limit.
const PAUSE: Duration = Duration::from_millis(5);
const LONGEST_PAUSE: u32 = 20;
const EVENTS: usize = 256;
const LISTENER: Token = Token(usize::MAX);
const PIECE: usize = 16 * 1024;
const TURN: usize = 4; // pieces of one connection before others have their turn
const BOTH: Interest = Interest::READABLE.add(Interest::WRITABLE);

/// What all client connections share.
pub struct Shared {
    pub module: Arc<Module>,
    pub health: Arc<Health>,
    pub types: Vec<String>,
    pub classes: Vec<Arc<str>>,
    pub names: Arc<Names>,
    /// Descriptors for clients; bytes and threads for jobs.
    pub sockets: Arc<Budget>,
    pub bytes: Arc<Budget>,
    pub jobs: Arc<Budget>,
}

impl Shared {
    pub fn new(module: Arc<Module>, health: Arc<Health>, types: Vec<String>, shares: &Shares) -> Shared {
        Shared {
            module,
            health,
            classes: types.iter().map(|name| name.as_str().into()).collect(),
            types,
            names: Arc::default(),
            sockets: Budget::new(shares.clients),
            bytes: Budget::new(shares.bytes),
            jobs: Budget::new(shares.jobs),
        }
    }
}

/// The thread that accepts and reads all client connections.
pub struct Acceptor {
    shared: Shared,
    poll: Poll,
    listener: TcpListener,
    /// New connections wait for room.
    crowded: bool,
    all: HashMap<usize, Connection>,
    /// Those of which nothing is read for a while.
    paused: Vec<usize>,
    numbers: std::ops::RangeFrom<usize>,
    piece: Vec<u8>,
}

/// A connection as far as it has been read.
struct Connection {
    client: Arc<Client>,
    bytes: Vec<u8>,
    held: Lease,
    /// Since when a message is due that has not come whole: the first, or one that has begun.
    owes: Option<Instant>,
    useless: u32,
    /// Nothing is read before this.
    pauses_until: Option<Instant>,
}

impl Acceptor {
    pub fn new(shared: Shared, listener: TcpListener) -> std::io::Result<Acceptor> {
        let poll = Poll::new()?;
        listener.set_nonblocking(true)?;
        poll.registry().register(&mut SourceFd(&listener.as_raw_fd()), LISTENER, Interest::READABLE)?;
        Ok(Acceptor {
            shared,
            poll,
            listener,
            crowded: false,
            all: HashMap::new(),
            paused: Vec::new(),
            numbers: 0..,
            piece: vec![0; PIECE],
        })
    }

    pub fn run(mut self) {
        let mut events = Events::with_capacity(EVENTS);
        let (mut swept, mut counted) = (Instant::now(), Instant::now());
        loop {
            let until = |number: &usize| self.all.get(number).and_then(|connection| connection.pauses_until);
            let pauses = self.paused.iter().filter_map(until);
            let pauses = pauses.map(|until| until.saturating_duration_since(Instant::now())).min();
            let wait = if self.crowded { CROWDED } else { SWEEP };
            // An interrupted wait is one without events.
            let _ = self.poll.poll(&mut events, Some(pauses.map_or(wait, |pause| pause.min(wait))));
            let (mut ready, mut comes): (Vec<usize>, bool) = (Vec::new(), self.crowded);
            for event in &events {
                match event.token() {
                    LISTENER => comes = true,
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
                tracing::info!("counts: {}", counts::line());
            }
        }
    }

    fn accept(&mut self) {
        self.crowded = false;
        loop {
            let lease = self.shared.sockets.lease(1).or_else(|| {
                self.make_room();
                self.shared.sockets.lease(1)
            });
            let Some(lease) = lease else {
                self.crowded = true;
                return;
            };
            let entered = match self.listener.accept() {
                Ok((stream, _)) => self.enter(stream, lease),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => Err(e),
            };
            if let Err(e) = entered {
                // A connection that has ended already, or no descriptor is free: what waits is tried again soon.
                tracing::debug!("clients: cannot accept: {e}");
                self.crowded = true;
                return;
            }
        }
    }

    fn enter(&mut self, stream: TcpStream, lease: Lease) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        let none = || self.shared.bytes.lease(0).ok_or(ErrorKind::OutOfMemory);
        let (held, out) = (none()?, none()?);
        let number = self.numbers.next().expect("numbers do not end");
        self.poll.registry().register(&mut SourceFd(&stream.as_raw_fd()), Token(number), BOTH)?;
        let client = Arc::new(Client::new(stream, lease, out));
        let owes = Some(Instant::now());
        let connection = Connection { client, bytes: Vec::new(), held, owes, useless: 0, pauses_until: None };
        self.all.insert(number, connection);
        Ok(())
    }

    /// Reads what is there and deals with it.
    fn read(&mut self, number: usize) {
        let Some(connection) =
            self.all.get_mut(&number).filter(|connection| connection.pauses_until.is_none())
        else {
            return;
        };
        connection.client.flush();
        match connection.read(&self.shared, &mut self.piece) {
            Ok(false) => self.paused.extend(connection.pauses_until.map(|_| number)),
            Ok(true) => {
                // Whatever more is there is told by a new event.
                let fd = connection.client.stream.as_raw_fd();
                let _ = self.poll.registry().reregister(&mut SourceFd(&fd), Token(number), BOTH);
            }
            Err(why) => self.end(number, &why),
        }
    }

    fn end(&mut self, number: usize, why: &str) {
        let Some(connection) = self.all.remove(&number) else { return };
        tracing::debug!("clients: a connection ended: {why}");
        let _ = self.poll.registry().deregister(&mut SourceFd(&connection.client.stream.as_raw_fd()));
        for job in connection.client.leave() {
            counts::LEFT.add();
            self.shared.module.gone(job);
        }
    }

    /// Ends connections that are of no use any more, and those that don't take their answers.
    fn sweep(&mut self) {
        let useless = self.all.iter().filter(|(_, connection)| {
            connection.client.flush();
            connection.useless_for(MESSAGE, IDLE).is_some()
        });
        for number in useless.map(|(number, _)| *number).collect::<Vec<usize>>() {
            self.end(number, "idle, or a message that does not come to its end");
        }
    }

    /// At the limit the connections that owe a message make room, then those that rest, the longest first, some
    /// at a time: looking through all for each new one would take the core from the others when hundreds come.
    fn make_room(&mut self) {
        let rank = |connection: &Connection| {
            Some((connection.owes.is_some(), connection.useless_for(SILENT, RESTING)?))
        };
        let useless = self.all.iter().filter_map(|(number, connection)| Some((rank(connection)?, *number)));
        let mut useless: Vec<((bool, Duration), usize)> = useless.collect();
        useless.sort_unstable_by(|a, b| b.cmp(a));
        for (_, number) in useless.into_iter().take(ROOM) {
            counts::MADE_ROOM.add();
            self.end(number, "it makes room");
        }
    }
}

impl Connection {
    /// How long it has been of no use, if longer than it may owe a message, or be idle.
    fn useless_for(&self, owing: Duration, idle: Duration) -> Option<Duration> {
        let idle_for = self.client.idle_for()?;
        match self.owes {
            Some(since) => Some(since.elapsed()).filter(|time| *time > owing),
            None => Some(idle_for).filter(|time| *time > idle),
        }
    }

    /// Says whether more may be there.
    fn read(&mut self, shared: &Shared, piece: &mut [u8]) -> Result<bool, String> {
        for _ in 0..TURN {
            let count = match (&self.client.stream).read(piece) {
                Ok(0) => return Err("the client closed it".to_string()),
                Ok(count) => count,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e.to_string()),
            };
            self.client.speaks();
            self.bytes.extend_from_slice(&piece[..count]);
            let useless = self.useless;
            self.handle_buffered(shared)?;
            if self.useless > useless {
                // Whoever sends what is of no use at full speed waits; nobody else does.
                self.pauses_until = Some(Instant::now() + PAUSE * self.useless.min(LONGEST_PAUSE));
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Deals with all messages that have come whole.
    fn handle_buffered(&mut self, shared: &Shared) -> Result<(), String> {
        let arrived = clock::now();
        let mut done = 0;
        loop {
            match wire::frame(&self.bytes[done..]) {
                Frame::Whole(length) => {
                    let message = wire::decode(&self.bytes[done..done + length], &shared.types);
                    done += length;
                    let used = handle(
                        shared,
                        &self.client,
                        message.ok_or("a message of another protocol")?,
                        arrived,
                    )?;
                    self.useless = if used { 0 } else { self.useless + 1 };
                }
                Frame::Partial => break,
                Frame::Broken(why) => return Err(why.to_string()),
            }
        }
        self.bytes.drain(..done);
        if done > 0 {
            self.bytes.shrink_to(SMALL);
            self.owes = None;
        }
        if !self.bytes.is_empty() {
            self.owes.get_or_insert_with(Instant::now);
        }
        let past = self.bytes.len().saturating_sub(SMALL);
        if !self.held.grow_to(past) {
            return Err("no bytes are left for an unfinished message".to_string());
        }
        self.held.shrink_to(past);
        Ok(())
    }
}

/// Deals with one message; says whether it was of use.
fn handle(shared: &Shared, client: &Arc<Client>, message: Message, arrived: Moment) -> Result<bool, String> {
    // Whatever were answered under the number of an open request would be taken for that one's answer.
    let number = match &message {
        Message::Job(ask) => Some(ask.message),
        Message::IsWell(id) | Message::Unusable(id, _) => Some(*id),
        Message::Forget(_) | Message::Other => None,
    };
    if number.is_some_and(|number| client.is_open(number)) {
        return Err("a message id that is open already".to_string());
    }
    match message {
        Message::Job(ask) => return Ok(take(shared, client, ask, arrived)),
        Message::Forget(ids) => {
            for job in ids.into_iter().filter_map(|id| client.forget(id)) {
                counts::LEFT.add();
                shared.module.gone(job);
            }
        }
        Message::IsWell(id) => client.write(id, &Reply::Well(shared.health.is_well())),
        Message::Unusable(id, why) => {
            counts::UNUSABLE.add();
            client.write(id, &Reply::Failed(&why));
            return Ok(false);
        }
        Message::Other => return Ok(false),
    }
    Ok(true)
}

/// Hands a job to the module and to a thread of its own; says whether it could.
fn take(shared: &Shared, client: &Arc<Client>, ask: Ask, arrived: Moment) -> bool {
    let Some(taken) = shared.names.take(&ask.id) else {
        counts::UNUSABLE.add();
        client.write(ask.message, &Reply::Failed("field i is that of an open request"));
        return false;
    };
    let room = if client.has_room() { room(shared, ask.statement.len()) } else { None };
    let Some((thread, lease)) = room else {
        // The one answer that the program gives by itself, for a job that the module never saw.
        counts::AT_LIMIT.add();
        client.write(ask.message, &Reply::Throttled(BACK_IN));
        return false;
    };
    let job = Job {
        reservation: ask.reservation,
        left: ask.left,
        cost: ask.cost,
        memory_mb: ask.memory_mb,
        group: sql::group(&ask.statement).unwrap_or(0),
        repeat: ask.repeat,
        ..Job::default()
    };
    counts::TAKEN.add();
    let (id, steps) = shared.module.take(job, arrived);
    client.open(ask.message, id);
    let task = JobTask {
        id,
        steps,
        message: ask.message,
        name: ask.id,
        taken: Some(taken),
        class: shared.classes[ask.reservation].clone(),
        statement: ask.statement.into(),
        client: client.clone(),
        module: shared.module.clone(),
        lease,
    };
    let _ = thread.send(task);
    true
}

/// A thread and the bytes for one more job, if the limits allow it.
fn room(shared: &Shared, statement: usize) -> Option<(Sender<JobTask>, Lease)> {
    let (place, bytes) = (shared.jobs.lease(1)?, shared.bytes.lease(statement + USUAL_RESULT)?);
    let (thread, task) = bounded::<JobTask>(1);
    let run = move || {
        let _place = place;
        if let Ok(task) = task.recv() {
            task.run();
        }
    };
    crate::thread("job", crate::STACK, run).ok()?;
    Some((thread, bytes))
}
