//! Decides which job of a key is next, and which jobs leave the queue of a key that is asked too much of.

use crate::interface::JobId;
use crate::job::PendingJob;
use crate::job_class::JobClass;
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// The open jobs of each key whose jobs run in the order of arrival.
#[derive(Default)]
pub struct KeyOrder {
    queues: BTreeMap<u64, VecDeque<JobId>>,
    quiet_until: BTreeMap<u64, Timestamp>,
}

impl KeyOrder {
    /// A job of this key was submitted.
    pub fn enqueue(&mut self, key: u64, id: JobId) {
        self.queues.entry(key).or_default().push_back(id);
    }

    /// A job of this key is over.
    pub fn remove(&mut self, key: u64, id: JobId) {
        self.queues.entry(key).or_default().retain(|other| *other != id);
    }

    /// Lets a key rest: it is unknown whether its last job still runs.
    pub fn keep_quiet(&mut self, key: u64, until: Timestamp) {
        self.quiet_until.insert(key, until);
    }

    /// Until when a key rests.
    pub fn quiet_until(&self, key: u64) -> Option<Timestamp> {
        self.quiet_until.get(&key).copied()
    }

    /// Whether this job is the next one of its key and the key does not rest.
    pub fn is_next(&self, key: u64, id: JobId, now: Timestamp) -> bool {
        let first = self.queues.get(&key).and_then(VecDeque::front);
        first == Some(&id) && self.quiet_until(key).is_none_or(|until| until <= now)
    }

    /// The queue of a key, if more than one job is in it.
    pub fn contended_queue(&self, key: u64) -> Option<&VecDeque<JobId>> {
        self.queues.get(&key).filter(|queue| queue.len() > 1)
    }

    /// Drops empty queues and rests that are over.
    pub fn evict_unused(&mut self, now: Timestamp) {
        self.queues.retain(|_, queue| !queue.is_empty());
        self.quiet_until.retain(|_, until| *until > now);
    }

    /// Number of entries that may grow with use.
    pub fn retained_entries(&self) -> usize {
        self.queues.len() + self.quiet_until.len()
    }
}

/// A job that keeps its place in the queue.
struct ScheduledJob {
    id: JobId,
    /// Time for its value.
    time_per_value: f64,
    run_time: TimeDelta,
}

/// Whether this job is one of those without which most of the queue meet their objective, where one after the other
/// they can't all meet it (the Moore-Hodgson algorithm).
pub fn leaves_queue(
    id: JobId,
    queue: &VecDeque<JobId>,
    jobs: &BTreeMap<JobId, PendingJob>,
    classes: &[JobClass],
    now: Timestamp,
) -> bool {
    let mut end = now;
    let mut scheduled: Vec<ScheduledJob> = Vec::new();
    for other in queue {
        let job = &jobs[other];
        let next = schedule(*other, job, &classes[job.request.class]);
        end = end + next.run_time;
        scheduled.push(next);
        if end > job.objective_deadline {
            let removed = scheduled.swap_remove(costliest(&scheduled));
            end = end - removed.run_time;
        }
    }
    scheduled.iter().all(|other| other.id != id)
}

fn schedule(id: JobId, job: &PendingJob, class: &JobClass) -> ScheduledJob {
    let slower = |latency: f64| latency / class.typical_run_ms().max(1.0);
    let run_ms = job.run_ms * class.latency_ms.map_or(1.0, slower).max(1.0);
    let time_per_value = run_ms / class.settings.priority_weight.max(1e-9);
    ScheduledJob { id, time_per_value, run_time: TimeDelta::from_millis_f64(run_ms) }
}

/// The position of the job that takes most time for its value.
fn costliest(scheduled: &[ScheduledJob]) -> usize {
    let time_per_value = |position: &usize| scheduled[*position].time_per_value;
    (0..scheduled.len())
        .max_by(|a, b| time_per_value(a).total_cmp(&time_per_value(b)))
        .expect("the job just scheduled is there")
}
