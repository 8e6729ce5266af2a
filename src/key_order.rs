//! Order of the jobs of one key: which job is next, and which ones leave the queue if not all can meet their objective.

use crate::interface::JobId;
use crate::job::PendingJob;
use crate::job_class::JobClass;
use crate::time::{TimeDelta, Timestamp};
use std::collections::{BTreeMap, VecDeque};

/// The queues of open jobs of each key, for classes that are ordered by key.
#[derive(Default)]
pub struct KeyOrder {
    queues: BTreeMap<u64, VecDeque<JobId>>,
    /// End of the quiet period of a key, during which no job of it is dispatched.
    quiet_until: BTreeMap<u64, Timestamp>,
}

impl KeyOrder {
    /// Appends a submitted job to the queue of its key.
    pub fn enqueue(&mut self, key: u64, id: JobId) {
        self.queues.entry(key).or_default().push_back(id);
    }

    /// Removes a released job from the queue of its key.
    pub fn remove(&mut self, key: u64, id: JobId) {
        self.queues.entry(key).or_default().retain(|other| *other != id);
    }

    /// Starts the quiet period of a key because its last job may still be running.
    pub fn start_quiet_period(&mut self, key: u64, until: Timestamp) {
        self.quiet_until.insert(key, until);
    }

    /// End of a key's quiet period, if it has one.
    pub fn quiet_until(&self, key: u64) -> Option<Timestamp> {
        self.quiet_until.get(&key).copied()
    }

    /// Whether this job is the first one in the queue of its key and the key is not in a quiet period.
    pub fn is_next(&self, key: u64, id: JobId, now: Timestamp) -> bool {
        let first = self.queues.get(&key).and_then(VecDeque::front);
        first == Some(&id) && self.quiet_until(key).is_none_or(|until| until <= now)
    }

    /// The queue of a key, if it contains more than one job.
    pub fn contended_queue(&self, key: u64) -> Option<&VecDeque<JobId>> {
        self.queues.get(&key).filter(|queue| queue.len() > 1)
    }

    /// Drops empty queues and quiet periods that have ended.
    pub fn evict_unused(&mut self, now: Timestamp) {
        self.queues.retain(|_, queue| !queue.is_empty());
        self.quiet_until.retain(|_, until| *until > now);
    }

    /// Number of entries in the collections that can grow with use.
    pub fn retained_entries(&self) -> usize {
        self.queues.len() + self.quiet_until.len()
    }
}

/// A job that stays in the queue.
struct ScheduledJob {
    id: JobId,
    /// Expected run time (ms) per unit of priority weight.
    time_per_value: f64,
    run_time: TimeDelta,
}

/// Whether this job should leave the queue because the jobs, run one after another, can't all meet their objectives.
/// The jobs that leave are chosen so that most of the others meet theirs (Moore-Hodgson algorithm): whenever a job
/// would be late, the one with the highest run time per unit of priority weight so far leaves.
pub fn should_leave_queue(
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

/// The schedule's entry for a job, with its expected run time: the unloaded one, times the mean slowdown of the class
/// if that is above 1.
fn schedule(id: JobId, job: &PendingJob, class: &JobClass) -> ScheduledJob {
    let slowdown = |latency: f64| latency / class.typical_run_ms().max(1.0);
    let run_ms = job.run_ms * class.latency_ms.map_or(1.0, slowdown).max(1.0);
    let time_per_value = run_ms / class.settings.priority_weight.max(1e-9);
    ScheduledJob { id, time_per_value, run_time: TimeDelta::from_millis_f64(run_ms) }
}

/// The position of the job with the highest run time per unit of priority weight.
fn costliest(scheduled: &[ScheduledJob]) -> usize {
    let time_per_value = |position: &usize| scheduled[*position].time_per_value;
    (0..scheduled.len())
        .max_by(|a, b| time_per_value(a).total_cmp(&time_per_value(b)))
        .expect("the job just scheduled is there")
}
