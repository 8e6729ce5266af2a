//! A job of which something is sent: its thread, and the ledger of its dispatches.

pub mod dispatch_ledger;
pub mod task;
pub mod worker_pool;
