//! The threads that run jobs. A thread whose job has finished waits for another one for a while, since starting and
//! ending a thread costs more processor time than a job does. The next job goes to the thread that became idle last, so
//! that threads that the current load does not need time out.
//!
//! These threads are not joined: each ends after the idle timeout, and the process may exit before.

use crate::job::task::JobTask;
use crate::lifecycle::sync::lock;
use crate::lifecycle::threads::{self, SMALL_STACK_BYTES};
use crossbeam_channel::{Receiver, Sender, bounded};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, ThreadId};
use std::time::Duration;

/// A thread that gets no job for this time ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// The threads that run jobs. All clones refer to the same pool.
#[derive(Clone, Default)]
pub struct WorkerPool {
    /// The threads that wait for a job; the one that became idle last is at the end.
    idle: Arc<Mutex<Vec<IdleWorker>>>,
}

struct IdleWorker {
    thread: ThreadId,
    next_task: Sender<JobTask>,
}

impl WorkerPool {
    /// Runs a job in an idle thread, or in a new one if none is idle.
    ///
    /// # Errors
    /// The system's error if it refuses to create a thread. The job is dropped then, and its listener is not notified.
    pub fn start(&self, task: JobTask) -> io::Result<()> {
        let idle_worker = self.idle().pop();
        let task = match idle_worker {
            // A worker that was removed from the list still receives from its channel.
            Some(worker) => match worker.next_task.try_send(task) {
                Ok(()) => return Ok(()),
                Err(refused) => refused.into_inner(),
            },
            None => task,
        };
        let pool = self.clone();
        threads::spawn("job", SMALL_STACK_BYTES, Box::new(move || pool.work(task)))
    }

    fn idle(&self) -> MutexGuard<'_, Vec<IdleWorker>> {
        lock(&self.idle)
    }

    fn work(&self, first: JobTask) {
        let (sender, receiver) = bounded(1);
        let mut next = Some(first);
        while let Some(task) = next.take() {
            task.run();
            next = self.wait_for_task(&sender, &receiver);
        }
    }

    /// The next job for this thread, if one arrives before the idle timeout.
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
        // Another thread has removed this one from the list to send it a job.
        receiver.recv().ok()
    }
}
