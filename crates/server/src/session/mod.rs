//! What the program owes a client: its open requests, their answers, and whether it still waits for them.

pub mod cancellation;
pub mod client_job_ids;
pub mod client_session;
pub mod responder;
mod write_buffer;
