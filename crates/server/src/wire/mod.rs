//! What is spoken on the wire: each file decodes one protocol into small typed values and encodes them.

pub mod bus;
pub mod client;
pub mod engine;
pub mod sql;
