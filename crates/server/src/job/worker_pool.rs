//! Threads that carry out jobs with something sent. A thread whose job is over waits a while for the next one: making
//! and ending a thread costs a gateway with part of a core more than the job. The one that waits since the shortest time
//! gets the next job, so that those that a burst has left over end.

use crate::job::task::JobTask;
use crate::lifecycle::threads::{self, STACK_BYTES};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// A thread without a job ends after this time.
const IDLE: Duration = Duration::from_secs(1);

#[derive(Clone, Default)]
pub struct Workers {
    /// Threads that wait for a job, the last one to wait last.
    idle: Arc<Mutex<Vec<IdleWorker>>>,
}

struct IdleWorker {
    thread: std::thread::ThreadId,
    next: Sender<JobTask>,
}

impl Workers {
    fn idle(&self) -> MutexGuard<'_, Vec<IdleWorker>> {
        // A panic ends the program, so that nobody sees what a panic left behind.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a job in a thread that waits for one, or in a new one. An error says that no thread could be made, and
    /// that the job has ended unheard.
    pub fn start(&self, task: JobTask) -> std::io::Result<()> {
        let idle = self.idle().pop();
        let task = match idle {
            // Whoever is taken off the list waits for this.
            Some(worker) => match worker.next.try_send(task) {
                Ok(()) => return Ok(()),
                Err(refused) => refused.into_inner(),
            },
            None => task,
        };
        let workers = self.clone();
        threads::spawn("job", STACK_BYTES, Box::new(move || workers.work(task)))
    }

    fn work(&self, task: JobTask) {
        let (sender, next) = bounded(1);
        let mut task = Some(task);
        while let Some(job) = task.take() {
            job.run();
            task = self.wait(&sender, &next);
        }
    }

    /// The next job for this thread, if one comes in time.
    fn wait(&self, sender: &Sender<JobTask>, next: &Receiver<JobTask>) -> Option<JobTask> {
        let thread = std::thread::current().id();
        self.idle().push(IdleWorker { thread, next: sender.clone() });
        if let Ok(task) = next.recv_timeout(IDLE) {
            return Some(task);
        }
        let mut idle = self.idle();
        if let Some(position) = idle.iter().position(|worker| worker.thread == thread) {
            idle.remove(position);
            return None;
        }
        drop(idle);
        // It has been taken off the list meanwhile: a job is on its way.
        next.recv().ok()
    }
}
