//! The thread that owns the admission controller, and the handle by which others reach it.
//!
//! The thread passes events to the controller in their order of arrival and carries out the actions that it returns
//! before the next event. It makes no decisions itself.

mod actions;
mod controller_thread;
mod endpoint_directory;
mod event;
mod handle;
mod open_job;
mod start;

pub use handle::{ControllerHandle, LOCAL_LIMIT_RETRY_DELAY};
