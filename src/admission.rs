//! Admission: whether a job is dispatched, waits or is rejected.
//!
//! Jobs that can't finish before their deadline are rejected on arrival. Waiting jobs are ended when they can no
//! longer meet their objective, may not be dispatched any more, or have to leave the queue of their key.

use crate::dispatch::{self, Target};
use crate::interface::{DispatchStatus, Job, JobId};
use crate::job::{JobEstimates, JobTimes, PendingJob};
use crate::job_class::EstimateLimits;
use crate::state::ControllerState;
use crate::time::{TimeDelta, Timestamp};
use crate::timers::Timer;
use crate::{candidates, completion, health, key_order, rules};

/// Fraction of a job's estimated unloaded run time that must be left before its deadline for the job to be admitted.
/// It is below 1 because estimates are inexact.
const MIN_RUN_FRACTION: f64 = 0.7;
/// Delay after a result until waiting jobs are placed again.
const PLACEMENT_DELAY: TimeDelta = TimeDelta::from_millis(10);
/// In a large gateway fleet, waiting jobs are placed again even without a result, after a random multiple of
/// [`PLACEMENT_DELAY`] between this and twice this.
const MIN_DELAYS_IN_LARGE_FLEET: f64 = 5.0;

/// Handles a submitted job: dispatches it, lets it wait, or rejects it if it can't finish in time.
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
    if is_possible { place(state, id) } else { completion::finish_without_result(state, id) }
}

/// Creates the pending job with its deadlines and estimates, and adds the estimates to those of its class.
fn pending_job(state: &mut ControllerState, request: Job) -> PendingJob {
    let now = state.now;
    let largest_memory_mb = state.pool.largest_memory_mb();
    let class = &mut state.classes[request.class];
    let time_left = request.time_left.min(class.settings.client_timeout);
    let deadline = (now + time_left).min(state.answered_by);
    let limits = EstimateLimits {
        work_ms: (deadline - now).as_millis_f64() * class.settings.threads,
        memory_mb: largest_memory_mb,
    };
    class.observe_estimates(now, &request, limits);
    let work_ms =
        request.cost.map_or(class.typical_work_ms(), |estimate| estimate.as_millis_f64() * class.cost_bias());
    let plausible_memory = request.memory_mb.filter(|memory| *memory <= largest_memory_mb);
    let settings = &class.settings;
    let stretch = TimeDelta::from_millis_f64(settings.objective_stretch * work_ms / settings.threads);
    let estimates = JobEstimates {
        work_ms,
        run_ms: work_ms / settings.threads,
        memory_mb: plausible_memory.unwrap_or(class.estimated_memory.mean_or(0.0)),
        value_rate: settings.priority_weight / (work_ms.max(1.0) / 1000.0),
    };
    let objective_deadline = now + settings.latency_objective + stretch;
    PendingJob::new(request, estimates, JobTimes { submitted_at: now, deadline, objective_deadline })
}

/// Dispatches a job to the engine chosen for it, or lets it wait if there is none.
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
        let delays = MIN_DELAYS_IN_LARGE_FLEET + MIN_DELAYS_IN_LARGE_FLEET * state.random.next_f64();
        schedule_placement(state, PLACEMENT_DELAY.mul_f64(delays));
    }
}

/// Schedules the placement of waiting jobs after a dispatch has ended and may have freed capacity.
pub fn capacity_may_be_free(state: &mut ControllerState) {
    if !state.waiting.jobs.is_empty() && !state.waiting.placement_is_scheduled {
        schedule_placement(state, PLACEMENT_DELAY);
    }
}

fn schedule_placement(state: &mut ControllerState, delay: TimeDelta) {
    state.waiting.placement_is_scheduled = true;
    state.schedule_in(delay, Timer::PlaceWaitingJobs);
}

/// Places the waiting jobs when their timer has fired.
pub fn placement_timer_fired(state: &mut ControllerState) {
    state.waiting.placement_is_scheduled = false;
    place_waiting_jobs(state);
}

/// Handles the end of a dispatch for a job that has no final answer yet. The job is placed again if the rules allow it
/// and it could still meet its objective. Otherwise, or if the dispatch expired, the job is ended.
pub fn retry_or_finish(state: &mut ControllerState, id: JobId, status: DispatchStatus) {
    let Some(job) = state.jobs.get(&id).filter(|job| !job.is_finished()) else { return };
    let is_useful = unloaded_end(state, job) < job.objective_deadline;
    if status != DispatchStatus::Expired && is_useful && rules::may_dispatch_again(state, id) {
        place(state, id);
    } else {
        completion::finish_without_result(state, id);
    }
}

/// When a job would end if it started now on an unloaded engine.
fn unloaded_end(state: &ControllerState, job: &PendingJob) -> Timestamp {
    state.now + TimeDelta::from_millis_f64(job.run_ms)
}

/// Places the waiting jobs, those with the highest value per second of work first; ends those that must not wait any
/// longer.
pub fn place_waiting_jobs(state: &mut ControllerState) {
    // The memory, by class, for which a job found no engine with capacity: comparable jobs that need as much keep
    // waiting without an attempt to place them.
    let mut memory_without_capacity_mb = vec![f64::INFINITY; state.classes.len()];
    for id in take_waiting_jobs(state) {
        let job = &state.jobs[&id];
        let (class, memory_mb) = (job.request.class, job.memory_mb);
        let is_comparable = job.dispatch_count == 0 && !state.class_settings_of(job).ordered_by_key;
        if must_stop_waiting(state, id) {
            completion::finish_without_result(state, id);
        } else if is_comparable && memory_mb >= memory_without_capacity_mb[class] {
            state.waiting.jobs.push(id);
        } else {
            state.jobs.entry(id).and_modify(PendingJob::stop_waiting);
            place(state, id);
            let waits_again = state.waiting.jobs.last() == Some(&id);
            if is_comparable && state.waiting.found_no_capacity && waits_again {
                memory_without_capacity_mb[class] = memory_mb;
            }
        }
    }
}

/// Empties the list of waiting jobs; returns those that still wait, the highest value per second of work first.
fn take_waiting_jobs(state: &mut ControllerState) -> Vec<JobId> {
    let mut waiting = std::mem::take(&mut state.waiting.jobs);
    waiting.retain(|id| state.jobs.get(id).is_some_and(PendingJob::is_waiting));
    let value_rate = |id: &JobId| state.jobs[id].value_rate;
    waiting.sort_by(|a, b| value_rate(b).total_cmp(&value_rate(a)));
    waiting
}

/// Whether a waiting job can no longer meet its objective, may not be dispatched any more, or has to leave the queue
/// of its key.
fn must_stop_waiting(state: &ControllerState, id: JobId) -> bool {
    let job = &state.jobs[&id];
    unloaded_end(state, job) > job.objective_deadline
        || !rules::may_dispatch_again(state, id)
        || should_leave_queue(state, id)
}

/// Whether the next job of a key should leave the queue so that more of the jobs behind it meet their objectives.
fn should_leave_queue(state: &ControllerState, id: JobId) -> bool {
    let job = &state.jobs[&id];
    let is_next = job.dispatch_count == 0 && rules::may_dispatch(state, id);
    let key = state.ordering_key(job).filter(|_| is_next);
    let queue = key.and_then(|key| state.key_order.contended_queue(key));
    queue
        .is_some_and(|queue| key_order::should_leave_queue(id, queue, &state.jobs, &state.classes, state.now))
}
