//! The numbers by which the controller identifies engines.

use pebblevane::interface::EngineId;
use std::collections::HashMap;

/// Engines by name, numbered in the order in which they were first named.
#[derive(Default)]
pub struct EngineIds {
    names: HashMap<EngineId, String>,
    ids: HashMap<String, EngineId>,
    next: u32,
}

impl EngineIds {
    /// The id of the engine of this name; a new one if the name is not known.
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

    /// The id of the engine of this name, if the name is known.
    pub fn id(&self, name: &str) -> Option<EngineId> {
        self.ids.get(name).copied()
    }

    /// The name of an engine.
    ///
    /// # Panics
    /// If the engine was never assigned an id, or has been removed.
    pub fn name(&self, engine: EngineId) -> &str {
        &self.names[&engine]
    }

    /// Removes an engine. Its id is never assigned again: a later engine of the same name gets another one.
    pub fn remove(&mut self, engine: EngineId) {
        if let Some(name) = self.names.remove(&engine) {
            self.ids.remove(&name);
        }
    }
}
