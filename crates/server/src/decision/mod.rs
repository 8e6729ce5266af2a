//! The thread that owns the admission controller, and the handle by which others reach it.

mod controller_thread;

pub use controller_thread::{ControllerHandle, JobCommand, RETRY_AFTER};
