//! The admission controller as a network service: it speaks to clients, engines and the event bus, and calls the
//! decision library at the points of choice. It decides nothing by itself.

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
