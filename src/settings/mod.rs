//! The start settings: the flat map that a caller hands in, and the typed settings that the decisions read.
//!
//! The names that the settings have on the wire appear in `wire.rs` and nowhere else in this library.

mod flat;
mod typed;
mod wire;

pub use flat::{Settings, Value};
pub use typed::{
    ClassSettings, ContractSettings, ControllerSettings, DeduplicationScope, EngineCapabilities, MachineType,
    Permissions, ReportSettings, RetrySafety,
};
