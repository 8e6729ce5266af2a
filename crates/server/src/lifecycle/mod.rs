//! Startup, clock, locking, threads and graceful shutdown of the process.

pub mod clock;
pub mod shutdown;
pub mod startup;
pub mod sync;
pub mod threads;
pub mod transient;
pub mod wakeup;
