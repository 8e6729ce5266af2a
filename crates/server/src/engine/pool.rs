//! Engines and their connections. An engine's owner has all connections to it, knows what is out on each and
//! writes to them, without ever waiting; `owners.rs` has the one thread of all owners, `readers.rs` reads the
//! connections. Connecting has a thread of its own.
//!
//! A dispatch has a connection to itself as long as the descriptors allow it, for whatever spoils a connection
//! ends all that is out on it.

use crate::codec::engine::{self as wire, EngineMessage, HealthCheckKind};
use crate::config::connection_settings::ConnectionSettings;
use crate::engine::connection::{EngineConnection, SPENT};
use crate::engine::handle::{
    DROPPED, DispatchEvent, EndpointUpdate, EngineRequest, HealthCheckCallback, HealthCheckResult,
    PoolCommand, QUEUED, SENT, SendGate,
};
use crate::engine::socket_poller::{ConnectionEvent, ReadHalf, SocketPoller};
use crate::lifecycle::threads::{STACK_BYTES, SpawnThread};
use crate::limits::{Permit, ResourceBudget};
use crate::telemetry::counters;
use crossbeam_channel::Sender;
use pebblevane::interface::*;
use pebblevane::time::*;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

const FAILED: u32 = 4; // connections that may fail a dispatch before a byte of it has left
const AT_ONCE: Duration = Duration::from_millis(20); // before most answers: a spoilt one is no sign of a stale connection
const FRESH: Duration = Duration::from_millis(20); // a rest of so long harms no connection
const STALE: Duration = Duration::from_secs(10); // without a stale connection, longer rests are tried again
/// Least time between two log lines on one engine's connections.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What all owners share.
pub struct PoolContext {
    pub terms: ConnectionSettings,
    pub sockets: Arc<ResourceBudget>,
    pub readers: Arc<SocketPoller>,
    pub now: fn() -> Timestamp,
    /// Starts the threads that connect.
    pub spawn_thread: SpawnThread,
    pub orders: Sender<(u64, PoolCommand)>,
}

pub struct EnginePool {
    key: u64,
    name: String,
    address: SocketAddr,
    open: Arc<AtomicBool>,
    outs: HashMap<u64, Entry>,
    /// What waits for a connection, in turn.
    waiting: VecDeque<u64>,
    dialing: usize,
    /// What ended with its connection, until it shows whether the engine takes a new one.
    doubtful: Vec<Sender<DispatchEvent>>,
    connections: BTreeMap<u64, EngineConnection>,
    opened: u64,
    gone: bool,
    /// A connection that has rested for longer is not used again: it may have ended unseen on the way.
    fresh_for: Duration,
    /// When that was last found too long, or lengthened.
    stale_at: Instant,
    /// When its last trouble was logged, and how many were not since.
    told: Option<Instant>,
    untold: u32,
}

/// A dispatch or probe that is out or waits for a connection.
struct Entry {
    what: What,
    id: Box<str>,
    connection: Option<u64>,
    /// The engine's good end has come; only pages are out.
    headed: bool,
    /// It has waited long enough to share a connection.
    shares: bool,
    /// Connections that have ended before a byte of it had left.
    failed: u32,
    /// When it was last written to a connection.
    sent: Instant,
    due: Instant,
}

enum What {
    Dispatch { request: EngineRequest, gate: Arc<SendGate>, events: Sender<DispatchEvent> },
    Probe(Option<HealthCheckCallback>),
}

impl EnginePool {
    pub fn new(key: u64, name: &str, address: SocketAddr, open: Arc<AtomicBool>) -> EnginePool {
        EnginePool {
            key,
            name: name.to_string(),
            address,
            open,
            outs: HashMap::new(),
            waiting: VecDeque::new(),
            dialing: 0,
            doubtful: Vec::new(),
            connections: BTreeMap::new(),
            opened: 0,
            gone: false,
            fresh_for: Duration::MAX,
            stale_at: Instant::now(),
            told: None,
            untold: 0,
        }
    }

    /// When something is due, whatever comes.
    pub fn due(&self) -> Option<Instant> {
        self.outs.values().filter(|entry| entry.times_out()).map(|entry| entry.due).min()
    }

