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
    /// The address that it listens on.
    pub(crate) address: SocketAddr,
    /// Whether dispatches may be sent to it; shared with the engine's handle.
    pub(crate) accepts_dispatches: Arc<AtomicBool>,
}

/// The changes of one engine since its pool last applied them.
#[derive(Default)]
pub(crate) struct EndpointUpdate {
    /// The engine was added to the endpoint list.
    pub(crate) added: Option<AddedEndpoint>,
    /// The engine has restarted at this time: connections that were established before are closed.
    pub(crate) restarted_at: Option<Timestamp>,
    /// Whether the engine is draining, so that no further dispatches may be sent.
    pub(crate) draining: bool,
    /// Whether the engine was removed from the endpoint list.
    pub(crate) removed: bool,
}

/// The pending updates of all engines. Updates of one engine are merged into one entry, so that no bounded queue is
/// needed: no update is lost, and recording one never waits until another thread has processed earlier ones.
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

    /// Whether a change was recorded since the last call of this function.
    pub(crate) fn take_changed(&self) -> bool {
        self.changed.swap(false, SeqCst)
    }

    /// Takes the pending updates. The lock is released before the caller applies them. Applying one may call back with
    /// the result of a health check, and the callback may block until the controller's thread makes progress, while
    /// that thread waits for this lock to record an update: with the lock held, that would be a deadlock.
    pub(crate) fn take(&self) -> BTreeMap<PoolId, EndpointUpdate> {
        std::mem::take(&mut *lock(&self.pending))
    }
}
