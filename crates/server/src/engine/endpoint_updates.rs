//! What the endpoint list has said of engines and their pools have not applied yet.

use crate::engine::ids::PoolId;
use crate::lifecycle::sync::lock;
use pebblevane::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard};

/// An engine that the list has added.
pub(crate) struct AddedEndpoint {
    /// The engine's name, for the log.
    pub(crate) name: String,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// Whether dispatches may be sent there; shared with the engine's handle.
    pub(crate) accepts_dispatches: Arc<AtomicBool>,
}

/// The changes of one engine since its pool last looked.
#[derive(Default)]
pub(crate) struct EndpointUpdate {
    /// The engine is new.
    pub(crate) added: Option<AddedEndpoint>,
    /// The engine has started anew at this time: connections from before are dead.
    pub(crate) restarted_at: Option<Timestamp>,
    /// Dispatches may not be sent any more.
    pub(crate) draining: bool,
    /// The engine is not on the list any more.
    pub(crate) removed: bool,
}

/// The pending updates of all engines, one entry an engine, so that none is ever lost and recording one never waits for
/// room. It does wait while the `engines` thread applies earlier ones.
#[derive(Default)]
pub(crate) struct EndpointUpdates {
    pending: Mutex<BTreeMap<PoolId, EndpointUpdate>>,
    /// Whether something was recorded since the last look.
    changed: AtomicBool,
}

impl EndpointUpdates {
    /// Records a change of this engine.
    pub(crate) fn record(&self, pool: PoolId, change: impl FnOnce(&mut EndpointUpdate)) {
        change(self.pending().entry(pool).or_default());
        self.changed.store(true, SeqCst);
    }

    /// Whether something was recorded since this was last asked.
    pub(crate) fn take_changed(&self) -> bool {
        self.changed.swap(false, SeqCst)
    }

    /// The updates that wait to be applied, locked.
    pub(crate) fn pending(&self) -> MutexGuard<'_, BTreeMap<PoolId, EndpointUpdate>> {
        lock(&self.pending)
    }
}
