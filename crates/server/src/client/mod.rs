//! Client connections: accepting, reading and closing them, and admitting the jobs that clients submit.
//!
//! One thread, the [`event_loop::ClientEventLoop`], does all of this. An answer is written by whichever thread produces
//! it, through the connection's session.

pub mod admission;
pub mod arrival_time;
pub mod close_reason;
mod closing;
mod connection;
pub mod context;
mod discarded_message;
pub mod event_loop;
mod idle;
mod reading;
mod receive_buffer;
mod turn_limits;
