//! The one thread of all engines' owners. A thread an engine costs little in one program, but a fleet of
//! hundreds of gateways and engines on one machine runs out of thread numbers.

use crate::config::connection_settings::ConnectionSettings;
use crate::engine::handle::{DispatchEvent, EndpointUpdate, HealthCheckResult, PoolCommand};
use crate::engine::pool::{EnginePool, PoolContext};
use crate::engine::socket_poller::SocketPoller;
use crate::lifecycle::threads::SpawnThread;
use crate::limits::ResourceBudget;
use crate::telemetry::counters;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, TrySendError, bounded};
use pebblevane::interface::*;
use pebblevane::time::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

// A channel takes memory for all that it may hold once it has gone round, so that it is no larger than bursts.
const ORDERS: usize = 2048; // orders that wait for the owners
const SWEEP: Duration = Duration::from_millis(250); // pace of looking for idle and silent connections

/// The way to the owners' thread.
pub struct EngineRegistry {
    orders: Sender<(u64, PoolCommand)>,
    /// What the list has told and owners have not taken up: one entry an engine, never lost, and never waited
    /// for. Whoever tells may be one for whom an owner waits.
    news: Mutex<BTreeMap<u64, EndpointUpdate>>,
    fresh: AtomicBool,
    keys: AtomicU64,
}

impl EngineRegistry {
    pub fn start(
        terms: ConnectionSettings,
        sockets: Arc<ResourceBudget>,
        now: fn() -> Timestamp,
        spawn_thread: SpawnThread,
    ) -> std::io::Result<Arc<EngineRegistry>> {
        let (orders, inbox) = bounded(ORDERS);
        let owners = Arc::new(EngineRegistry {
            orders: orders.clone(),
            news: Mutex::default(),
            fresh: AtomicBool::new(false),
            keys: AtomicU64::new(0),
        });
        let context =
            PoolContext { terms, sockets, readers: SocketPoller::start()?, now, orders, spawn_thread };
        let all =
            RegistryLoop { owners: BTreeMap::new(), dues: BTreeSet::new(), due: BTreeMap::new(), context };
        let told = owners.clone();
        crate::lifecycle::threads::spawn_required(
            "engines",
            crate::lifecycle::threads::STACK_BYTES,
            move || all.run(&told, &inbox),
        )?;
        Ok(owners)
    }

    pub fn next_key(&self) -> u64 {
        self.keys.fetch_add(1, SeqCst)
    }

    /// Hands an order over; waits while too many do.
    pub fn order(&self, engine: u64, order: PoolCommand) {
        // The owners' thread ends only with the program.
        let _ = self.orders.send((engine, order));
    }

    /// Hands an order over; says whether it could, which is not so where too many wait.
    pub fn try_order(&self, engine: u64, order: PoolCommand) -> bool {
        self.orders.try_send((engine, order)).is_ok()
    }

    /// Tells an owner what the list says. It has that before any order that is handed over later.
    pub fn tell(&self, engine: u64, what: impl FnOnce(&mut EndpointUpdate)) {
        what(self.news().entry(engine).or_default());
        self.fresh.store(true, SeqCst);
        // Where too many orders wait, the thread is awake and looks before the next of them.
        match self.orders.try_send((u64::MAX, PoolCommand::Wakeup)) {
            Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }

    fn news(&self) -> MutexGuard<'_, BTreeMap<u64, EndpointUpdate>> {
        // A panic ends the program, so that nobody sees what a panic left behind.
        self.news.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// All owners, and when something is due at each.
struct RegistryLoop {
    owners: BTreeMap<u64, EnginePool>,
    dues: BTreeSet<(Instant, u64)>,
    due: BTreeMap<u64, Instant>,
    context: PoolContext,
}

impl RegistryLoop {
    fn run(mut self, told: &EngineRegistry, inbox: &Receiver<(u64, PoolCommand)>) {
        let mut sweep = Instant::now();
        loop {
            // Without connections there is nothing to look at, and a program that has nothing to do sleeps.
            let connected = self.owners.values().any(EnginePool::connected);
            let due = [self.dues.first().map(|(due, _)| *due), connected.then_some(sweep)];
            let order = match due.into_iter().flatten().min() {
                Some(due) => inbox.recv_deadline(due),
                None => inbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            if told.fresh.swap(false, SeqCst) {
                for (key, news) in std::mem::take(&mut *told.news()) {
                    self.hear(key, news);
                }
            }
            match order {
                Ok((_, PoolCommand::Wakeup)) | Err(RecvTimeoutError::Timeout) => {}
                Ok((key, order)) => self.carry_out(key, order),
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            while let Some((_, key)) = self.dues.first().copied().filter(|(due, _)| *due <= now) {
                self.with(key, |owner, context| owner.time_out(now, context));
            }
            if now >= sweep {
                sweep = now + SWEEP;
                let connected = self.owners.iter().filter(|(_, owner)| owner.connected());
                for key in connected.map(|(key, _)| *key).collect::<Vec<u64>>() {
                    self.with(key, |owner, context| owner.sweep(context));
                }
            }
        }
    }

    fn hear(&mut self, key: u64, mut news: EndpointUpdate) {
        if let Some(owner) = news.new.take() {
            self.owners.insert(key, *owner);
        }
        self.with(key, |owner, context| owner.hears(news, context));
    }

    fn carry_out(&mut self, key: u64, order: PoolCommand) {
        if self.owners.contains_key(&key) {
            return self.with(key, |owner, context| owner.carry_out(order, context));
        }
        // The engine has gone: what is ordered now never leaves.
        match order {
            PoolCommand::Send { events, .. } => drop(events.try_send(DispatchEvent::Lost {
                status: DispatchStatus::Unreachable,
                engine_reachable: false,
            })),
            PoolCommand::Probe { told, .. } => {
                told(HealthCheckResult::unanswered(DispatchStatus::Unreachable))
            }
            _ => {}
        }
    }

    /// Where descriptors are used up by connections that rest at other engines, the one that has rested longest
    /// makes room.
    fn make_room(&mut self, key: u64) {
        let others = self.owners.iter().filter(|(other, _)| **other != key);
        let resting = others.filter_map(|(other, owner)| Some((owner.rests_since()?, *other)));
        let Some((_, other)) = resting.min() else { return };
        self.owners.entry(other).and_modify(EnginePool::make_room);
        counters::CONNECTIONS_EVICTED.increment();
        let context = &self.context;
        self.owners.entry(key).and_modify(|owner| owner.assign_waiting(context));
    }

    /// Lets an owner do something, then notes when it is due next, or lets it go when it is over.
    fn with(&mut self, key: u64, what: impl FnOnce(&mut EnginePool, &PoolContext)) {
        let Some(owner) = self.owners.get_mut(&key) else { return };
        what(owner, &self.context);
        if owner.lacks_room(&self.context) {
            self.make_room(key);
        }
        let Some(owner) = self.owners.get_mut(&key) else { return };
        let (due, over) = (owner.due(), owner.over());
        if let Some(old) = self.due.remove(&key) {
            self.dues.remove(&(old, key));
        }
        if over {
            self.owners.remove(&key).into_iter().for_each(EnginePool::close);
        } else if let Some(due) = due {
            self.due.insert(key, due);
            self.dues.insert((due, key));
        }
    }
}
