//! The clients' own ids of open jobs. Engines know jobs by these ids, so no two open jobs may share one.

use crate::lifecycle::sync::lock;
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// The ids of all open jobs, of all clients.
#[derive(Default)]
pub struct ClientJobIds(Mutex<HashSet<Box<str>>>);

/// The reservation of an id for one open job, which ends when this is dropped.
#[must_use = "dropping the id lets another job use it"]
pub struct ClientJobId {
    registry: Arc<ClientJobIds>,
    id: Box<str>,
}

impl ClientJobIds {
    /// Reserves an id, or returns `None` if an open job uses it.
    pub fn reserve(self: &Arc<Self>, id: &str) -> Option<ClientJobId> {
        let is_free = lock(&self.0).insert(id.into());
        is_free.then(|| ClientJobId { registry: self.clone(), id: id.into() })
    }
}

impl ClientJobId {
    /// The id as the client wrote it.
    pub fn as_str(&self) -> &str {
        &self.id
    }
}

impl Drop for ClientJobId {
    fn drop(&mut self) {
        lock(&self.registry.0).remove(&self.id);
    }
}
