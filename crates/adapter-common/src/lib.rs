//! Code that the simulator adapter and the server share: reads fields of JSON objects with errors that name the field,
//! flattens nested settings, and assigns the ids by which the admission controller identifies engines.

mod engine_ids;
mod fields;
mod flat_settings;

pub use engine_ids::EngineIds;
pub use fields::{FieldError, Fields, Wanted};
pub use flat_settings::flatten_settings;
