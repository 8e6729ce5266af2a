//! Changes of the endpoint list that the engines' pools have not applied yet.

use crate::engine::ids::PoolId;
use crate::lifecycle::sync::lock;
use pebblevane::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

/// An engine that was added to the endpoint list.
pub(crate) struct AddedEndpoint {
    /// The engine's name, for the log.
    pub(crate) name: String,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Whether dispatches may be sent there; shared with the engine's handle.
    pub(crate) accepts_dispatches: Arc<AtomicBool>,
}

/// The changes of one engine since its pool last applied them.
#[derive(Default)]
pub(crate) struct EndpointUpdate {
    /// The engine is new.
    pub(crate) added: Option<AddedEndpoint>,
    /// The engine has restarted at this time: connections that were made before are closed.
    pub(crate) restarted_at: Option<Timestamp>,
    /// No dispatches may be sent any more.
    pub(crate) draining: bool,
    /// The engine is not on the list any more.
    pub(crate) removed: bool,
}

/// The pending updates of all engines. There is one entry for each engine, so that recording an update needs no bounded
/// queue: no update is lost, and recording one waits for no other thread's work.
#[derive(Default)]
pub(crate) struct EndpointUpdates {
    pending: Mutex<BTreeMap<PoolId, EndpointUpdate>>,
    /// Whether a change was recorded since the last call of [`EndpointUpdates::take_changed`].
    changed: AtomicBool,
}

impl EndpointUpdates {
    /// Records a change of this engine.
    pub(crate) fn record(&self, pool: PoolId, change: impl FnOnce(&mut EndpointUpdate)) {
        change(lock(&self.pending).entry(pool).or_default());
        self.changed.store(true, SeqCst);
    }

    /// Whether a change was recorded since the last call.
    pub(crate) fn take_changed(&self) -> bool {
        self.changed.swap(false, SeqCst)
    }

    /// Takes the updates that are still to be applied. The lock is released before the first is applied: that may call
    /// back with the result of a health check, which may wait for a thread that records an update.
    pub(crate) fn take(&self) -> BTreeMap<PoolId, EndpointUpdate> {
        std::mem::take(&mut *lock(&self.pending))
    }
}
