//! An admitted job, as the thread that serves clients passes it to the controller's thread.

use crate::limits::Permit;
use crate::session::dispatch_ledger::DispatchLedger;
use crate::session::responder::Responder;
use std::sync::Arc;

/// The number of bytes reserved for the result when a job is admitted. If the result is longer, more bytes are reserved
/// as its pages arrive.
pub const RESERVED_RESULT_BYTES: usize = 4_096;

/// An admitted job: the data needed to dispatch and answer it, and its permits.
pub struct AdmittedJob {
    /// The client's id of the job, which is also sent to engines and logged.
    pub client_job_id: Box<str>,
    /// The name of the job class, as sent to engines.
    pub class: Arc<str>,
    /// The statement that an engine runs.
    pub statement: Arc<[u8]>,
    /// Answers the client, at most once.
    pub responder: Arc<Responder>,
    /// The record of the dispatches that were sent for this job.
    pub ledger: Arc<DispatchLedger>,
    /// Reserves the bytes of the statement and the result.
    pub memory: Permit,
    /// Counts the job as open until this permit is dropped.
    pub job_slot: Permit,
}
