//! The engines of the endpoint list: their numbers, their handles, and their starts on the program's clock.

use crate::codec::event_bus::{EndpointEntry, Event, UnixTime};
use crate::config::LocationNames;
use crate::discovery::start_clock::StartClock;
use crate::engine::handle::EngineHandle;
use crate::engine::registry::EngineRegistry;
use pebblevane::interface::{Endpoint, EngineId, LifecycleState};
use pebblevane::time::Timestamp;
use pebblevane_adapter_common::EngineIds;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The engines as the endpoint list last named them.
pub(super) struct EndpointDirectory {
    ids: EngineIds,
    engines: BTreeMap<EngineId, KnownEngine>,
    location_names: LocationNames,
    registry: Arc<EngineRegistry>,
    start_clock: StartClock,
}

struct KnownEngine {
    handle: Arc<EngineHandle>,
    address: SocketAddr,
    start: Option<EngineStart>,
    lifecycle: LifecycleState,
}

/// When an engine started.
#[derive(Clone, Copy)]
struct EngineStart {
    /// As the endpoint list stamps it.
    stamp: UnixTime,
    /// On the program's own clock.
    at: Timestamp,
}

/// One list of the engines that are left after all these events. It takes the place of all that was known.
pub(super) fn merge_initial_events(events: Vec<Event>) -> Event {
    let mut entries = BTreeMap::new();
    for event in events {
        if event.complete {
            entries.clear();
        }
        entries.extend(event.engines.into_iter().map(|entry| (entry.name.clone(), entry)));
    }
    let engines = entries.into_values().collect();
    Event { offset: 0, complete: true, engines, malformed: Vec::new() }
}

impl EndpointDirectory {
    /// A directory without engines.
    pub(super) fn new(location_names: LocationNames, registry: Arc<EngineRegistry>) -> EndpointDirectory {
        EndpointDirectory {
            ids: EngineIds::default(),
            engines: BTreeMap::new(),
            location_names,
            registry,
            start_clock: StartClock::default(),
        }
    }

    /// Notes where the wall clock is, so that its steps are known when an engine's start is told.
    pub(super) fn observe_wall_clock(&mut self, now: Timestamp) {
        self.start_clock.observe(now, StartClock::wall());
    }

    /// The handle on an engine, unless it has left the list.
    pub(super) fn engine(&self, id: EngineId) -> Option<&Arc<EngineHandle>> {
        self.engines.get(&id).map(|known| &known.handle)
    }

    /// Gives up an engine's number, which is never given again: an engine of the same name is another one.
    pub(super) fn forget_id(&mut self, id: EngineId) {
        self.ids.remove(id);
    }

    /// Takes over a change of the endpoint list; returns it as the controller takes it. `last_complete` is when the
    /// list was last known to be complete before the change.
    #[must_use]
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        event: Event,
        last_complete: Option<Timestamp>,
    ) -> Vec<Endpoint> {
        self.observe_wall_clock(now);
        let mut endpoints = Vec::with_capacity(event.engines.len());
        for entry in event.engines {
            endpoints.extend(self.apply_entry(now, entry, last_complete));
        }
        if event.complete {
            self.remove_all_but(&endpoints);
        }
        let engines = self.engines.values();
        let running = engines.filter(|known| known.lifecycle == LifecycleState::Running).count();
        tracing::info!(event = event.offset, entries = endpoints.len(), running, "endpoint list changed");
        endpoints
    }

    /// Takes over one entry; none if its address can't be read.
    fn apply_entry(
        &mut self,
        now: Timestamp,
        entry: EndpointEntry,
        last_complete: Option<Timestamp>,
    ) -> Option<Endpoint> {
        let Ok(address) = entry.address.parse::<SocketAddr>() else {
            tracing::warn!(engine = %entry.name, address = %entry.address, "endpoint with a malformed address ignored");
            return None;
        };
        let id = self.ids.assign(&entry.name);
        let start = entry.started.map(|stamp| self.start_of(id, stamp, now, last_complete));
        self.update_engine(id, address, entry.lifecycle, start);
        Some(Endpoint {
            engine: id,
            machine: self.location_names.machine_type_index(&entry.machine_type).unwrap_or(usize::MAX),
            location: self.location_names.zone_index(&entry.zone).unwrap_or(usize::MAX),
            cell: entry.cell,
            lifecycle: entry.lifecycle,
            started_at: start.map(|start| start.at),
            capacity_hint: entry.weight,
            name: entry.name,
        })
    }

    /// A start that was told before stays where it was on the program's clock.
    fn start_of(
        &self,
        id: EngineId,
        stamp: UnixTime,
        now: Timestamp,
        last_complete: Option<Timestamp>,
    ) -> EngineStart {
        let known = self.engines.get(&id).and_then(|known| known.start);
        known
            .filter(|start| start.stamp == stamp)
            .unwrap_or_else(|| EngineStart { stamp, at: self.start_clock.started(stamp, now, last_complete) })
    }

    /// Keeps the handle on an engine in step with the list.
    fn update_engine(
        &mut self,
        id: EngineId,
        address: SocketAddr,
        lifecycle: LifecycleState,
        start: Option<EngineStart>,
    ) {
        let known = self.engines.get_mut(&id);
        let same_engine =
            known.filter(|known| known.address == address && known.lifecycle != LifecycleState::Gone);
        match same_engine {
            Some(known) => known.update(lifecycle, start),
            None => self.add_engine(id, address, lifecycle, start),
        }
        self.engines[&id].handle.set_accepts_dispatches(lifecycle == LifecycleState::Running);
        if lifecycle == LifecycleState::Gone {
            self.remove(id);
        }
    }

    fn add_engine(
        &mut self,
        id: EngineId,
        address: SocketAddr,
        lifecycle: LifecycleState,
        start: Option<EngineStart>,
    ) {
        self.remove(id);
        if lifecycle == LifecycleState::Running {
            // The engine that had this address before has gone, whether or not the list has said so.
            self.engines
                .values()
                .filter(|old| old.address == address)
                .for_each(|old| old.handle.engine_removed());
        }
        let handle = EngineHandle::new(&self.registry, self.ids.name(id), address);
        self.engines.insert(id, KnownEngine { handle, address, start, lifecycle });
    }

    fn remove_all_but(&mut self, endpoints: &[Endpoint]) {
        let is_listed = |id: &EngineId| endpoints.iter().any(|endpoint| endpoint.engine == *id);
        let missing: Vec<EngineId> = self.engines.keys().copied().filter(|id| !is_listed(id)).collect();
        missing.into_iter().for_each(|id| self.remove(id));
    }

    /// Removes an engine: nothing is sent there any more, and what is in flight there ends by itself.
    fn remove(&mut self, id: EngineId) {
        if let Some(old) = self.engines.remove(&id) {
            old.handle.engine_removed();
        }
    }
}

impl KnownEngine {
    fn update(&mut self, lifecycle: LifecycleState, start: Option<EngineStart>) {
        let known_stamp = self.start.map(|start| start.stamp);
        if let Some(start) = start.filter(|start| known_stamp != Some(start.stamp)) {
            self.handle.engine_restarted(start.at);
        }
        (self.start, self.lifecycle) = (start, lifecycle);
    }
}
