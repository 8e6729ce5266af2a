//! The jobs that wait at this gateway for an engine.

use crate::interface::JobId;

/// The jobs that wait at this gateway for an engine.
#[derive(Default)]
pub struct WaitingJobs {
    /// The jobs, in the order in which they joined.
    pub jobs: Vec<JobId>,
    /// A timer is set for trying them again.
    pub placement_is_scheduled: bool,
    /// The last choice of an engine found none under its limit.
    pub found_no_capacity: bool,
}

impl WaitingJobs {
    /// A job that waited is over.
    pub fn remove(&mut self, id: JobId) {
        self.jobs.retain(|other| *other != id);
    }
}
