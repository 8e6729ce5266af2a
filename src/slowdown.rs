//! Learns the slowdown of engines, classes and the pool from the times that jobs take.

use crate::concurrency::{OVERLOAD_SLOWDOWN, SlowdownSample};
use crate::interface::{EngineId, JobId};
use crate::job::ExecutionMode;
use crate::state::ControllerState;

/// The time of the whole job is not projected from a smaller completed fraction.
pub const MIN_COMPLETED_FRACTION: f64 = 0.02;

/// Weight of the slowdown of a job that still runs.
const RUNNING_JOB_WEIGHT: f64 = 0.25;

/// Whether an elapsed time is final.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStage {
    /// It still runs: the time is projected or counted so far.
    Running,
    /// It is finished.
    Finished,
}

/// What an elapsed time is evidence of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowdownScope {
    /// Only its engine.
    Engine,
    /// Its engine and the pool.
    Pool,
}

/// A job's time on an engine.
#[derive(Clone, Copy, Debug)]
pub struct ElapsedTime {
    /// The job.
    pub job: JobId,
    /// The engine.
    pub engine: EngineId,
    /// The time of the whole job (ms).
    pub elapsed_ms: f64,
    /// Whether the time is final.
    pub stage: JobStage,
    /// What it is evidence of.
    pub scope: SlowdownScope,
    /// How the job runs.
    pub mode: ExecutionMode,
}

/// Notes a job's time against its unloaded run time, and what is usual for its class without load.
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
    // A gateway that starts in an overload believes estimates: no job comes back to show their baseline.
    let presumed = (visibility.lacks_load_reports && !is_finished).then_some(1.0);
    let Some(baseline) = class_slowdown.baseline.or(presumed) else { return };
    let Some(engine) = state.pool.engines.get_mut(&time.engine) else { return };
    let slowdown = time.elapsed_ms / run_ms / baseline;
    let weight = if is_finished { 1.0 } else { RUNNING_JOB_WEIGHT };
    let sample = SlowdownSample { slowdown, run_ms, weight };
    // What is known of an engine's overload is that engine's: the pool is what jobs meet elsewhere.
    let is_known_overload =
        || visibility.lacks_load_reports && engine.limit.slowdown_at(now, visibility) > OVERLOAD_SLOWDOWN;
    if time.scope == SlowdownScope::Pool && !is_known_overload() {
        state.concurrency.observe_slowdown(now, sample);
    }
    engine.limit.observe_slowdown(now, visibility, sample);
}
