//! The tasks that run jobs from their first dispatch to their release, and the threads for these tasks.
//!
//! A job does not depend on the admission controller. It receives [`JobCommand`]s and notifies a [`DispatchListener`].

mod admitted_job;
mod cancelled_dispatch;
mod command;
mod dispatch_end;
mod in_flight_dispatch;
mod result_pages;
mod task;
mod worker_pool;

pub use admitted_job::{AdmittedJob, RESERVED_RESULT_BYTES};
pub use command::{DispatchCommand, DispatchListener, JobCommand};
pub use task::JobTask;
pub use worker_pool::WorkerPool;
