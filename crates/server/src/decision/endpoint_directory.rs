//! The engines of the endpoint list: their ids, their handles, and their start times on the program's clock.

use crate::codec::event_bus::{EndpointEntry, Event, UnixTime};
use crate::config::NamePositions;
use crate::decision::known_engine::{EndpointChange, EngineStart, KnownEngine};
use crate::discovery::start_time_converter::StartTimeConverter;
use crate::engine::handle::EngineHandle;
use crate::engine::registry::EngineRegistry;
use pebblevane::interface::{Endpoint, EngineId, LifecycleState};
use pebblevane::time::Timestamp;
use pebblevane_adapter_common::EngineIds;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// The engines according to the last endpoint list.
pub(super) struct EndpointDirectory {
    ids: EngineIds,
    engines: BTreeMap<EngineId, KnownEngine>,
    /// The engine that listens at each address: of those listed there, the one that started last.
    address_holders: HashMap<SocketAddr, EngineId>,
    /// The engines that were removed from the list while they held their address, until another one has it or the
    /// controller no longer needs them.
    former_holders: HashMap<SocketAddr, EngineId>,
    name_positions: NamePositions,
    registry: Arc<EngineRegistry>,
    start_time_converter: StartTimeConverter,
}

/// An address that has passed from one engine to another.
struct PassedAddress {
    from: EngineId,
    to: EngineId,
}

