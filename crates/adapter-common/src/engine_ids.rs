//! Assigns the ids by which the admission controller identifies engines.

use pebblevane::interface::EngineId;
use std::collections::HashMap;

/// Maps engine names to ids and back. Ids are assigned in ascending order, starting at 0.
#[derive(Default)]
pub struct EngineIds {
    names: HashMap<EngineId, String>,
    ids: HashMap<String, EngineId>,
    /// The next unused id.
    next: u32,
}

impl EngineIds {
    /// Returns the id of the engine with this name. Assigns a new id if the name has none.
    pub fn assign(&mut self, name: &str) -> EngineId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = EngineId(self.next);
        self.next += 1;
        self.names.insert(id, name.to_string());
        self.ids.insert(name.to_string(), id);
        id
    }

    /// Returns the id of the engine with this name, or `None` if the name has no id.
    pub fn id(&self, name: &str) -> Option<EngineId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of an engine.
    ///
    /// # Panics
    /// If the engine was never assigned an id, or has been removed.
    pub fn name(&self, engine: EngineId) -> &str {
        &self.names[&engine]
    }

    /// Removes an engine. Its id is never reused: a later engine with the same name gets a new one.
    pub fn remove(&mut self, engine: EngineId) {
        if let Some(name) = self.names.remove(&engine) {
            self.ids.remove(&name);
        }
    }
}
