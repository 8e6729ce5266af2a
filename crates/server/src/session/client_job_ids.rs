//! Registers the ids that clients have given to open jobs. Engines identify jobs by these ids, so no two open jobs may
//! have the same one.

use crate::lifecycle::sync::lock;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// The ids of all open jobs, of all clients.
#[derive(Default)]
pub struct ClientJobIds(Mutex<HashSet<Box<str>>>);

/// The reservation of an id for one open job, which ends when this is dropped.
#[must_use = "dropping the reservation lets another job use the id"]
pub struct ReservedJobId {
    registry: Arc<ClientJobIds>,
    id: Box<str>,
}

impl ClientJobIds {
    /// Reserves an id, or returns `None` if an open job uses it.
    pub fn reserve(self: &Arc<Self>, id: &str) -> Option<ReservedJobId> {
        let is_free = lock(&self.0).insert(id.into());
        is_free.then(|| ReservedJobId { registry: self.clone(), id: id.into() })
    }
}

impl ReservedJobId {
    /// The id as the client sent it.
    pub fn as_str(&self) -> &str {
        &self.id
    }
}

impl Drop for ReservedJobId {
    fn drop(&mut self) {
        lock(&self.registry.0).remove(&self.id);
    }
}
