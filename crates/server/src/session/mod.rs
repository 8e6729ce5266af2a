//! What a client connection owes: its open requests and the way of each answer.

pub mod cancellation;
pub mod client_session;
pub mod responder;
