//! Client sessions: the open requests of each client, their answers, and whether the client is still waiting for them.

pub mod cancellation;
pub mod client_job_ids;
pub mod client_session;
pub mod connection_failures;
pub mod dispatch_ledger;
pub mod responder;
mod write_buffer;