    /// Whether there are connections to look at now and then.
    pub fn connected(&self) -> bool {
        !self.connections.is_empty()
    }

    /// Something waits here for a descriptor that it can't have.
    pub fn lacks_room(&self, context: &PoolContext) -> bool {
        !self.waiting.is_empty()
            && self.dialing == 0
            && self.connections.len() < context.terms.connections
            && context.sockets.acquire(1).is_none()
    }

    /// Since when the connection has rested that has rested longest.
    pub fn rests_since(&self) -> Option<Instant> {
        self.longest_rest().map(|(since, _)| since)
    }

    fn longest_rest(&self) -> Option<(Instant, u64)> {
        let resting = self.connections.iter().filter(|(_, connection)| connection.ids.is_empty());
        resting.map(|(key, connection)| (connection.since, *key)).min()
    }

    /// Ends that connection.
    pub fn make_room(&mut self) {
        let ended = self.longest_rest().and_then(|(_, key)| self.connections.remove(&key));
        ended.into_iter().for_each(|connection| drop(connection.stream.shutdown(Shutdown::Both)));
    }

    /// Nothing can come of it any more.
    pub fn over(&self) -> bool {
        self.gone && self.outs.is_empty() && self.doubtful.is_empty()
    }

    pub fn close(self) {
        for connection in self.connections.values() {
            let _ = connection.stream.shutdown(Shutdown::Both);
        }
    }

    pub fn hears(&mut self, news: EndpointUpdate, context: &PoolContext) {
        if let Some(at) = news.restarted {
            let old = self.connections.iter().filter(|(_, connection)| connection.opened < at);
            for connection in old.map(|(number, _)| *number).collect::<Vec<u64>>() {
                self.lost(connection, "the engine started anew", context);
            }
        }
        self.gone |= news.gone;
        if news.closed && !self.open.load(SeqCst) {
            std::mem::take(&mut self.waiting).into_iter().for_each(|number| self.lose(number));
        }
        self.assign_waiting(context);
    }

    pub fn sweep(&mut self, context: &PoolContext) {
        self.drop_idle(context);
        self.drop_silent(context);
    }

    pub fn carry_out(&mut self, order: PoolCommand, context: &PoolContext) {
        match order {
            PoolCommand::Send { number, request, gate, events } => {
                let id = request.id.clone();
                self.enter(number, id, What::Dispatch { request, gate, events }, context);
            }
            PoolCommand::Probe { number, told } => {
                self.enter(number, format!("p{number}").into(), What::Probe(Some(told)), context);
            }
            PoolCommand::Fetch { number, page } => {
                self.plain(number, |id| wire::encode_fetch(id, page), context)
            }
            PoolCommand::GiveUp { number, done } => {
                self.give_up(number, context);
                drop(done);
            }
            PoolCommand::Dialed(dialed) => self.dialed(dialed, context),
            PoolCommand::Connection { connection, told: ConnectionEvent::EngineMessage(id, word, at) } => {
                self.heard(connection, &id, word, at)
            }
            PoolCommand::Wakeup => {}
            PoolCommand::Connection { connection, told: ConnectionEvent::Ended(why) } => {
                self.lost(connection, &why, context)
            }
        }
        // Whatever has come to an end may have left a connection to what waits.
        self.assign_waiting(context);
    }

    fn enter(&mut self, number: u64, id: Box<str>, what: What, context: &PoolContext) {
        let due = Instant::now() + context.terms.dial / 8;
        self.outs.insert(
            number,
            Entry {
                what,
                id,
                connection: None,
                headed: false,
                shares: false,
                failed: 0,
                sent: Instant::now(),
                due,
            },
        );
        self.waiting.push_back(number);
        self.assign_waiting(context);
    }

    /// Finds connections for what waits, in turn, or opens more.
    pub fn assign_waiting(&mut self, context: &PoolContext) {
        if self.waiting.is_empty() {
            return;
        }
        while let Some(&number) = self.waiting.front() {
            let Some(entry) = self.outs.get(&number) else {
                self.waiting.pop_front();
                continue;
            };
            let full = self.connections.len() + self.dialing >= context.terms.connections;
            let Some(key) = self.connection_for(&entry.id, full, context) else { break };
            self.waiting.pop_front();
            self.assign(number, key, context);
        }
        self.dial(context);
    }

