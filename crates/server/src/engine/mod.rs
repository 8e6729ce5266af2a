//! Engines: the pool of connections to each, and the threads that serve them.

pub mod connection;
pub mod dispatch_ledger;
pub mod handle;
pub mod pool;
pub mod registry;
pub mod socket_poller;
