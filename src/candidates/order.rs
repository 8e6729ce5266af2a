//! Decides the order in which a job walks the engines.

use super::REPLICATION_FACTOR;
use super::capacity::CapacityTest;
use crate::concurrency::HEALTHY_SLOWDOWN;
use crate::interface::EngineId;
use crate::job::PendingJob;
use crate::state::ControllerState;

/// Threads that may be in flight with those at slowed-down engines, over the limit on the others.
const LIMIT_WITH_SLOWED_ENGINES: f64 = 1.5;
/// Engines at the start of the order that bulk loads leave to readers.
const ENGINES_FOR_READERS: f64 = 2.0;

/// Where a job begins its walk along the hashed order, and in which direction.
///
/// Bulk loads walk it from its far end, so that readers seldom meet them, and begin anywhere there where other
/// gateways' loads can't be known in time. Jobs of more than this gateway's share of an engine begin anywhere, too:
/// its own walk can't level them.
pub struct WalkStart {
    from_far_end: bool,
    first: usize,
    rotation: usize,
}

impl WalkStart {
    /// The start for this job.
    ///
    /// `replicas` is the number of engines that its table group is kept on, `draw` a number in [0, 1).
    pub fn new(
        state: &ControllerState,
        job: &PendingJob,
        test: &CapacityTest,
        replicas: f64,
        draw: f64,
    ) -> WalkStart {
        let engine_count = state.pool.running.len() as f64;
        let from_far_end = state.class_settings_of(job).locks_tables;
        let beyond_readers = (engine_count - ENGINES_FOR_READERS - 2.0 * replicas).max(0.0);
        let is_large = state.visibility().lacks_load_reports
            && job.work_ms > REPLICATION_FACTOR * test.mean_engine_work_ms;
        WalkStart {
            from_far_end,
            first: if from_far_end { (beyond_readers * draw) as usize } else { 0 },
            rotation: if is_large && !from_far_end { (engine_count * draw) as usize } else { 0 },
        }
    }

    /// The engines in the order of the walk.
    pub fn walk<'a>(&self, order: &'a [EngineId]) -> impl Iterator<Item = EngineId> + use<'a> {
        let (from_far_end, rotation, count) = (self.from_far_end, self.rotation, order.len());
        (self.first..count)
            .map(move |at| if from_far_end { order[count - 1 - at] } else { order[(at + rotation) % count] })
    }
}

/// Warming engines that this gateway may send to now: they come first, since no other may.
pub fn warming_engines_of_own_turn(state: &ControllerState) -> Vec<EngineId> {
    let slow_start = state.slow_start();
    let is_own = |id: &EngineId| slow_start.has_finite_budget(&state.pool.engines[id]);
    state.pool.warming_up.iter().copied().filter(is_own).collect()
}

/// Whether this gateway has all in flight that it may have where loads are unknown.
///
/// Jobs in flight are the arriving work times slowdown: too many are an overload that other signs show late. What is
/// stuck at slowed-down engines counts less.
pub fn gateway_is_full(state: &ControllerState, test: &CapacityTest) -> bool {
    if !state.visibility().lacks_load_reports {
        return false;
    }
    let widest = state.classes.iter().fold(1.0, |most: f64, class| most.max(class.settings.threads));
    let expected = state.traffic.expected_threads(state.now, HEALTHY_SLOWDOWN) + widest;
    let limit = state.concurrency.limit().min(expected);
    let healthy = state.pool.engines.values().filter(|engine| !test.is_slowed_down(engine));
    let healthy_threads = healthy.map(|engine| engine.in_flight.threads).sum::<f64>();
    healthy_threads >= limit || state.pool.threads_in_flight() >= LIMIT_WITH_SLOWED_ENGINES * limit
}
