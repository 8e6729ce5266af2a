//! Decides the order in which a job walks the engines.

use super::REPLICATION_FACTOR;
use super::capacity::CapacityTest;
use crate::concurrency::HEALTHY_SLOWDOWN;
use crate::interface::EngineId;
use crate::job::PendingJob;
use crate::state::ControllerState;

/// Limit on the threads in flight at all engines, as a multiple of the limit at engines that are not slowed down.
const LIMIT_FACTOR_WITH_SLOWED_ENGINES: f64 = 1.5;
/// Number of engines at the start of the order, besides two per replica, where no bulk load starts its walk: readers
/// visit them first.
const ENGINES_RESERVED_FOR_READERS: f64 = 2.0;

/// Where a job starts its walk along the hashed order, and in which direction.
///
/// Bulk loads walk the order backwards, so that readers of the same tables rarely share an engine with them. In a
/// large gateway fleet they start at a random position, as the bulk loads of other gateways are not known in time.
/// Without load reports, jobs with more work than this gateway's share of an engine also start at a random position:
/// the gateway's own figures can't balance them.
pub struct WalkStart {
    /// The order is walked backwards.
    backwards: bool,
    /// Number of engines that are skipped at the start of the walk.
    skipped: usize,
    /// If the order is walked forwards, the position of the first engine.
    rotation: usize,
}

impl WalkStart {
    /// The start for this job.
    ///
    /// `replicas` is the number of engines that serve its table group, `draw` a random number in [0, 1).
    pub fn new(
        state: &ControllerState,
        job: &PendingJob,
        test: &CapacityTest,
        replicas: f64,
        draw: f64,
    ) -> WalkStart {
        let engine_count = state.pool.running.len() as f64;
        let backwards = state.class_settings_of(job).locks_tables;
        let unreserved_count = (engine_count - ENGINES_RESERVED_FOR_READERS - 2.0 * replicas).max(0.0);
        let is_large_job = state.visibility().lacks_load_reports
            && job.work_ms > REPLICATION_FACTOR * test.mean_engine_work_ms;
        WalkStart {
            backwards,
            skipped: if backwards { (unreserved_count * draw) as usize } else { 0 },
            rotation: if is_large_job && !backwards { (engine_count * draw) as usize } else { 0 },
        }
    }

    /// The engines in the order of the walk.
    pub fn walk<'a>(&self, order: &'a [EngineId]) -> impl Iterator<Item = EngineId> + use<'a> {
        let (backwards, rotation, count) = (self.backwards, self.rotation, order.len());
        (self.skipped..count)
            .map(move |at| if backwards { order[count - 1 - at] } else { order[(at + rotation) % count] })
    }
}

/// Warming engines where this gateway holds a slow-start slot with budget left. They come first in the walk, since only
/// the holders of a slot may send there.
pub fn warming_engines_with_own_slot(state: &ControllerState) -> Vec<EngineId> {
    let slow_start = state.slow_start();
    let has_own_slot = |id: &EngineId| slow_start.has_warm_up_budget(&state.pool.engines[id]);
    state.pool.warming_up.iter().copied().filter(has_own_slot).collect()
}

/// Whether this gateway has reached its limit of threads in flight, which applies only without load reports.
///
/// The threads in flight are the rate of arriving work times the slowdown (Little's law), so that too many of them show
/// an overload earlier than results or progress do. Threads at slowed-down engines count only against a larger limit.
pub fn gateway_is_full(state: &ControllerState, test: &CapacityTest) -> bool {
    if !state.visibility().lacks_load_reports {
        return false;
    }
    let max_job_threads = state.classes.iter().fold(1.0, |max: f64, class| max.max(class.settings.threads));
    let expected = state.traffic.expected_threads(state.now, HEALTHY_SLOWDOWN) + max_job_threads;
    let limit = state.concurrency.max_threads().min(expected);
    let healthy = state.pool.engines.values().filter(|engine| !test.is_slowed_down(engine));
    let healthy_threads = healthy.map(|engine| engine.in_flight.threads).sum::<f64>();
    healthy_threads >= limit || state.pool.threads_in_flight() >= LIMIT_FACTOR_WITH_SLOWED_ENGINES * limit
}
