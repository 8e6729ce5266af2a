//! Decides whether an engine has capacity for a job.

use super::REPLICATION_FACTOR;
use crate::concurrency::{LoadVisibility, OVERLOAD_SLOWDOWN};
use crate::engine::Engine;
use crate::health::MIN_CHECK_INTERVAL;
use crate::job::PendingJob;
use crate::state::ControllerState;
use crate::traffic::WORK_TIME_CONSTANT;
use crate::utilization::{Demand, own_utilization, utilization};
use std::cell::OnceCell;

/// Maximum multiple of a limit for all gateways that a job of a high-value class may use.
const MAX_LIMIT_FACTOR: f64 = 1.5;
/// Maximum age of a load report that counts as fresh, in multiples of [`MIN_CHECK_INTERVAL`].
const MAX_FRESH_REPORT_INTERVALS: f64 = 2.0;

/// Tests whether engines have capacity for one job.
pub struct CapacityTest<'a> {
    state: &'a ControllerState,
    visibility: LoadVisibility,
    demand: Demand,
    /// Multiple of a limit for all gateways that the job may use, from 1 to [`MAX_LIMIT_FACTOR`].
    limit_factor: f64,
    /// Work that this gateway recently dispatched, per running engine (ms on a single thread).
    pub mean_engine_work_ms: f64,
    pool_has_capacity: OnceCell<bool>,
}

impl<'a> CapacityTest<'a> {
    /// Creates the test for a job; `engine_count` is the number of running engines.
    pub fn new(state: &'a ControllerState, job: &PendingJob, engine_count: usize) -> CapacityTest<'a> {
        let class = state.class_of(job);
        let sent = state.traffic.dispatched_work.sum_at(state.now, WORK_TIME_CONSTANT);
        // Classes with a higher value per second of work than the recent mean may exceed a limit for all gateways.
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
            return self.is_under_shared_limit(engine, utilization, limit);
        }
        utilization <= limit
            || (engine.in_flight.dispatches == 0 && self.pool_has_capacity())
            || self.is_limited_by_slot_budget(engine)
    }

    /// Whether the slowdown of an engine's jobs has reached that of an overload.
    pub fn is_slowed_down(&self, engine: &Engine) -> bool {
        engine.limit.slowdown_at(self.state.now, self.visibility) >= OVERLOAD_SLOWDOWN
    }

    /// Whether the job fits under a limit that covers all gateways, judged by a fresh load report. Without load reports
    /// for each job, a slow-start slot or the engine's share of this gateway's work replaces the fresh report.
    fn is_under_shared_limit(&self, engine: &Engine, utilization: f64, limit: f64) -> bool {
        let lacks_load_reports = self.visibility.lacks_load_reports;
        let fits =
            utilization <= limit * self.limit_factor && (lacks_load_reports || !self.is_slowed_down(engine));
        let report_age = self.state.now - engine.reported.reported_at;
        let is_fresh = report_age <= MIN_CHECK_INTERVAL.mul_f64(MAX_FRESH_REPORT_INTERVALS);
        let allowed_without_report =
            || self.is_limited_by_slot_budget(engine) || self.is_within_own_share(engine);
        fits && (is_fresh || lacks_load_reports && allowed_without_report())
    }

    /// Whether the budget of slow-start slots already limits what this gateway sends to the engine. An equal share as a
    /// second limit would leave most of a slot's budget unused.
    fn is_limited_by_slot_budget(&self, engine: &Engine) -> bool {
        self.state.slow_start().uses_slots(engine)
    }

    /// Whether the work that this gateway recently sent to the engine is within the engine's share of all that it sent.
    /// As all gateways walk the engines in the same order, this approximates the work that all of them sent.
    fn is_within_own_share(&self, engine: &Engine) -> bool {
        let share =
            REPLICATION_FACTOR * self.mean_engine_work_ms * self.state.slow_start().capacity_fraction(engine);
        engine.recent_work.sum_at(self.state.now, WORK_TIME_CONSTANT) <= share
    }

    /// Whether the total utilization that this gateway causes is below the sum of the engines' limits.
    fn pool_has_capacity(&self) -> bool {
        let total = |of: fn(&Engine) -> f64| self.state.pool.running_engines().map(of).sum::<f64>();
        let has_capacity = || {
            total(|engine| own_utilization(engine, Demand::NONE))
                < total(|engine| engine.limit.max_utilization)
        };
        *self.pool_has_capacity.get_or_init(has_capacity)
    }
}
