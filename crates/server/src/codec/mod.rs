//! The protocols on the wire: each module decodes one of them into typed values and encodes them.

pub mod client;
pub mod engine;
pub mod event_bus;
pub mod sql;
