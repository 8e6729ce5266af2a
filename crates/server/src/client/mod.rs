//! Client connections, from accept to close, and the way of each answer.

pub mod acceptor;
pub mod arrival_time;
pub mod connection;
pub mod responder;
pub mod session;
