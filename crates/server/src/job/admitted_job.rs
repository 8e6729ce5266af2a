//! A job as the client side hands it over.

use crate::engine::dispatch_ledger::DispatchLedger;
use crate::limits::Permit;
use crate::session::responder::Responder;
use std::sync::Arc;

/// The part of a result, in bytes, that is reserved when a job is admitted. A longer one is counted as its pages come.
pub const USUAL_RESULT_BYTES: usize = 4_096;

/// A job as it was admitted: what is needed to dispatch and to answer it, and what it holds of the program's limits.
pub struct AdmittedJob {
    /// The client's own id of the job, under which engines and the log know it.
    pub client_job_id: Box<str>,
    /// The name of its class, as engines read it.
    pub class: Arc<str>,
    /// The statement that an engine is to run.
    pub statement: Arc<[u8]>,
    /// Gives the one answer to the client.
    pub responder: Arc<Responder>,
    /// What has left the program for this job.
    pub ledger: Arc<DispatchLedger>,
    /// The bytes that the statement and the result may take.
    pub memory: Permit,
    /// Its place among the open jobs, held until the job is dropped.
    pub _job_slot: Permit,
}
