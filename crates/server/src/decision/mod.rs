//! The thread that owns the admission controller, and the handle through which other threads send it events.
//!
//! The thread passes one event at a time to the controller, urgent events first and the others in their order of
//! arrival. It carries out the actions that the controller returns before it handles the next event, and makes no
//! decisions itself.

mod actions;
mod controller_thread;
mod endpoint_directory;
mod event;
mod handle;
mod known_engine;
mod open_job;
mod start;

pub use handle::{ControllerHandle, LOCAL_LIMIT_RETRY_DELAY};
