//! What the simulator adapter and the server share to feed the admission controller: reading JSON objects with precise
//! errors, flattening settings, and numbering engines.

mod engine_ids;
mod fields;
mod flat_settings;

pub use engine_ids::EngineIds;
pub use fields::{FieldError, Fields, Wanted};
pub use flat_settings::flatten_settings;
