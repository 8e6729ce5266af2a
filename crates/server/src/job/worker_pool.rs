//! Threads that carry out jobs. A thread whose job is over waits for the next one for a while, since making and ending
//! a thread costs a gateway with part of a core more than the job does. The thread that has waited for the shortest
//! time gets the next job, so that the surplus of a burst ends.
//!
//! Nobody joins these threads: each ends by itself once it has been idle, and the process may end while they wait.

use crate::job::task::JobTask;
use crate::lifecycle::threads::{self, STACK_BYTES};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, ThreadId};
use std::time::Duration;

/// A thread without a job ends after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The threads that carry out jobs. All clones are handles on the same pool.
#[derive(Clone, Default)]
pub struct WorkerPool {
    /// Threads that wait for a job; the one that began to wait last stands last.
    idle: Arc<Mutex<Vec<IdleWorker>>>,
}

struct IdleWorker {
    thread: ThreadId,
    next_task: Sender<JobTask>,
}

impl WorkerPool {
    /// Starts a job in a thread that waits for one, or in a new one.
    ///
    /// # Errors
    /// What the system says where it refuses a new thread. The job has been dropped then, without a report.
    pub fn start(&self, task: JobTask) -> io::Result<()> {
        let idle_worker = self.idle().pop();
        let task = match idle_worker {
            // A worker that is taken off the list waits for this.
            Some(worker) => match worker.next_task.try_send(task) {
                Ok(()) => return Ok(()),
                Err(refused) => refused.into_inner(),
            },
            None => task,
        };
        let pool = self.clone();
        threads::spawn("job", STACK_BYTES, Box::new(move || pool.work(task)))
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleWorker>> {
        // A panic ends the program, so that no thread sees a poisoned state.
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn work(&self, first: JobTask) {
        let (sender, receiver) = bounded(1);
        let mut next = Some(first);
        while let Some(task) = next.take() {
            task.run();
            next = self.wait_for_task(&sender, &receiver);
        }
    }

    /// The next job for this thread, if one comes in time.
    fn wait_for_task(&self, sender: &Sender<JobTask>, receiver: &Receiver<JobTask>) -> Option<JobTask> {
        let thread = thread::current().id();
        self.idle().push(IdleWorker { thread, next_task: sender.clone() });
        if let Ok(task) = receiver.recv_timeout(IDLE_TIMEOUT) {
            return Some(task);
        }
        let mut idle = self.idle();
        if let Some(position) = idle.iter().position(|worker| worker.thread == thread) {
            idle.remove(position);
            return None;
        }
        drop(idle);
        // It was taken off the list meanwhile: a job is on its way.
        receiver.recv().ok()
    }
}
