//! Client connections: accepting, reading and closing them, and the admission of the jobs that come on them.
//!
//! One thread, the [`event_loop::ClientEventLoop`], does all of this. Answers are written by the threads that give them,
//! through the connection's session.

pub mod admission;
pub mod arrival_time;
pub mod close_reason;
mod closing;
mod connection;
pub mod context;
pub mod event_loop;
mod idle;
mod reading;
