//! Hosts all instances of a process. They are independent of one another, except that they share the endpoint lists
//! that the simulator has defined.

use crate::codec::wire_names::instance_fields::{ENDPOINTS, LIST_NUMBER};
use crate::codec::wire_names::{BATCH_NUMBER, EVENTS, INSTANCE_NAME, NOW_MS, STEPS, events};
use crate::error::{BatchError, EventError};
use crate::instance::Instance;
use pebblevane::time::Timestamp;
use pebblevane_adapter_common::Fields;
use serde_json::{Value as Json, json};
use std::collections::HashMap;

/// The name of the batch object in errors.
const BATCH_OBJECT: &str = "batch";

/// The instances and the endpoint lists of one process.
#[derive(Default)]
pub(crate) struct Host {
    /// By their names.
    instances: HashMap<String, Instance>,
    /// By their numbers: the entries of each list, not decoded.
    endpoint_lists: HashMap<u64, Json>,
}

impl Host {
    /// Handles the events of one batch and returns the reply.
    ///
    /// # Errors
    /// If the batch or one of its events is malformed; the error names the batch and the field. The events before the
    /// malformed one have been handled then.
    pub(crate) fn handle_batch(&mut self, line: &str) -> Result<String, BatchError> {
        let json: Json = serde_json::from_str(line)?;
        let batch = Fields { name: BATCH_OBJECT, json: &json };
        let number = batch.whole(BATCH_NUMBER).map_err(BatchError::BatchNumber)?;
        let steps = self.handle_events(batch).map_err(|source| BatchError::Event { number, source })?;
        Ok(json!({BATCH_NUMBER: number, STEPS: steps}).to_string())
    }

    fn handle_events(&mut self, batch: Fields) -> Result<Vec<Json>, EventError> {
        let now = Timestamp::from_millis_f64(batch.number(NOW_MS)?);
        let mut steps = Vec::new();
        for event in batch.list(EVENTS)? {
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
        if event.name == events::ENDPOINT_LIST {
            return self.store_endpoint_list(event);
        }
        let instance_name = event.text(INSTANCE_NAME)?;
        match event.name {
            events::START_INSTANCE => {
                self.instances.insert(instance_name.to_string(), Instance::start(now, instance_name, event)?);
                Ok(())
            }
            events::STOP_INSTANCE => {
                self.instances.remove(instance_name);
                Ok(())
            }
            _ => {
                let instance =
                    self.instances.get_mut(instance_name).ok_or_else(|| EventError::UnknownInstance {
                        event: event.name.to_string(),
                        instance: instance_name.to_string(),
                    })?;
                instance.handle_event(now, event, &self.endpoint_lists, steps)
            }
        }
    }

    fn store_endpoint_list(&mut self, event: Fields) -> Result<(), EventError> {
        event.list(ENDPOINTS)?;
        self.endpoint_lists.insert(event.whole_or_zero(LIST_NUMBER)?, event.json[ENDPOINTS].clone());
        Ok(())
    }
}

/// Splits an event, an object whose only key is the event's name, into the name and the fields.
fn event_fields(event: &Json) -> Result<Fields<'_>, EventError> {
    let object = event.as_object().filter(|object| object.len() == 1);
    let (name, json) = object.and_then(|object| object.iter().next()).ok_or(EventError::NotOneKey)?;
    Ok(Fields { name, json })
}
