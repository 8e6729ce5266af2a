//! The event loop of the `engines` thread, which passes commands, endpoint updates and timeouts to the pools.

use crate::engine::command::{PoolCommand, RegistryMessage};
use crate::engine::endpoint_updates::{EndpointUpdate, EndpointUpdates};
use crate::engine::ids::PoolId;
use crate::engine::pool::{ConnectionPool, PoolContext};
use crate::engine::request::{DispatchEvent, HealthCheckResult};
use crate::telemetry::counters;
use crossbeam_channel::{Receiver, RecvTimeoutError};
use pebblevane::interface::DispatchStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interval at which idle and silent connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// The pools of all engines, and what the `engines` thread needs to run them.
pub(crate) struct RegistryLoop {
    pools: BTreeMap<PoolId, ConnectionPool>,
    deadlines: Deadlines,
    next_sweep: Instant,
    updates: Arc<EndpointUpdates>,
    inbox: Receiver<RegistryMessage>,
    context: PoolContext,
}

impl RegistryLoop {
    /// A loop without pools; endpoint updates add them.
    pub(crate) fn new(
        updates: Arc<EndpointUpdates>,
        inbox: Receiver<RegistryMessage>,
        context: PoolContext,
    ) -> RegistryLoop {
        RegistryLoop {
            pools: BTreeMap::new(),
            deadlines: Deadlines::default(),
            next_sweep: Instant::now(),
            updates,
            inbox,
            context,
        }
    }

    /// Runs to the program's end.
    pub(crate) fn run(mut self) {
        loop {
            let message = match self.next_wakeup() {
                Some(at) => self.inbox.recv_deadline(at),
                None => self.inbox.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            self.apply_updates();
            match message {
                Ok(RegistryMessage::Command { pool, command }) => self.handle_command(pool, command),
                Ok(RegistryMessage::Wakeup) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            self.handle_timeouts(now);
            self.sweep(now);
        }
    }

    /// The time of the next timeout or sweep. Without connections no sweep is scheduled, so that an idle program sleeps
    /// until a message arrives.
    fn next_wakeup(&self) -> Option<Instant> {
        let has_connections = self.pools.values().any(ConnectionPool::has_connections);
        let sweep = has_connections.then_some(self.next_sweep);
        self.deadlines.first().into_iter().chain(sweep).min()
    }

    fn apply_updates(&mut self) {
        if !self.updates.take_changed() {
            return;
        }
        for (pool, update) in self.updates.take() {
            self.apply_update(pool, update);
        }
    }

    fn apply_update(&mut self, id: PoolId, mut update: EndpointUpdate) {
        if let Some(added) = update.added.take() {
            self.pools.insert(id, ConnectionPool::new(id, added));
        }
        self.with_pool(id, |pool, context| pool.apply_update(&update, context));
    }

    fn handle_command(&mut self, id: PoolId, command: PoolCommand) {
        if self.pools.contains_key(&id) {
            self.with_pool(id, |pool, context| pool.handle_command(command, context));
        } else {
            refuse_command(command);
        }
    }

    fn handle_timeouts(&mut self, now: Instant) {
        while let Some(id) = self.deadlines.first_due(now) {
            self.with_pool(id, |pool, context| pool.handle_timeouts(now, context));
        }
    }

    fn sweep(&mut self, now: Instant) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        let connected = self.pools.iter().filter(|(_, pool)| pool.has_connections());
        for id in connected.map(|(id, _)| *id).collect::<Vec<PoolId>>() {
            self.with_pool(id, ConnectionPool::sweep);
        }
    }

    /// Runs an action on a pool, then updates the pool's next deadline, or removes the pool if it has finished.
    fn with_pool(&mut self, id: PoolId, action: impl FnOnce(&mut ConnectionPool, &PoolContext)) {
        let Some(pool) = self.pools.get_mut(&id) else { return };
        action(pool, &self.context);
        if pool.lacks_descriptor(&self.context) {
            self.reclaim_descriptor(id);
        }
        let Some(pool) = self.pools.get(&id) else { return };
        let (deadline, is_finished) = (pool.next_deadline(), pool.is_finished());
        self.deadlines.remove(id);
        if is_finished {
            if let Some(pool) = self.pools.remove(&id) {
                pool.close();
            }
        } else if let Some(deadline) = deadline {
            self.deadlines.insert(id, deadline);
        }
    }

    /// Of the connections to other engines, closes the one that has been idle longest, so that this pool can use its
    /// descriptor.
    fn reclaim_descriptor(&mut self, id: PoolId) {
        let others = self.pools.iter().filter(|(other, _)| **other != id);
        let idle = others.filter_map(|(other, pool)| Some((pool.longest_idle_since()?, *other)));
        let Some((_, other)) = idle.min() else { return };
        if let Some(other) = self.pools.get_mut(&other) {
            other.close_longest_idle();
        }
        counters::CONNECTIONS_EVICTED.increment();
        if let Some(pool) = self.pools.get_mut(&id) {
            pool.assign_waiting(&self.context);
        }
    }
}

/// Reports that a command can't be executed because its engine has been removed.
fn refuse_command(command: PoolCommand) {
    match command {
        PoolCommand::Send { events, .. } => {
            let lost = DispatchEvent::Lost { status: DispatchStatus::Unreachable, engine_reachable: false };
            // This fails if the job has already finished.
            let _ = events.try_send(lost);
        }
        PoolCommand::CheckHealth { callback, .. } => {
            callback(HealthCheckResult::unanswered(DispatchStatus::Unreachable));
        }
        _ => {}
    }
}

/// The next deadline of each pool that has one.
#[derive(Default)]
struct Deadlines {
    by_time: BTreeSet<(Instant, PoolId)>,
    by_pool: BTreeMap<PoolId, Instant>,
}

impl Deadlines {
    /// The earliest deadline of all.
    fn first(&self) -> Option<Instant> {
        self.by_time.first().map(|(deadline, _)| *deadline)
    }

    /// The pool with the earliest deadline, if that has passed.
    fn first_due(&self, now: Instant) -> Option<PoolId> {
        self.by_time.first().filter(|(deadline, _)| *deadline <= now).map(|(_, pool)| *pool)
    }

    fn insert(&mut self, pool: PoolId, deadline: Instant) {
        self.by_pool.insert(pool, deadline);
        self.by_time.insert((deadline, pool));
    }

    fn remove(&mut self, pool: PoolId) {
        if let Some(deadline) = self.by_pool.remove(&pool) {
            self.by_time.remove(&(deadline, pool));
        }
    }
}
