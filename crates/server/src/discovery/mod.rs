//! Follows the endpoint list on the event bus, and converts the start times of engines.

mod backoff;
mod connection;
mod disconnect;
mod follower;
mod line_reader;
pub mod start_time_converter;

pub use disconnect::DisconnectReason;
pub use follower::{EndpointListener, EventBusFollower};
