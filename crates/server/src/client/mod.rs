//! Client connections: accepting, reading and closing them, and the admission of jobs.

pub mod acceptor;
pub mod arrival_time;
pub mod connection;
