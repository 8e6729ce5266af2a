//! Decides whether a job is admitted, waits or is rejected: impossible jobs on arrival, late jobs and those that leave
//! their key's queue while they wait.

use crate::dispatch::{self, Target};
use crate::interface::{DispatchStatus, Job, JobId};
use crate::job::{JobEstimates, JobTimes, PendingJob};
use crate::job_class::EstimateLimits;
use crate::state::ControllerState;
use crate::time::{TimeDelta, Timestamp};
use crate::timers::Timer;
use crate::{candidates, completion, health, key_order, rules};

/// The least part of a job's unloaded run time that it needs; estimates are wrong.
const MIN_RUN_FRACTION: f64 = 0.7;
/// How soon waiting jobs are tried again after a result.
const RETRY_DELAY_AFTER_RESULT: TimeDelta = TimeDelta(10_000);
/// In a large fleet waiting jobs are tried again after this multiple of that delay, and up to twice as much by
/// chance.
const RETRY_DELAY_IN_LARGE_FLEET: f64 = 5.0;

/// Admits a job: sends it, lets it wait, or rejects it if it can't be done in time.
pub fn submit(state: &mut ControllerState, id: JobId, request: Job) {
    state.retry_budget.count_job(&state.settings, state.now);
    let job = pending_job(state, request);
    let answer_deadline = job.deadline - state.settings.answer_margin;
    let min_run = TimeDelta::from_millis_f64(MIN_RUN_FRACTION * job.run_ms);
    let is_possible = state.now + min_run <= answer_deadline;
    if is_possible {
        state.traffic.observe_arrival(state.now, &job, &state.classes[job.request.class]);
    }
    let checks = health::checks_per_job(&state.settings, state.pool.gateway_fleet_is_large());
    state.health_checks.add_tokens(checks);
    if let Some(key) = state.ordering_key(&job) {
        state.key_order.enqueue(key, id);
    }
    state.jobs.insert(id, job);
    state.timers.schedule_at(answer_deadline, Timer::AnswerDeadline(id));
    if is_possible { place(state, id) } else { completion::expire(state, id) }
}

/// A job with its deadlines and estimates; its class learns from the estimates.
fn pending_job(state: &mut ControllerState, request: Job) -> PendingJob {
    let now = state.now;
    let largest_memory_mb = state.pool.largest_memory_mb();
    let class = &mut state.classes[request.class];
    let time_left = request.time_left.min(class.settings.client_timeout);
    let deadline = (now + time_left).min(state.shutdown_at);
    let limits = EstimateLimits {
        work_ms: (deadline - now).as_millis_f64() * class.settings.threads,
        memory_mb: largest_memory_mb,
    };
    class.observe_estimates(now, &request, limits);
    let work_ms =
        request.cost.map_or(class.typical_work_ms(), |estimate| estimate.as_millis_f64() * class.cost_bias());
    let believed_memory = request.memory_mb.filter(|memory| *memory <= largest_memory_mb);
    let settings = &class.settings;
    let stretch = TimeDelta::from_millis_f64(settings.objective_stretch * work_ms / settings.threads);
    let estimates = JobEstimates {
        work_ms,
        run_ms: work_ms / settings.threads,
        memory_mb: believed_memory.unwrap_or(class.estimated_memory.mean_or(0.0)),
        value_rate: settings.priority_weight / (work_ms.max(1.0) / 1000.0),
    };
    let objective_deadline = now + settings.latency_objective + stretch;
    PendingJob::new(request, estimates, JobTimes { submitted_at: now, deadline, objective_deadline })
}

/// Sends a job to the engine that is chosen for it, or lets it wait until one may take it.
pub fn place(state: &mut ControllerState, id: JobId) {
    let target = candidates::choose(state, id);
    let sent = target.is_some_and(|target: Target| dispatch::send(state, id, target));
    if sent {
        return;
    }
    let job = state.jobs.get_mut(&id).expect("a job that is placed is pending");
    if job.start_waiting() {
        state.waiting.jobs.push(id);
    }
    if !state.waiting.placement_is_scheduled && state.pool.gateway_fleet_is_large() {
        let intervals = RETRY_DELAY_IN_LARGE_FLEET + RETRY_DELAY_IN_LARGE_FLEET * state.random.next_f64();
        schedule_retry(state, RETRY_DELAY_AFTER_RESULT.mul_f64(intervals));
    }
}

