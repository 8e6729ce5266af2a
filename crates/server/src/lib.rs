//! The admission controller as a network service.
//!
//! It connects clients, engines and the event bus to the decision library, and executes the library's decisions. It
//! makes only one decision itself: it rejects jobs when one of its own limits is reached.

pub mod client;
pub mod codec;
pub mod config;
pub mod decision;
pub mod discovery;
pub mod engine;
pub mod job;
pub mod lifecycle;
pub mod limits;
pub mod server;
pub mod session;
pub mod telemetry;
