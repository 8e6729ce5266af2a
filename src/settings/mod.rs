//! The settings, read once at start: the flat map that the caller passes in, and the typed settings that the
//! decisions use.
//!
//! The external names of the settings appear in `wire.rs` and nowhere else in this library.

mod flat;
mod typed;
mod wire;

pub use flat::{Settings, Value};
pub use typed::{
    ClassSettings, ContractSettings, ControllerSettings, DeduplicationScope, EngineCapabilities, MachineType,
    Permissions, ReportSettings, RetrySafety,
};
