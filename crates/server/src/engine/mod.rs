//! The pools of connections to engines, and the threads that serve them.
//!
//! [`handle`] is what the rest of the program uses. A handle sends commands to the `engines` thread, which owns all
//! pools (`registry_loop`, `pool`) and writes to their connections. A second thread reads all connections
//! (`socket_poller`), and each attempt to connect has a short-lived thread (`dialer`).

mod command;
mod connection;
mod connection_error;
mod connection_input;
mod dialer;
mod endpoint_updates;
pub mod handle;
mod ids;
mod pool;
pub mod registry;
mod registry_loop;
mod request;
mod send_gate;
mod socket_poller;
