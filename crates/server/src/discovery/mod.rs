//! Following the endpoint list on the event bus.

pub mod event_bus;
pub mod start_clock;
