//! Threads that carry out jobs with something sent. A thread whose job is over waits a while for the next one: making
//! and ending a thread costs a gateway with part of a core more than the job.

use crate::job::JobTask;
use crossbeam_channel::{Receiver, Sender, bounded};
use std::time::Duration;

/// A thread without a job ends after this time.
const IDLE: Duration = Duration::from_secs(1);

pub struct Workers {
    /// Holds nothing: a job is handed to a thread that waits for one, or to none.
    hand_over: (Sender<JobTask>, Receiver<JobTask>),
}

impl Workers {
    pub fn new() -> Workers {
        Workers { hand_over: bounded(0) }
    }

    /// Starts a job in a thread that waits for one, or in a new one. An error says that no thread could be made, and
    /// that the job has ended unheard.
    pub fn start(&self, task: JobTask) -> std::io::Result<()> {
        let Err(refused) = self.hand_over.0.try_send(task) else { return Ok(()) };
        let (task, next) = (refused.into_inner(), self.hand_over.1.clone());
        crate::thread("job", crate::STACK, move || {
            task.run();
            while let Ok(task) = next.recv_timeout(IDLE) {
                task.run();
            }
        })
    }
}
