//! Handles on engines: sending to one, giving up, and what a job hears of its dispatch. An engine's owner does the
//! rest (`owner.rs`).

use crate::codec::engine::EngineMessage;
use crate::engine::dispatch_ledger::DispatchLedger;
use crate::engine::pool::EnginePool;
use crate::engine::registry::EngineRegistry;
use crate::engine::socket_poller::ConnectionEvent;
use crate::limits::Permit;
use crate::session::cancellation::ClientLiveness;
use crossbeam_channel::{Receiver, Sender, bounded};
use pebblevane::interface::*;
use pebblevane::time::*;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering::SeqCst};

// A channel takes memory for all that it may hold once it has gone round, so that bounds are no larger than bursts.
const WORDS: usize = 32; // words of an engine that wait for one job

/// Whether a dispatch has left this program: the last check before its first byte goes out.
#[derive(Default)]
pub struct SendGate {
    pub state: AtomicU8,
    /// A byte of it may have left.
    pub left: AtomicBool,
}

pub const QUEUED: u8 = 0;
pub const SENT: u8 = 1;
pub const DROPPED: u8 = 2;

impl SendGate {
    /// Says whether it was the one to change it.
    pub fn pass(&self, to: u8) -> bool {
        self.state.compare_exchange(QUEUED, to, SeqCst, SeqCst).is_ok()
    }
}

/// What a job hears of its dispatch.
#[derive(Debug)]
pub enum DispatchEvent {
    Message(EngineMessage),
    /// The dispatch ended with its connection, or was never sent.
    Lost {
        /// `ConnectionLost` or `Unreachable`.
        status: DispatchStatus,
        /// The engine is not at fault: it has accepted a new connection since, or the dispatch was withheld here.
        engine_reachable: bool,
    },
}

/// A dispatch as the engine is to read it.
pub struct EngineRequest {
    pub id: Box<str>,
    pub class: Arc<str>,
    /// When the dispatch times out.
    pub deadline: Timestamp,
    /// Its first byte leaves before this or never.
    pub begin_by: Timestamp,
    pub liveness: Arc<dyn ClientLiveness>,
    pub ledger: Arc<DispatchLedger>,
    pub priority: Option<u8>,
    pub statement: Arc<[u8]>,
}

/// How a health check ended.
#[derive(Clone, Copy, Debug)]
pub struct HealthCheckResult {
    /// `Completed` if the engine is healthy.
    pub status: DispatchStatus,
    /// The engine's load, if it reported one.
    pub load_report: Option<LoadReport>,
    /// Time from the first byte written to the last one read; zero without an answer.
    pub elapsed: TimeDelta,
}

impl HealthCheckResult {
    /// The result of a check that got no answer.
    pub fn unanswered(status: DispatchStatus) -> HealthCheckResult {
        HealthCheckResult { status, load_report: None, elapsed: TimeDelta::default() }
    }
}

/// Is called once with the result of a health check.
pub type HealthCheckCallback = Box<dyn FnOnce(HealthCheckResult) + Send>;

/// What an engine's owner is to do.
pub enum PoolCommand {
    Send {
        number: u64,
        request: EngineRequest,
        gate: Arc<SendGate>,
        events: Sender<DispatchEvent>,
    },
    Probe {
        number: u64,
        told: HealthCheckCallback,
    },
    Fetch {
        number: u64,
        page: u32,
    },
    /// `done` is dropped when nothing of it is out any more.
    GiveUp {
        number: u64,
        done: Option<Sender<()>>,
    },
    Dialed(Result<(TcpStream, Permit), String>),
    Connection {
        connection: u64,
        told: ConnectionEvent,
    },
    /// The list has told something, of whichever engine.
    Wakeup,
}

/// What the list has told of an engine since its owner last looked.
#[derive(Default)]
pub struct EndpointUpdate {
    pub new: Option<Box<EnginePool>>,
    /// The engine has started anew: connections from before are dead.
    pub restarted: Option<Timestamp>,
    /// Dispatches may not leave any more.
    pub closed: bool,
    pub gone: bool,
}

