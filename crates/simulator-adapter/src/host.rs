//! The instances that one process hosts. They share nothing but the endpoint lists that the simulator sends.

use crate::codec::wire_names::instance_fields::{MEMBERS, TABLE};
use crate::codec::wire_names::{ARRIVALS, CLOCK, MANAGER_ID, STEPS, TURN, events};
use crate::error::{BatchError, EventError};
use crate::instance::Instance;
use pebblevane::time::Timestamp;
use pebblevane_adapter_common::Fields;
use serde_json::{Value as Json, json};
use std::collections::HashMap;

/// What errors call a batch.
const BATCH_OBJECT: &str = "batch";

/// All instances, and the endpoint lists by their numbers.
#[derive(Default)]
pub(crate) struct Host {
    instances: HashMap<String, Instance>,
    endpoint_lists: HashMap<u64, Json>,
}

impl Host {
    /// Handles one batch and returns the reply.
    ///
    /// # Errors
    /// If the batch can't be used; the error names the batch and the field. Events before that have been handled.
    pub(crate) fn handle_batch(&mut self, line: &str) -> Result<String, BatchError> {
        let json: Json = serde_json::from_str(line)?;
        let batch = Fields { name: BATCH_OBJECT, json: &json };
        let turn = batch.whole(TURN).map_err(BatchError::Turn)?;
        let steps = self.handle_events(batch).map_err(|source| BatchError::Event { turn, source })?;
        Ok(json!({TURN: turn, STEPS: steps}).to_string())
    }

    fn handle_events(&mut self, batch: Fields) -> Result<Vec<Json>, EventError> {
        let now = Timestamp::from_millis_f64(batch.number(CLOCK)?);
        let mut steps = Vec::new();
        for event in batch.list(ARRIVALS)? {
            self.handle_event(now, event_fields(event)?, &mut steps)?;
        }
        Ok(steps)
    }

    fn handle_event(
        &mut self,
        now: Timestamp,
        event: Fields,
        steps: &mut Vec<Json>,
    ) -> Result<(), EventError> {
        if event.name == events::DIRECTORY {
            return self.store_endpoint_list(event);
        }
        let manager = event.text(MANAGER_ID)?;
        match event.name {
            events::BEGIN => {
                self.instances.insert(manager.to_string(), Instance::begin(now, manager, event)?);
                Ok(())
            }
            events::SHUTDOWN => {
                self.instances.remove(manager);
                Ok(())
            }
            _ => {
                let instance =
                    self.instances.get_mut(manager).ok_or_else(|| EventError::UnknownInstance {
                        event: event.name.to_string(),
                        manager: manager.to_string(),
                    })?;
                instance.handle_event(now, event, &self.endpoint_lists, steps)
            }
        }
    }

    fn store_endpoint_list(&mut self, event: Fields) -> Result<(), EventError> {
        event.list(MEMBERS)?;
        self.endpoint_lists.insert(event.whole_or_zero(TABLE)?, event.json[MEMBERS].clone());
        Ok(())
    }
}

/// An event is an object whose only key is the event's name.
fn event_fields(event: &Json) -> Result<Fields<'_>, EventError> {
    let object = event.as_object().filter(|object| object.len() == 1);
    let (name, json) = object.and_then(|object| object.iter().next()).ok_or(EventError::NotOneKey)?;
    Ok(Fields { name, json })
}
