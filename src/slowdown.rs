//! Estimates the slowdown of engines, classes and the pool from the elapsed times of jobs.

use crate::concurrency::{OVERLOAD_SLOWDOWN, SlowdownSample};
use crate::interface::{EngineId, JobId};
use crate::job::ExecutionMode;
use crate::state::ControllerState;

/// Minimum completed fraction of a job from which its total time is projected.
pub const MIN_COMPLETED_FRACTION: f64 = 0.02;

/// Weight of the slowdown of a running job, relative to that of a finished one.
const RUNNING_JOB_WEIGHT: f64 = 0.25;

/// Whether an elapsed time is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStage {
    /// The job still runs: the time is projected, or the time since its dispatch.
    Running,
    /// The job has finished in this time.
    Finished,
}

/// Which slowdown estimates an elapsed time contributes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowdownScope {
    /// Only that of the engine.
    Engine,
    /// Those of the engine and the pool.
    Pool,
}

/// The elapsed time of a job on an engine.
#[derive(Clone, Copy, Debug)]
pub struct ElapsedTime {
    /// The job that took the time.
    pub job: JobId,
    /// The engine that the job was sent to.
    pub engine: EngineId,
    /// Time from dispatch to the end of the job, projected or so far if the job still runs (ms).
    pub elapsed_ms: f64,
    /// Whether the time is final.
    pub stage: JobStage,
    /// Which estimates it contributes to.
    pub scope: SlowdownScope,
    /// Whether the job runs in memory or spills; the class has a baseline for each.
    pub mode: ExecutionMode,
}

/// Adds the slowdown of a job to the estimates: its elapsed time over its unloaded run time, divided by the baseline
/// of its class.
pub fn observe_elapsed(state: &mut ControllerState, time: ElapsedTime) {
    let (now, visibility) = (state.now, state.visibility());
    let job = &state.jobs[&time.job];
    let class = &mut state.classes[job.request.class];
    let run_ms = job.run_ms.max(1.0);
    let is_finished = time.stage == JobStage::Finished;
    let class_slowdown = class.slowdown_mut(time.mode);
    if is_finished {
        class_slowdown.observe(now, time.elapsed_ms / run_ms, run_ms);
    }
    // A gateway that starts during an overload may see no job finish, so that the baseline of its class is unknown.
    // Without load reports the gateway then assumes that the estimate is right.
    let assumed = (visibility.lacks_load_reports && !is_finished).then_some(1.0);
    let Some(baseline) = class_slowdown.baseline.or(assumed) else { return };
    let Some(engine) = state.pool.engines.get_mut(&time.engine) else { return };
    let slowdown = time.elapsed_ms / run_ms / baseline;
    let weight = if is_finished { 1.0 } else { RUNNING_JOB_WEIGHT };
    let sample = SlowdownSample { slowdown, run_ms, weight };
    // Without load reports, jobs on an engine that is known to be overloaded do not count towards the slowdown of the
    // pool: it is meant to show what jobs meet on the other engines.
    let is_known_overload =
        || visibility.lacks_load_reports && engine.limit.slowdown_at(now, visibility) > OVERLOAD_SLOWDOWN;
    if time.scope == SlowdownScope::Pool && !is_known_overload() {
        state.concurrency.observe_slowdown(now, sample);
    }
    engine.limit.observe_slowdown(now, visibility, sample);
}
