//! One engine of the endpoint list, and the changes of its entry.

use crate::codec::event_bus::UnixTime;
use crate::engine::handle::EngineHandle;
use pebblevane::interface::{Endpoint, LifecycleState};
use pebblevane::time::Timestamp;
use std::net::SocketAddr;
use std::sync::Arc;

/// An engine that is listed as running or draining.
pub(super) struct KnownEngine {
    name: String,
    pub(super) handle: Arc<EngineHandle>,
    pub(super) address: SocketAddr,
    pub(super) start: Option<EngineStart>,
    pub(super) lifecycle: LifecycleState,
    /// Whether a later engine has taken over the address, so that this one no longer exists, even if the list has not
    /// reported that yet.
    displaced: bool,
}

/// An entry of an event, as it is applied to the engines.
pub(super) struct EndpointChange {
    pub(super) endpoint: Endpoint,
    pub(super) address: SocketAddr,
    pub(super) start: Option<EngineStart>,
}

/// When an engine started.
#[derive(Clone, Copy)]
pub(super) struct EngineStart {
    /// The start time in the endpoint list, in wall-clock time.
    pub(super) wall_time: UnixTime,
    /// The start time on the program's own clock.
    pub(super) at: Timestamp,
}

impl KnownEngine {
    /// An engine whose first entry this is. `handle` is a new handle on it.
    pub(super) fn new(handle: Arc<EngineHandle>, first: &EndpointChange) -> KnownEngine {
        KnownEngine {
            name: first.endpoint.name.clone(),
            handle,
            address: first.address,
            start: first.start,
            lifecycle: first.endpoint.lifecycle,
            displaced: false,
        }
    }

    /// Whether the entry is of this engine, rather than of another one of the same name.
    pub(super) fn is_same_engine(&self, change: &EndpointChange) -> bool {
        self.address == change.address && !(self.displaced && self.has_restarted(change.start))
    }

    /// Whether the entry reports another start than the last one that is known.
    fn has_restarted(&self, start: Option<EngineStart>) -> bool {
        let known_wall_time = self.start.map(|start| start.wall_time);
        start.is_some_and(|start| known_wall_time != Some(start.wall_time))
    }

    /// Applies a later entry of this engine, and returns whether it reports a restart.
    pub(super) fn update(&mut self, change: &EndpointChange) -> bool {
        let restart = change.start.filter(|_| self.has_restarted(change.start));
        if let Some(start) = restart {
            self.handle.engine_restarted(start.at);
        }
        self.start = change.start.or(self.start);
        self.lifecycle = change.endpoint.lifecycle;
        restart.is_some()
    }

    /// Orders the engines that an event lists at one address by their starts. Between equal starts, an engine that is
    /// still running is the later one, since an address passes on when its engine ends.
    pub(super) fn start_order(&self) -> (Option<UnixTime>, bool) {
        (self.start.map(|start| start.wall_time), self.lifecycle == LifecycleState::Running)
    }

    /// Records that a later engine has taken over the address. No further dispatches are sent, but those in flight may
    /// still finish.
    pub(super) fn displace(&mut self) {
        tracing::info!(engine = %self.name, address = %self.address, "engine has lost its address to a later one");
        self.displaced = true;
        self.handle.engine_removed();
    }

    /// Accepts dispatches if the engine is running and still has its address.
    pub(super) fn update_handle(&self) {
        let accepts = self.lifecycle == LifecycleState::Running && !self.displaced;
        self.handle.set_accepts_dispatches(accepts);
    }
}