/// The handle on an engine's owner.
pub struct EngineHandle {
    owners: Arc<EngineRegistry>,
    key: u64,
    open: Arc<AtomicBool>,
    numbers: AtomicU64,
}

/// A job's handle on its dispatch. Dropping it gives the dispatch up, or ends what the engine holds of it.
pub struct DispatchHandle {
    number: u64,
    engine: Arc<EngineHandle>,
    gate: Arc<SendGate>,
    pub events: Receiver<DispatchEvent>,
}

impl EngineHandle {
    pub fn new(owners: &Arc<EngineRegistry>, name: &str, address: SocketAddr) -> Arc<EngineHandle> {
        let (key, open) = (owners.next_key(), Arc::new(AtomicBool::new(true)));
        let owner = Box::new(EnginePool::new(key, name, address, open.clone()));
        owners.tell(key, |news| news.new = Some(owner));
        Arc::new(EngineHandle { owners: owners.clone(), key, open, numbers: AtomicU64::new(0) })
    }

    /// Whether dispatches may leave; one that still waits then never does, and its job is told at once.
    pub fn set_accepts_dispatches(&self, accepts: bool) {
        if self.open.swap(accepts, SeqCst) && !accepts {
            self.owners.tell(self.key, |news| news.closed = true);
        }
    }

    pub fn send(self: &Arc<Self>, request: EngineRequest) -> DispatchHandle {
        let (event_sender, events) = bounded(WORDS);
        let (number, gate) = (self.numbers.fetch_add(1, SeqCst), Arc::new(SendGate::default()));
        let order = PoolCommand::Send { number, request, gate: gate.clone(), events: event_sender };
        self.owners.order(self.key, order);
        DispatchHandle { number, engine: self.clone(), gate, events }
    }

    /// Sends a probe; `told` is handed its result. Says whether the engine's owner could take it.
    pub fn check_health(&self, told: HealthCheckCallback) -> bool {
        let number = self.numbers.fetch_add(1, SeqCst);
        self.owners.try_order(self.key, PoolCommand::Probe { number, told })
    }

    pub fn engine_restarted(&self, at: Timestamp) {
        self.owners.tell(self.key, |news| news.restarted = Some(at));
    }

    pub fn engine_removed(&self) {
        self.open.store(false, SeqCst);
        self.owners.tell(self.key, |news| (news.closed, news.gone) = (true, true));
    }
}

impl DispatchHandle {
    pub fn fetch_page(&self, page: u32) {
        self.engine.owners.order(self.engine.key, PoolCommand::Fetch { number: self.number, page });
    }
    /// Keeps it from leaving if it has not yet; says whether that came in time.
    pub fn forbid_sending(&self) -> bool {
        // Whatever happens, it does not leave from now on.
        self.gate.state.swap(DROPPED, SeqCst) != SENT
    }
    /// Whether a byte of it may have left.
    pub fn may_have_been_sent(&self) -> bool {
        self.gate.left.load(SeqCst)
    }
    /// Keeps it from leaving if it has not yet, and changes nothing if it has; says which.
    pub fn withhold_if_queued(&self) -> bool {
        self.gate.pass(DROPPED)
    }
}

impl DispatchHandle {
    /// Gives it up. What is returned ends once that is written: the job's next dispatch must not overtake it.
    pub fn cancel(&self) -> Receiver<()> {
        let (done, given_up) = bounded(0);
        self.engine
            .owners
            .order(self.engine.key, PoolCommand::GiveUp { number: self.number, done: Some(done) });
        given_up
    }
}

impl Drop for DispatchHandle {
    fn drop(&mut self) {
        let _ = self.forbid_sending();
        self.engine.owners.order(self.engine.key, PoolCommand::GiveUp { number: self.number, done: None });
    }
}
