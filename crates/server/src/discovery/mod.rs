//! Follows the endpoint list on the event bus, and converts the start times of engines.

mod address;
mod backoff;
mod disconnect;
mod follower;
mod read_position;
pub mod start_time_converter;
mod subscription;
mod subscriptions;

pub use address::EventBusAddress;
pub use disconnect::DisconnectReason;
pub use follower::{EndpointListener, EventBusFollower};
