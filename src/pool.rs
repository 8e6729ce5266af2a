//! The pool: all known engines, the running ones, and the order in which each table group's jobs walk them.

use crate::engine::{Engine, Replacement, THREADS_PER_CORE};
use crate::estimators::mix64;
use crate::interface::{Endpoint, EngineId, LifecycleState};
use crate::settings::ControllerSettings;
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Maximum number of engines in the cached orders of all table groups together. Clients choose the groups, so there may
/// be any number of them.
const MAX_CACHED_ORDER_ENTRIES: usize = 1024 * 1024;

/// How much the start time of an engine in the endpoint list may differ from when it took over its address, on this
/// gateway's clock.
const MAX_START_TIME_ERROR: TimeDelta = TimeDelta::from_millis(100);

/// The known engines of the pool.
#[derive(Default)]
pub struct EnginePool {
    /// All known engines, including draining ones and those that are gone but not yet evicted.
    pub engines: BTreeMap<EngineId, Engine>,
    /// The engines that accept dispatches, by number.
    pub running: Vec<EngineId>,
    /// Running engines with a recent start that are so small that slow start divides their budget into slots. They may
    /// have warmed up since.
    pub warming_up: Vec<EngineId>,
    /// Total number of cores of the running engines.
    pub running_cores: f64,
    /// The cached order of each table group.
    engine_orders: BTreeMap<u64, Rc<[EngineId]>>,
}

/// Whether a gateway's equal share of an engine's threads is less than one, so that no job fits into it.
///
/// Depends only on values that are the same at every gateway, since it decides whether the gateways use slow-start
/// slots at a warming engine.
pub fn equal_share_is_below_one_thread(engine: &Engine, gateway_count: f64) -> bool {
    THREADS_PER_CORE * engine.cores < gateway_count
}

impl EnginePool {
    /// Applies one entry of the endpoint list; returns whether the engine is new or has restarted.
    pub fn update_endpoint(
        &mut self,
        settings: &ControllerSettings,
        endpoint: Endpoint,
        now: Timestamp,
    ) -> bool {
        self.record_replacement(&endpoint);
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
        let has_load_reports = settings.permissions.health_checks && settings.reports.include_total_load;
        engine.limit.covers_all_gateways =
            has_load_reports && equal_share_is_below_one_thread(&engine, settings.gateway_count);
        engine.limit.equal_share =
            if engine.limit.covers_all_gateways { 1.0 } else { 1.0 / settings.gateway_count };
        engine.limit.max_utilization = engine.limit.equal_share;
        self.engines.insert(id, engine);
        true
    }

    fn record_replacement(&mut self, endpoint: &Endpoint) {
        let previous = endpoint.replaces.and_then(|previous| self.engines.get_mut(&previous));
        if let Some(previous) = previous {
            let started_at = endpoint.started_at;
            previous.replaced_by = Some(Replacement { engine: endpoint.engine, started_at });
        }
    }

    /// The engines that may have received a dispatch that was sent to this engine at this time: the engine itself, or
    /// one to which its address had passed by then, or both if that can't be known.
    pub fn possible_receivers(&self, engine: EngineId, sent_at: Timestamp) -> Vec<EngineId> {
        let mut receivers = vec![engine];
        let mut last = engine;
        while let Some(next) = self.engines.get(&last).and_then(|engine| engine.replaced_by) {
            let sent_before = next.started_at.is_some_and(|start| sent_at + MAX_START_TIME_ERROR < start);
            if sent_before || receivers.contains(&next.engine) {
                break;
            }
            let sent_after = next.started_at.is_some_and(|start| sent_at > start + MAX_START_TIME_ERROR);
            if sent_after {
                receivers.clear();
            }
            receivers.push(next.engine);
            last = next.engine;
        }
        receivers
    }

    /// Marks the engines as gone that a complete endpoint list does not contain.
    pub fn mark_missing(&mut self, listed: &BTreeSet<EngineId>) {
        let missing = self.engines.iter_mut().filter(|(id, _)| !listed.contains(id));
        missing.for_each(|(_, engine)| engine.endpoint.lifecycle = LifecycleState::Gone);
    }

    /// Recomputes all that depends on the endpoint list, after it has changed.
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

    /// The running engines, in the order of their numbers.
    pub fn running_engines(&self) -> impl Iterator<Item = &Engine> {
        self.running.iter().map(|id| &self.engines[id])
    }

    /// Memory (MB) of the largest running engine.
    pub fn largest_memory_mb(&self) -> f64 {
        self.running_engines().map(|engine| engine.memory_mb).fold(0.0, f64::max)
    }

    /// Total number of threads that this gateway has in flight.
    pub fn threads_in_flight(&self) -> f64 {
        self.engines.values().map(|engine| engine.in_flight.threads).sum()
    }

    /// Whether the fleet of gateways is so large that an engine's limit covers all of them, as an equal share for each
    /// would be less than one thread. The first running engine stands for all engines. Always false without load
    /// reports that include the total load, as limits then cover only this gateway.
    pub fn gateway_fleet_is_large(&self) -> bool {
        self.running.first().is_some_and(|id| self.engines[id].limit.covers_all_gateways)
    }

    /// The order in which a table group's jobs walk the running engines: by a hash of engine and group, and so the same
    /// at every gateway.
    pub fn engine_order(&mut self, table_group: u64) -> Rc<[EngineId]> {
        let is_cached = self.engine_orders.contains_key(&table_group);
        if !is_cached && (self.engine_orders.len() + 1) * self.running.len() > MAX_CACHED_ORDER_ENTRIES {
            self.engine_orders.clear();
        }
        let (running, engines) = (&self.running, &self.engines);
        let sorted = || {
            let mut order = running.clone();
            order.sort_by_cached_key(|id| (mix64(engines[id].name_hash ^ mix64(table_group)), *id));
            order.into()
        };
        self.engine_orders.entry(table_group).or_insert_with(sorted).clone()
    }

    /// Removes and returns the engines that are gone, have sent nothing within the retention period and are not in
    /// `used`. Removes expired table locks too.
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

    /// Removes the stored orders of all table groups but those for which `keep` returns true.
    pub fn retain_engine_orders(&mut self, keep: impl Fn(u64) -> bool) {
        self.engine_orders.retain(|table_group, _| keep(*table_group));
    }

    /// Number of entries in the collections that can grow with use.
    pub fn retained_entries(&self) -> usize {
        self.engines.len() + self.engine_orders.len()
    }
}
