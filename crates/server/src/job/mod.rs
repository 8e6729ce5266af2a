//! The tasks that carry out jobs from their first dispatch, and the threads that run these tasks.
//!
//! A job does not depend on the admission controller. It receives [`JobCommand`]s and reports through
//! [`JobReporter`].

mod admitted_job;
mod cancelled_dispatch;
mod command;
mod dispatch_end;
mod in_flight_dispatch;
mod result_pages;
mod task;
mod worker_pool;

pub use admitted_job::{AdmittedJob, RESERVED_RESULT_BYTES};
pub use command::{DispatchCommand, JobCommand, JobReporter};
pub use task::JobTask;
pub use worker_pool::WorkerPool;
