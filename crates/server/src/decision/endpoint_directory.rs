//! The engines of the endpoint list: their ids, their handles, and their start times on the program's clock.

use crate::codec::event_bus::{EndpointEntry, Event, UnixTime};
use crate::config::NamePositions;
use crate::discovery::start_time_converter::StartTimeConverter;
use crate::engine::handle::EngineHandle;
use crate::engine::registry::EngineRegistry;
use pebblevane::interface::{Endpoint, EngineId, LifecycleState};
use pebblevane::time::Timestamp;
use pebblevane_adapter_common::EngineIds;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// The engines according to the last endpoint list.
pub(super) struct EndpointDirectory {
    ids: EngineIds,
    engines: BTreeMap<EngineId, KnownEngine>,
    name_positions: NamePositions,
    registry: Arc<EngineRegistry>,
    start_time_converter: StartTimeConverter,
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
    /// The start time in the endpoint list, in wall-clock time.
    wall_time: UnixTime,
    /// The start time on the program's own clock.
    at: Timestamp,
}

/// Merges events into one complete list of the engines that exist after the last of them.
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
    pub(super) fn new(name_positions: NamePositions, registry: Arc<EngineRegistry>) -> EndpointDirectory {
        EndpointDirectory {
            ids: EngineIds::default(),
            engines: BTreeMap::new(),
            name_positions,
            registry,
            start_time_converter: StartTimeConverter::default(),
        }
    }

    /// Records the current offset of the wall clock from the program's clock. The offsets before and after each step of
    /// the wall clock are needed to convert the start times that the list reports.
    pub(super) fn record_wall_clock(&mut self, now: Timestamp) {
        self.start_time_converter.record_clocks(now, StartTimeConverter::wall_clock_now());
    }

    /// The handle on an engine, unless it was removed from the list.
    pub(super) fn engine(&self, id: EngineId) -> Option<&Arc<EngineHandle>> {
        self.engines.get(&id).map(|known| &known.handle)
    }

    /// Removes an engine's id, which is never assigned again: a later engine of the same name gets another id.
    pub(super) fn remove_id(&mut self, id: EngineId) {
        self.ids.remove(id);
    }

    /// Applies a change of the endpoint list and returns the changed entries in the form that the controller expects.
    /// `last_complete` is when the list was last known to be complete before the change.
    #[must_use]
    pub(super) fn apply(
        &mut self,
        now: Timestamp,
        event: Event,
        last_complete: Option<Timestamp>,
    ) -> Vec<Endpoint> {
        self.record_wall_clock(now);
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

    /// Applies one entry. Returns `None`, and ignores the entry, if its address is malformed.
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
        let start = entry.started.map(|wall_time| self.start_of(id, wall_time, now, last_complete));
        self.update_engine(id, address, entry.lifecycle, start);
        Some(Endpoint {
            engine: id,
            // A machine type or location that the settings do not list gets a position that does not exist.
            machine_type: self.name_positions.machine_type(&entry.machine_type).unwrap_or(usize::MAX),
            location: self.name_positions.location(&entry.location).unwrap_or(usize::MAX),
            cell: entry.cell,
            lifecycle: entry.lifecycle,
            started_at: start.map(|start| start.at),
            capacity_hint: entry.weight,
            name: entry.name,
        })
    }

    /// Converts a start time to the program's clock. An engine whose listed start time has not changed keeps the result
    /// of the earlier conversion.
    fn start_of(
        &self,
        id: EngineId,
        wall_time: UnixTime,
        now: Timestamp,
        last_complete: Option<Timestamp>,
    ) -> EngineStart {
        let known = self.engines.get(&id).and_then(|known| known.start);
        known.filter(|start| start.wall_time == wall_time).unwrap_or_else(|| EngineStart {
            wall_time,
            at: self.start_time_converter.start_time(wall_time, now, last_complete),
        })
    }

    /// Updates the handle on an engine after a change of its entry. An entry with another address is another engine.
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
            // An engine that had this address before no longer exists, even if the list has not reported that yet.
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
        for id in missing {
            self.remove(id);
        }
    }

    /// Removes an engine: no further dispatches are sent to it, but those in flight may still finish.
    fn remove(&mut self, id: EngineId) {
        if let Some(old) = self.engines.remove(&id) {
            old.handle.engine_removed();
        }
    }
}

impl KnownEngine {
    fn update(&mut self, lifecycle: LifecycleState, start: Option<EngineStart>) {
        let known_wall_time = self.start.map(|start| start.wall_time);
        if let Some(start) = start.filter(|start| known_wall_time != Some(start.wall_time)) {
            self.handle.engine_restarted(start.at);
        }
        (self.start, self.lifecycle) = (start, lifecycle);
    }
}