/// A dispatch has ended: capacity may have become free for the waiting jobs.
pub fn capacity_may_be_free(state: &mut ControllerState) {
    if !state.waiting.jobs.is_empty() && !state.waiting.placement_is_scheduled {
        schedule_retry(state, RETRY_DELAY_AFTER_RESULT);
    }
}

fn schedule_retry(state: &mut ControllerState, delay: TimeDelta) {
    state.waiting.placement_is_scheduled = true;
    state.schedule_in(delay, Timer::PlaceWaitingJobs);
}

/// The timer for the waiting jobs has fired.
pub fn retry_waiting_jobs(state: &mut ControllerState) {
    state.waiting.placement_is_scheduled = false;
    place_waiting_jobs(state);
}

/// What follows a dispatch that did not answer: another one where that is allowed and of use.
pub fn dispatch_failed(state: &mut ControllerState, id: JobId, status: DispatchStatus) {
    let Some(job) = state.jobs.get(&id).filter(|job| !job.is_finished()) else { return };
    let is_useful = unloaded_end(state, job) < job.objective_deadline;
    if status != DispatchStatus::Expired && is_useful && rules::may_dispatch_again(state, id) {
        place(state, id);
    } else {
        completion::expire(state, id);
    }
}

/// When a job would end that runs from now on without load.
fn unloaded_end(state: &ControllerState, job: &PendingJob) -> Timestamp {
    state.now + TimeDelta::from_millis_f64(job.run_ms)
}

/// Tries the waiting jobs in the order of their value for their work; the late ones expire.
pub fn place_waiting_jobs(state: &mut ControllerState) {
    // Where a job finds no capacity anywhere, none of its class that needs as much memory will.
    let mut memory_without_capacity_mb = vec![f64::INFINITY; state.classes.len()];
    for id in take_waiting_jobs(state) {
        let job = &state.jobs[&id];
        let (class, memory_mb) = (job.request.class, job.memory_mb);
        let is_alike = job.dispatch_count == 0 && !state.class_settings_of(job).ordered_by_key;
        if must_stop_waiting(state, id) {
            completion::expire(state, id);
        } else if is_alike && memory_mb >= memory_without_capacity_mb[class] {
            state.waiting.jobs.push(id);
        } else {
            state.jobs.entry(id).and_modify(PendingJob::stop_waiting);
            place(state, id);
            let waits_again = state.waiting.jobs.last() == Some(&id);
            if is_alike && state.waiting.found_no_capacity && waits_again {
                memory_without_capacity_mb[class] = memory_mb;
            }
        }
    }
}

/// Empties the waiting jobs; returns those that still wait, the most value for their work first.
fn take_waiting_jobs(state: &mut ControllerState) -> Vec<JobId> {
    let mut waiting = std::mem::take(&mut state.waiting.jobs);
    waiting.retain(|id| state.jobs.get(id).is_some_and(PendingJob::is_waiting));
    let value_rate = |id: &JobId| state.jobs[id].value_rate;
    waiting.sort_by(|a, b| value_rate(b).total_cmp(&value_rate(a)));
    waiting
}

/// Whether a waiting job is too late, past the time in which what may have run may be repeated, or one that its key's
/// queue can't serve.
fn must_stop_waiting(state: &ControllerState, id: JobId) -> bool {
    let job = &state.jobs[&id];
    unloaded_end(state, job) > job.objective_deadline
        || !rules::may_dispatch_again(state, id)
        || leaves_queue(state, id)
}

/// Whether a job whose turn it is leaves it to those behind it.
fn leaves_queue(state: &ControllerState, id: JobId) -> bool {
    let job = &state.jobs[&id];
    let is_its_turn = job.dispatch_count == 0 && rules::may_dispatch(state, id);
    let key = state.ordering_key(job).filter(|_| is_its_turn);
    let queue = key.and_then(|key| state.key_order.contended_queue(key));
    queue.is_some_and(|queue| key_order::leaves_queue(id, queue, &state.jobs, &state.classes, state.now))
}