impl EndpointDirectory {
    /// A directory without engines.
    pub(super) fn new(name_positions: NamePositions, registry: Arc<EngineRegistry>) -> EndpointDirectory {
        EndpointDirectory {
            ids: EngineIds::default(),
            engines: BTreeMap::new(),
            address_holders: HashMap::new(),
            former_holders: HashMap::new(),
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
        self.former_holders.retain(|_, former| *former != id);
        self.ids.remove(id);
    }

    /// Applies the events that are known at the start, in their order, and returns the engines that are listed after the
    /// last of them, in the order of their names.
    #[must_use]
    pub(super) fn apply_initial(&mut self, now: Timestamp, events: Vec<Event>) -> Vec<Endpoint> {
        let entries = events.iter().flat_map(|event| &event.engines);
        let names: BTreeSet<String> = entries.map(|entry| entry.name.clone()).collect();
        let ids: Vec<EngineId> = names.iter().map(|name| self.ids.assign(name)).collect();
        let mut listed = BTreeMap::new();
        let mut last_event = 0;
        for event in events {
            if event.complete {
                listed.clear();
            }
            last_event = event.offset;
            let endpoints = self.apply_event(now, event, None);
            listed.extend(endpoints.into_iter().map(|endpoint| (endpoint.engine, endpoint)));
        }
        for id in ids.into_iter().filter(|id| !listed.contains_key(id)) {
            self.remove_id(id);
        }
        self.log_change(last_event, listed.len());
        listed.into_values().collect()
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
        let event_number = event.offset;
        let endpoints = self.apply_event(now, event, last_complete);
        self.log_change(event_number, endpoints.len());
        endpoints
    }

    fn apply_event(
        &mut self,
        now: Timestamp,
        event: Event,
        last_complete: Option<Timestamp>,
    ) -> Vec<Endpoint> {
        self.record_wall_clock(now);
        let entries = event.engines.into_iter();
        let mut changes: Vec<EndpointChange> =
            entries.filter_map(|entry| self.read_entry(now, entry, last_complete)).collect();
        let passed_on = self.update_engines(&changes);
        for change in &mut changes {
            let endpoint = &mut change.endpoint;
            let passed = passed_on.iter().find(|passed| passed.to == endpoint.engine);
            endpoint.replaces = passed.map(|passed| passed.from);
        }
        let endpoints: Vec<Endpoint> = changes.into_iter().map(|change| change.endpoint).collect();
        if event.complete {
            self.remove_all_but(&endpoints);
        }
        endpoints
    }

    fn log_change(&self, event: u64, entries: usize) {
        let engines = self.engines.values();
        let running = engines.filter(|known| known.lifecycle == LifecycleState::Running).count();
        tracing::info!(event, entries, running, "endpoint list changed");
    }

    /// Converts one entry. Returns `None`, and ignores the entry, if its address is malformed.
    fn read_entry(
        &mut self,
        now: Timestamp,
        entry: EndpointEntry,
        last_complete: Option<Timestamp>,
    ) -> Option<EndpointChange> {
        let Ok(address) = entry.address.parse::<SocketAddr>() else {
            tracing::warn!(engine = %entry.name, address = %entry.address, "endpoint with a malformed address ignored");
            return None;
        };
        let id = self.ids.assign(&entry.name);
        let start = entry.started.map(|wall_time| self.start_of(id, wall_time, now, last_complete));
        let endpoint = Endpoint {
            engine: id,
            // A machine type or location that the settings do not list gets a position that does not exist.
            machine_type: self.name_positions.machine_type(&entry.machine_type).unwrap_or(usize::MAX),
            location: self.name_positions.location(&entry.location).unwrap_or(usize::MAX),
            cell: entry.cell,
            lifecycle: entry.lifecycle,
            started_at: start.map(|start| start.at),
            capacity_hint: entry.weight,
            replaces: None,
            name: entry.name,
        };
        Some(EndpointChange { endpoint, address, start })
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

    /// Updates the engines after a change of their entries. Dispatches are accepted only once it is known which engine
    /// listens at each address. Returns the addresses that have passed on.
    fn update_engines(&mut self, changes: &[EndpointChange]) -> Vec<PassedAddress> {
        let started: Vec<EngineId> = changes.iter().filter_map(|change| self.update_engine(change)).collect();
        let passed_on = started.iter().filter_map(|id| self.assign_address(*id, &started)).collect();
        for change in changes {
            if let Some(known) = self.engines.get(&change.endpoint.engine) {
                known.update_handle();
            }
        }
        passed_on
    }

    /// Updates an engine after a change of its entry, and returns its id if it was added or has restarted. An entry with
    /// another address is another engine; so is a new start of an engine whose address had passed to another one.
    fn update_engine(&mut self, change: &EndpointChange) -> Option<EngineId> {
        let id = change.endpoint.engine;
        if change.endpoint.lifecycle == LifecycleState::Gone {
            self.remove_gone(id);
            return None;
        }
        if let Some(known) = self.engines.get_mut(&id).filter(|known| known.is_same_engine(change)) {
            return known.update(change).then_some(id);
        }
        self.remove(id);
        self.former_holders.retain(|_, former| *former != id);
        let handle = EngineHandle::new(&self.registry, self.ids.name(id), change.address);
        self.engines.insert(id, KnownEngine::new(handle, change));
        Some(id)
    }

    /// Assigns its address to an engine that the event has added or restarted, and displaces the engine that was listed
    /// there before. If both are among those that `started` by the same event, the one that started last has the
    /// address, whatever their order in the list. Returns the engines if the address has passed from one to the other.
    fn assign_address(&mut self, id: EngineId, started: &[EngineId]) -> Option<PassedAddress> {
        let known = self.engines.get(&id)?;
        let (address, order) = (known.address, known.start_order());
        let holder = self.address_holders.insert(address, id);
        let former = self.former_holders.remove(&address);
        let Some(previous) = holder.filter(|previous| *previous != id) else {
            let from = former.filter(|former| *former != id)?;
            return Some(PassedAddress { from, to: id });
        };
        let previous_is_later = started.contains(&previous) && self.engines[&previous].start_order() > order;
        let passed = if previous_is_later {
            self.address_holders.insert(address, previous);
            PassedAddress { from: id, to: previous }
        } else {
            PassedAddress { from: previous, to: id }
        };
        if let Some(displaced) = self.engines.get_mut(&passed.from) {
            displaced.displace();
        }
        Some(passed)
    }

    fn remove_all_but(&mut self, endpoints: &[Endpoint]) {
        let is_listed = |id: &EngineId| endpoints.iter().any(|endpoint| endpoint.engine == *id);
        let missing: Vec<EngineId> = self.engines.keys().copied().filter(|id| !is_listed(id)).collect();
        for id in missing {
            self.remove_gone(id);
        }
    }

    /// Removes an engine that no longer exists. Its address may pass to another one later.
    fn remove_gone(&mut self, id: EngineId) {
        let address = self.engines.get(&id).map(|known| known.address);
        if let Some(address) = address.filter(|address| self.address_holders.get(address) == Some(&id)) {
            self.former_holders.insert(address, id);
        }
        self.remove(id);
    }

    /// Removes an engine: no further dispatches are sent to it, but those in flight may still finish.
    fn remove(&mut self, id: EngineId) {
        let Some(old) = self.engines.remove(&id) else { return };
        if self.address_holders.get(&old.address) == Some(&id) {
            self.address_holders.remove(&old.address);
        }
        old.handle.engine_removed();
    }
}
