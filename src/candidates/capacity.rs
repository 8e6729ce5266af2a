//! Decides whether an engine has capacity for a job.

use super::REPLICATION_FACTOR;
use crate::concurrency::{LoadVisibility, OVERLOAD_SLOWDOWN};
use crate::engine::Engine;
use crate::health::MAX_CHECK_AGE;
use crate::job::PendingJob;
use crate::state::ControllerState;
use crate::traffic::WORK_TIME_CONSTANT;
use crate::utilization::{Demand, own_utilization, utilization};
use std::cell::OnceCell;

/// How far valuable jobs may exceed an engine's limit.
const MAX_LIMIT_FACTOR: f64 = 1.5;
/// The age of a fresh report, at most, in check intervals.
const MAX_CHECK_INTERVALS: f64 = 2.0;

/// Tests engines for capacity for one job.
pub struct CapacityTest<'a> {
    state: &'a ControllerState,
    visibility: LoadVisibility,
    demand: Demand,
    /// How far the job may exceed an engine's limit.
    limit_factor: f64,
    /// Mean work that this gateway recently sent to an engine (ms on one thread).
    pub mean_engine_work_ms: f64,
    pool_has_capacity: OnceCell<bool>,
}

impl<'a> CapacityTest<'a> {
    /// A test for this job.
    pub fn new(state: &'a ControllerState, job: &PendingJob, engine_count: usize) -> CapacityTest<'a> {
        let class = state.class_of(job);
        let sent = state.traffic.dispatched_work.sum_at(state.now, WORK_TIME_CONSTANT);
        // Classes that are worth more for their work than the usual job may exceed the limit.
        let value_rate = class.typical_value_rate();
        let relative_value = value_rate / state.traffic.value_rate.mean_or(value_rate).max(1e-9);
        CapacityTest {
            state,
            visibility: state.visibility(),
            demand: Demand { threads: class.settings.threads, memory_mb: job.memory_mb },
            limit_factor: relative_value.sqrt().clamp(1.0, MAX_LIMIT_FACTOR),
            mean_engine_work_ms: sent / engine_count as f64,
            pool_has_capacity: OnceCell::new(),
        }
    }

    /// Whether an engine has capacity for the job.
    pub fn has_capacity(&self, engine: &Engine) -> bool {
        let utilization = utilization(engine, self.demand, &self.state.traffic, self.state.now);
        let limit = engine.limit.max_utilization * self.state.slow_start().capacity_fraction(engine);
        if engine.limit.covers_all_gateways {
            return self.is_under_common_limit(engine, utilization, limit);
        }
        utilization <= limit
            || (engine.in_flight.dispatches == 0 && self.pool_has_capacity())
            || self.takes_turns(engine)
    }

    /// Whether an engine's jobs are past the slowdown of an overload.
    pub fn is_slowed_down(&self, engine: &Engine) -> bool {
        engine.limit.slowdown_at(self.state.now, self.visibility) >= OVERLOAD_SLOWDOWN
    }

    fn is_under_common_limit(&self, engine: &Engine, utilization: f64, limit: f64) -> bool {
        let lacks_load_reports = self.visibility.lacks_load_reports;
        let fits =
            utilization <= limit * self.limit_factor && (lacks_load_reports || !self.is_slowed_down(engine));
        let report_age = self.state.now - engine.reported.reported_at;
        let is_fresh = report_age <= MAX_CHECK_AGE.mul_f64(MAX_CHECK_INTERVALS);
        let allowed_unseen = || self.takes_turns(engine) || self.is_within_own_share(engine);
        fits && (is_fresh || lacks_load_reports && allowed_unseen())
    }

    /// On a turn at a warming engine the slow-start budget says how much: a share would leave most of it unused.
    fn takes_turns(&self, engine: &Engine) -> bool {
        self.state.slow_start().takes_turns(engine)
    }

    /// Whether the engine got no more than its share of what this gateway recently sent: as all gateways walk in the
    /// same order, this stands for what all of them sent.
    fn is_within_own_share(&self, engine: &Engine) -> bool {
        let share =
            REPLICATION_FACTOR * self.mean_engine_work_ms * self.state.slow_start().capacity_fraction(engine);
        engine.recent_work.sum_at(self.state.now, WORK_TIME_CONSTANT) <= share
    }

    /// Whether this gateway uses less of the pool than the limits together allow.
    fn pool_has_capacity(&self) -> bool {
        let total = |of: fn(&Engine) -> f64| self.state.pool.running_engines().map(of).sum::<f64>();
        let has_capacity = || {
            total(|engine| own_utilization(engine, Demand::NONE))
                < total(|engine| engine.limit.max_utilization)
        };
        *self.pool_has_capacity.get_or_init(has_capacity)
    }
}
