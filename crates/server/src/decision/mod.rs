//! The thread that owns the admission controller.

pub mod controller_thread;
