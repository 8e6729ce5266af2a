//! The pool: all known engines, those that run, and each table group's hashed order of them.

use crate::engine::{Engine, THREADS_PER_CORE};
use crate::estimators::mix64;
use crate::interface::{Endpoint, EngineId, LifecycleState};
use crate::settings::ControllerSettings;
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// All known engines.
#[derive(Default)]
pub struct EnginePool {
    /// The engines.
    pub engines: BTreeMap<EngineId, Engine>,
    /// The running engines.
    pub running: Vec<EngineId>,
    /// Running engines that started not long ago and that gateways take turns at.
    pub warming_up: Vec<EngineId>,
    /// Cores of the running engines.
    pub running_cores: f64,
    engine_orders: BTreeMap<u64, Rc<[EngineId]>>,
}

/// An equal share of an engine is less than a job and means nothing.
///
/// Only what all gateways know alike counts, since they take turns at warming engines by it.
pub fn equal_share_is_below_one_thread(engine: &Engine, gateway_count: f64) -> bool {
    THREADS_PER_CORE * engine.cores < gateway_count
}

impl EnginePool {
    /// Takes over what the endpoint list says of one engine; returns whether the engine is new or has restarted.
    pub fn update_endpoint(
        &mut self,
        settings: &ControllerSettings,
        endpoint: Endpoint,
        now: Timestamp,
    ) -> bool {
        let known = self.engines.get_mut(&endpoint.engine);
        let restarted = |engine: &Engine| {
            endpoint.started_at.is_some() && engine.endpoint.started_at != endpoint.started_at
        };
        if let Some(engine) = known.filter(|engine| !restarted(engine)) {
            engine.endpoint = endpoint;
            return false;
        }
        let id = endpoint.engine;
        let previous = self.engines.remove(&id).unwrap_or_default();
        let mut engine = Engine::new(settings, endpoint, previous, now);
        let reports_can_be_had = settings.permissions.health_checks && settings.reports.include_total_load;
        engine.limit.covers_all_gateways =
            reports_can_be_had && equal_share_is_below_one_thread(&engine, settings.gateway_count);
        engine.limit.equal_share =
            if engine.limit.covers_all_gateways { 1.0 } else { 1.0 / settings.gateway_count };
        engine.limit.limit = engine.limit.equal_share;
        self.engines.insert(id, engine);
        true
    }

    /// Marks all engines as gone that a complete list does not name.
    pub fn mark_missing(&mut self, listed: &BTreeSet<EngineId>) {
        let missing = self.engines.iter_mut().filter(|(id, _)| !listed.contains(id));
        missing.for_each(|(_, engine)| engine.endpoint.lifecycle = LifecycleState::Gone);
    }

    /// Rebuilds what follows from the list.
    pub fn rebuild(&mut self, gateway_count: f64) {
        let engines = &self.engines;
        let runs = |id: &EngineId| engines[id].endpoint.lifecycle == LifecycleState::Running;
        self.running = engines.keys().copied().filter(runs).collect();
        self.running_cores = self.running.iter().map(|id| engines[id].cores).sum();
        let warming_up = |id: &EngineId| {
            equal_share_is_below_one_thread(&engines[id], gateway_count)
                && engines[id].endpoint.started_at.is_some()
        };
        self.warming_up = self.running.iter().copied().filter(warming_up).collect();
        self.engine_orders.clear();
    }

    /// The running engines.
    pub fn running_engines(&self) -> impl Iterator<Item = &Engine> {
        self.running.iter().map(|id| &self.engines[id])
    }

    /// Memory (MB) of the largest running engine.
    pub fn largest_memory_mb(&self) -> f64 {
        self.running_engines().map(|engine| engine.memory_mb).fold(0.0, f64::max)
    }

    /// Threads that this gateway has in flight in all.
    pub fn threads_in_flight(&self) -> f64 {
        self.engines.values().map(|engine| engine.in_flight.threads).sum()
    }

    /// Whether the gateways are too many for each to have its own limit of an engine: limits cover all of them.
    pub fn fleet_is_large(&self) -> bool {
        self.running.first().is_some_and(|id| self.engines[id].limit.covers_all_gateways)
    }

    /// The order in which a table group's jobs walk the running engines; the same at every gateway.
    pub fn engine_order(&mut self, table_group: u64) -> Rc<[EngineId]> {
        let (running, engines) = (&self.running, &self.engines);
        let sorted = || {
            let mut order = running.clone();
            order.sort_by_cached_key(|id| (mix64(engines[id].name_hash ^ mix64(table_group)), *id));
            order.into()
        };
        self.engine_orders.entry(table_group).or_insert_with(sorted).clone()
    }

    /// Drops the engines that are gone, were not heard of within the retention period and that no open job
    /// concerns; returns them.
    pub fn evict_unused(
        &mut self,
        now: Timestamp,
        retention: TimeDelta,
        used: &BTreeSet<EngineId>,
    ) -> Vec<EngineId> {
        let mut evicted = Vec::new();
        self.engines.retain(|id, engine| {
            engine.locked_tables_until.retain(|_, until| *until > now);
            let keep = engine.endpoint.lifecycle != LifecycleState::Gone
                || now - engine.last_response_at < retention
                || used.contains(id);
            evicted.extend((!keep).then_some(*id));
            keep
        });
        self.warming_up.retain(|id| self.engines.contains_key(id));
        evicted
    }

    /// Drops the orders of the table groups that are not wanted any more.
    pub fn retain_engine_orders(&mut self, wanted: impl Fn(u64) -> bool) {
        self.engine_orders.retain(|table_group, _| wanted(*table_group));
    }

    /// Number of entries that may grow with use.
    pub fn retained_entries(&self) -> usize {
        self.engines.len() + self.engine_orders.len()
    }
}
