//! The queue of jobs that wait at this gateway.

use crate::interface::JobId;

/// The jobs that wait at this gateway until they can be sent to an engine.
#[derive(Default)]
pub struct WaitingJobs {
    /// The waiting jobs, in the order in which they were added.
    pub jobs: Vec<JobId>,
    /// Whether a timer is set for the next attempt to place them.
    pub placement_is_scheduled: bool,
    /// Whether the last attempt to place a job found no engine with capacity.
    pub found_no_capacity: bool,
}

impl WaitingJobs {
    /// Removes a job.
    pub fn remove(&mut self, id: JobId) {
        self.jobs.retain(|other| *other != id);
    }
}