    /// A connection on which no late answer can be taken for that of this id: one with nothing out, best one
    /// that has just proved to work; where no more may be opened, the one with the least out.
    fn connection_for(&self, id: &str, share: bool, context: &PoolContext) -> Option<u64> {
        let ConnectionSettings { streams, idle, .. } = context.terms;
        let usable = self.connections.iter().filter(|(_, connection)| {
            connection.spent.len() < SPENT
                && !connection.spent.contains(id)
                && !connection.ids.contains_key(id)
                && match connection.ids.len() {
                    0 => connection.is_fresh(self.fresh_for.min(idle), idle),
                    out => share && out < streams,
                }
        });
        let best = usable.min_by_key(|(_, connection)| (connection.ids.len(), connection.heard.elapsed()));
        best.map(|(key, _)| *key)
    }

    /// Writes it to a connection, after the last look whether it may still leave.
    fn assign(&mut self, number: u64, key: u64, context: &PoolContext) {
        // The end of a connection that rests may have come and not been read yet: what is written then is lost, and
        // whether it ran can't be known. Half a line on it would spoil the answer.
        let odd = |connection: &EngineConnection| connection.ids.is_empty() && !connection.is_quiet();
        if self.connections.get(&key).is_some_and(odd) {
            self.lost(key, "its end or what nobody asked for came while it rested", context);
            self.waiting.push_front(number);
            return self.assign_waiting(context);
        }
        let Some(entry) = self.outs.get_mut(&number) else { return };
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let bytes = match &entry.what {
            What::Dispatch { request, gate, .. } => {
                let now = (context.now)();
                let over = !request.liveness.is_waiting() || now >= request.begin_by;
                if over || !self.open.load(SeqCst) || !gate.pass(SENT) {
                    tracing::debug!(job = %request.id, engine = %self.name, "dispatch withheld");
                    gate.pass(DROPPED);
                    return self.lose(number);
                }
                if !request.ledger.try_record_send(now, request.deadline) {
                    gate.state.store(DROPPED, SeqCst);
                    return self.lose(number);
                }
                gate.left.store(true, SeqCst);
                tracing::debug!(job = %request.id, engine = %self.name, connection = key, "dispatch sent");
                wire::encode_request(
                    &request.id,
                    &request.class,
                    request.deadline - now,
                    request.priority,
                    &request.statement,
                )
            }
            What::Probe(_) => {
                let kind = if context.terms.reports {
                    HealthCheckKind::LoadReport
                } else {
                    HealthCheckKind::Liveness
                };
                wire::encode_health_check(&entry.id, kind)
            }
        };
        if connection.ids.is_empty() {
            connection.rested = connection.used.then(|| connection.since.elapsed());
            (connection.since, connection.used) = (Instant::now(), true);
        }
        connection.ids.insert(entry.id.clone(), number);
        entry.sent = Instant::now();
        (entry.connection, entry.due) = (Some(key), entry.sent + context.terms.dial);
        let written = loop {
            match (&*connection.stream).write(&bytes) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                written => break written,
            }
        };
        match written {
            Ok(count) if count == bytes.len() => {}
            Ok(count) => self.write(key, &bytes[count..], context),
            Err(e) => {
                // Not a byte has left: it may go on another connection, if that does not come again and again.
                connection.ids.remove(&entry.id);
                (entry.connection, entry.failed) = (None, entry.failed + 1);
                let again = entry.failed < FAILED;
                if let What::Dispatch { request, gate, .. } = &entry.what {
                    // Unless the job has given it up meanwhile.
                    let next = if again { QUEUED } else { DROPPED };
                    let _ = gate.state.compare_exchange(SENT, next, SeqCst, SeqCst);
                    gate.left.store(false, SeqCst);
                    request.ledger.record_unsent();
                }
                self.lost(key, &format!("it takes nothing: {e}"), context);
                if again {
                    self.waiting.push_back(number);
                    self.assign_waiting(context);
                } else {
                    self.lose(number);
                }
            }
        }
    }

    fn write(&mut self, key: u64, bytes: &[u8], context: &PoolContext) {
        let Some(connection) = self.connections.get(&key) else { return };
        if let Err(e) = (&*connection.stream).write_all(bytes) {
            self.lost(key, &format!("it takes no more: {e}"), context);
        }
    }

    fn dial(&mut self, context: &PoolContext) {
        let most = context.terms.connections.saturating_sub(self.connections.len());
        while self.dialing < self.waiting.len().min(most) && self.dial_once(context) {}
        if self.dialing == 0 {
            self.share(context);
        }
    }

    /// Starts to make one more connection; says whether it could.
    fn dial_once(&mut self, context: &PoolContext) -> bool {
        let Some(lease) = context.sockets.acquire(1) else { return false };
        let (key, address, dial, orders) =
            (self.key, self.address, context.terms.dial, context.orders.clone());
        let dialed = (context.spawn_thread)(
            &format!("dial {}", self.name),
            STACK_BYTES,
            Box::new(move || {
                let stream = TcpStream::connect_timeout(&address, dial);
                let dialed = stream.map(|stream| (stream, lease)).map_err(|e| e.to_string());
                let _ = orders.send((key, PoolCommand::Dialed(dialed)));
            }),
        );
        match dialed {
            Ok(()) => self.dialing += 1,
            Err(e) => {
                self.log_connection_fault("no thread to connect with", 0, &e);
                return false;
            }
        }
        true
    }

    /// Where no connection can be made, those that are there are shared.
    fn share(&mut self, context: &PoolContext) {
        while let Some(&number) = self.waiting.front() {
            let entry = self.outs.get(&number);
            let Some(key) = entry.and_then(|entry| self.connection_for(&entry.id, true, context)) else {
                return;
            };
            self.waiting.pop_front();
            self.assign(number, key, context);
        }
    }

    fn dialed(&mut self, dialed: Result<(TcpStream, Permit), String>, context: &PoolContext) {
        self.dialing -= 1;
        let taken = dialed.is_ok();
        for events in std::mem::take(&mut self.doubtful) {
            let _ = events.try_send(DispatchEvent::Lost {
                status: DispatchStatus::ConnectionLost,
                engine_reachable: taken,
            });
        }
        let connected = dialed.and_then(|(stream, lease)| {
            self.connect(stream, lease, context).map_err(|e| format!("it can't be read: {e}"))
        });
        if let Err(why) = connected {
            self.log_connection_fault("connecting failed", 0, &why);
            if self.dialing == 0 {
                self.share(context);
                std::mem::take(&mut self.waiting).into_iter().for_each(|number| self.lose(number));
            }
            return;
        }
        self.assign_waiting(context);
    }

    fn connect(&mut self, stream: TcpStream, lease: Permit, context: &PoolContext) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_nonblocking(true)?;
        let stream = Arc::new(stream);
        self.opened += 1;
        let (key, connection, orders) = (self.key, self.opened, context.orders.clone());
        let tell =
            Box::new(move |told| drop(orders.send((key, PoolCommand::Connection { connection, told }))));
        let half = ReadHalf::new(stream.clone(), context.terms.dial, tell);
        let midway = half.midway();
        context.readers.add(half)?;
        let connection = EngineConnection {
            stream,
            midway,
            ids: HashMap::new(),
            spent: HashSet::new(),
            since: Instant::now(),
            rested: None,
            used: false,
            heard: Instant::now(),
            opened: (context.now)(),
            _lease: lease,
        };
        self.connections.insert(self.opened, connection);
        Ok(())
    }

    fn heard(&mut self, connection: u64, id: &str, word: EngineMessage, at: Instant) {
        let Some(connection) = self.connections.get_mut(&connection) else { return };
        connection.heard = Instant::now();
        let Some(number) = connection.ids.get(id).copied() else {
            counters::UNEXPECTED_ENGINE_MESSAGES.increment();
            return;
        };
        let Some(entry) = self.outs.get_mut(&number) else { return };
        match &mut entry.what {
            What::Probe(told) => {
                let (verdict, report) = match word {
                    EngineMessage::Healthy(report) => (DispatchStatus::Completed, report),
                    EngineMessage::Unhealthy(report) | EngineMessage::Failed(report) => {
                        (DispatchStatus::Failed, report)
                    }
                    EngineMessage::Overloaded(report) => (DispatchStatus::Overloaded, report),
                    _ => return,
                };
                if let Some(told) = told.take() {
                    told(HealthCheckResult {
                        status: verdict,
                        load_report: report,
                        elapsed: TimeDelta(at.saturating_duration_since(entry.sent).as_micros() as i64),
                    });
                }
                self.leave(number, false);
            }
            What::Dispatch { events, .. } => {
                let ends = match &word {
                    EngineMessage::FirstPage { page_count, .. } => {
                        if std::mem::replace(&mut entry.headed, true) {
                            return counters::UNEXPECTED_ENGINE_MESSAGES.increment();
                        }
                        *page_count <= 1
                    }
                    EngineMessage::Progress(None) => return,
                    EngineMessage::Progress(_) | EngineMessage::FurtherPage { .. } => false,
                    _ => true,
                };
                let done = matches!(word, EngineMessage::FirstPage { .. });
                // A job that can't keep up with a flood of notes misses some; its own time-out ends it.
                if events.try_send(DispatchEvent::Message(word)).is_err() {
                    counters::UNEXPECTED_ENGINE_MESSAGES.increment();
                }
                if ends {
                    self.leave(number, !done);
                }
            }
        }
    }

    /// Takes it off its connection. An id that ended otherwise than well is not used there again.
    fn leave(&mut self, number: u64, spent: bool) -> Option<Entry> {
        let entry = self.outs.remove(&number)?;
        match entry.connection.and_then(|connection| self.connections.get_mut(&connection)) {
            Some(connection) => {
                connection.ids.remove(&entry.id);
                connection.since = Instant::now();
                if spent {
                    connection.spent.insert(entry.id.clone());
                }
            }
            None => self.waiting.retain(|waits| *waits != number),
        }
        Some(entry)
    }

    /// The job no longer wants it. On a connection that has said nothing for a while nobody may be reading, and
    /// only its end gives up for certain what is out there.
    fn give_up(&mut self, number: u64, context: &PoolContext) {
        let Some(Entry { connection: Some(key), what, headed, .. }) = self.outs.get(&number) else {
            return drop(self.leave(number, false));
        };
        let (key, headed) = (*key, *headed);
        let left = match what {
            What::Dispatch { .. } => true,
            What::Probe(_) => false,
        };
        let silent = |connection: &EngineConnection| {
            connection.ids.len() == 1 && connection.quiet_for() > context.terms.dial
        };
        if left && !headed && self.connections.get(&key).is_some_and(silent) {
            self.leave(number, true);
            return self.lost(key, "what was out there was given up", context);
        }
        if left {
            self.plain(number, if headed { wire::encode_end } else { wire::encode_stop }, context);
        }
        self.leave(number, left);
    }

    fn plain(&mut self, number: u64, line: impl Fn(&str) -> Vec<u8>, context: &PoolContext) {
        let Some(Entry { connection: Some(key), id, .. }) = self.outs.get(&number) else { return };
        let (key, bytes) = (*key, line(id));
        self.write(key, &bytes, context);
    }

    /// It ends with its connection, or without ever having had one.
    fn lose(&mut self, number: u64) {
        let Some(entry) = self.leave(number, true) else { return };
        match entry.what {
            What::Dispatch { events, gate, .. } => {
                if entry.connection.is_none() {
                    // What was kept back says nothing of its engine.
                    let kept = gate.state.load(SeqCst) == DROPPED;
                    let _ = events.try_send(DispatchEvent::Lost {
                        status: DispatchStatus::Unreachable,
                        engine_reachable: kept,
                    });
                } else {
                    self.doubtful.push(events);
                }
            }
            What::Probe(told) => {
                let verdict = if entry.connection.is_some() {
                    DispatchStatus::ConnectionLost
                } else {
                    DispatchStatus::Unreachable
                };
                told.into_iter().for_each(|told| told(HealthCheckResult::unanswered(verdict)));
            }
        }
    }

    fn lost(&mut self, connection: u64, why: &str, context: &PoolContext) {
        let Some(connection) = self.connections.remove(&connection) else { return };
        let _ = connection.stream.shutdown(Shutdown::Both);
        counters::ENGINE_CONNECTIONS_LOST.increment();
        if !connection.ids.is_empty() {
            // One that ends at the first events after a rest was stale: others that rest as long may be, too.
            let at_once = connection.heard <= connection.since && connection.since.elapsed() < AT_ONCE;
            if let Some(rested) = connection.rested.filter(|_| at_once) {
                self.fresh_for = self.fresh_for.min((rested / 2).max(FRESH));
                self.stale_at = Instant::now();
            }
            let open = connection.ids.len();
            self.log_connection_fault("connection lost", open, &why);
        }
        let mut numbers: Vec<u64> = connection.ids.into_values().collect();
        numbers.sort_unstable();
        numbers.into_iter().for_each(|number| self.lose(number));
        // A process that has died takes no new connection: that tells its end from a connection's.
        if !self.doubtful.is_empty() && self.dialing == 0 && !self.dial_once(context) {
            for events in std::mem::take(&mut self.doubtful) {
                let _ = events.try_send(DispatchEvent::Lost {
                    status: DispatchStatus::ConnectionLost,
                    engine_reachable: false,
                });
            }
        }
    }

    /// Logs at most one line in [`LOG_INTERVAL`] about this engine's connections, with a count of those left out.
    fn log_connection_fault(&mut self, fault: &str, in_flight: usize, reason: &dyn std::fmt::Display) {
        if self.told.is_some_and(|told| told.elapsed() < LOG_INTERVAL) {
            self.untold += 1;
            return;
        }
        let suppressed = std::mem::take(&mut self.untold);
        self.told = Some(Instant::now());
        tracing::info!(engine = %self.name, fault, in_flight, %reason, suppressed, "engine connection fault");
    }

    pub fn time_out(&mut self, now: Instant, context: &PoolContext) {
        let late = self.outs.iter().filter(|(_, entry)| entry.times_out() && entry.due <= now);
        for number in late.map(|(number, _)| *number).collect::<Vec<u64>>() {
            let Some(entry) = self.outs.get_mut(&number) else { continue };
            if entry.connection.is_none() && !std::mem::replace(&mut entry.shares, true) {
                // A connection of its own takes long: one that is there will do.
                entry.due = now + context.terms.dial;
                if let Some(key) =
                    self.outs.get(&number).and_then(|entry| self.connection_for(&entry.id, true, context))
                {
                    self.waiting.retain(|waits| *waits != number);
                    self.assign(number, key, context);
                }
                continue;
            }
            match &mut entry.what {
                What::Probe(told) if entry.connection.is_some() => {
                    told.take()
                        .into_iter()
                        .for_each(|told| told(HealthCheckResult::unanswered(DispatchStatus::TimedOut)));
                    self.leave(number, true);
                }
                _ => self.lose(number),
            }
        }
    }

    fn drop_idle(&mut self, context: &PoolContext) {
        let (fresh_for, idle) = (self.fresh_for.min(context.terms.idle), context.terms.idle);
        if self.stale_at.elapsed() > STALE {
            (self.fresh_for, self.stale_at) = ((fresh_for * 2).min(idle), Instant::now());
        }
        self.connections.retain(|_, connection| {
            let keep = !connection.ids.is_empty() || connection.is_fresh(fresh_for, idle);
            if !keep {
                let _ = connection.stream.shutdown(Shutdown::Both);
            }
            keep
        });
    }

    /// A connection on which notes are due and nothing comes, while its engine speaks on others, is of no use.
    /// Where all are silent it is the engine, which is the module's matter.
    fn drop_silent(&mut self, context: &PoolContext) {
        let Some(notes) = context.terms.notes else { return };
        let speaks = self.connections.values().any(|connection| connection.heard.elapsed() < notes);
        let silent = self.connections.iter().filter(|(_, connection)| {
            speaks && !connection.ids.is_empty() && connection.quiet_for() > notes.mul_f64(2.5)
        });
        for key in silent.map(|(key, _)| *key).collect::<Vec<u64>>() {
            self.lost(key, "it fell silent while the engine speaks on others", context);
        }
    }
}

impl Entry {
    /// Waiting for a connection has an end, and so has a probe; the time-out of a dispatch is the job's.
    fn times_out(&self) -> bool {
        self.connection.is_none() || matches!(self.what, What::Probe(_))
    }
}
