//! Decoding and encoding of the protocols that clients, engines and the event bus use, and the search for the table
//! group of an SQL statement.

pub mod client;
pub mod engine;
pub mod event_bus;
pub mod sql;
