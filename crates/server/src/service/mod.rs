//! Configuration, start, reload, drain and stop, and the threads that listen to clients and to the event bus.

pub mod acceptor;
pub mod arrivals;
pub mod bus;
pub mod client_connection;
pub mod clock;
pub mod config;
pub mod reload;
pub mod shutdown;
pub mod start_clock;
