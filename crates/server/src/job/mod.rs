//! A job of which something is sent: its task and the threads that run such tasks.

pub mod task;
pub mod worker_pool;

pub use task::{AdmittedJob, JobTask, USUAL_RESULT_BYTES};
