//! Decides how much a warming engine gets: slow start after an engine's start.
//!
//! What all gateways send to a warming engine within one window has to stay under a stated multiple of what it can
//! do then. A gateway keeps to its equal share of that. Where that is less than a job, gateways take turns: time
//! since the engine's start is cut into slots of one window's length, and the engine, the slot and the gateway's own
//! number say whose slot it is, so that all agree without talking.

use crate::engine::Engine;
use crate::estimators::mix64;
use crate::job_class::JobClass;
use crate::pool::equal_share_is_below_one_thread;
use crate::settings::ControllerSettings;
use crate::time::Timestamp;

/// The part of the budget that is used: capacity and work are guesses.
const SHARED_BUDGET_FRACTION: f64 = 0.6;
/// The part of the budget that is used in one slot: a window meets two.
const SLOT_BUDGET_FRACTION: f64 = 0.4;
/// One slot in this many is for heavy jobs: most gateways have light jobs at hand, few a heavy one just then.
const HEAVY_SLOT_INTERVAL: i64 = 3;
/// Light jobs that a slot's holder is to have room for.
const LIGHT_JOBS_PER_HOLDER: f64 = 2.0;

/// What slow start rests on.
#[derive(Clone, Copy)]
pub struct SlowStart<'a> {
    /// The settings.
    pub settings: &'a ControllerSettings,
    /// The job classes.
    pub classes: &'a [JobClass],
    /// The time.
    pub now: Timestamp,
    /// When this gateway started: it may have forgotten what it sent before.
    pub gateway_started_at: Timestamp,
}

impl SlowStart<'_> {
    /// The part of its capacity that an engine has now, by the time since its start.
    pub fn capacity_fraction(&self, engine: &Engine) -> f64 {
        self.capacity_fraction_at(engine, self.now)
    }

    fn capacity_fraction_at(&self, engine: &Engine, at: Timestamp) -> f64 {
        let initial = self.settings.contract.initial_capacity_fraction;
        let warm_up_ms = self.settings.contract.warm_up_time.as_millis_f64().max(1.0);
        let grown = |started_at: Timestamp| (at - started_at).as_millis_f64().max(0.0) / warm_up_ms;
        let fraction = |started_at| (initial + (1.0 - initial) * grown(started_at)).min(1.0);
        engine.endpoint.started_at.map_or(1.0, fraction)
    }

    /// Typical work (ms on one thread) that this gateway may still send to an engine within the window; infinite
    /// for a warm engine.
    pub fn remaining_budget(&self, engine: &Engine) -> f64 {
        let window = self.settings.contract.warm_up_window;
        let Some(started_at) = engine.endpoint.started_at.filter(|started_at| !self.is_warm(*started_at))
        else {
            return f64::INFINITY;
        };
        let sent = engine.slow_start_work.sum_since(self.now - window);
        if equal_share_is_below_one_thread(engine, self.settings.gateway_count) {
            self.slot_budget(engine, started_at, sent)
        } else {
            let whole = self.whole_budget(engine, self.now);
            SHARED_BUDGET_FRACTION * whole / self.settings.gateway_count - sent
        }
    }

    /// Whether this gateway takes turns at this engine and it is warming up.
    pub fn takes_turns(&self, engine: &Engine) -> bool {
        equal_share_is_below_one_thread(engine, self.settings.gateway_count)
            && self.remaining_budget(engine) < f64::INFINITY
    }

    /// Whether the engine is warming up and this gateway may send something there now.
    pub fn has_finite_budget(&self, engine: &Engine) -> bool {
        (1e-9..f64::INFINITY).contains(&self.remaining_budget(engine))
    }

    /// No window that begins while the engine warms up may meet what is sent to a warm one: all gateways would send
    /// at once, and clocks differ.
    fn is_warm(&self, started_at: Timestamp) -> bool {
        let contract = &self.settings.contract;
        let unlimited_after = contract.warm_up_time + contract.warm_up_window;
        self.now >= started_at + unlimited_after || contract.warm_up_overload_factor <= 0.0
    }

    /// Work that all gateways together may send within one window.
    fn whole_budget(&self, engine: &Engine, at: Timestamp) -> f64 {
        let contract = &self.settings.contract;
        let capacity = contract.warm_up_overload_factor * self.capacity_fraction_at(engine, at);
        capacity * engine.cores * contract.warm_up_window.as_millis_f64()
    }

    /// What is left of this gateway's part of the present slot, if it holds one.
    fn slot_budget(&self, engine: &Engine, started_at: Timestamp, sent: f64) -> f64 {
        let (window, gateway_count) = (self.settings.contract.warm_up_window, self.settings.gateway_count);
        let slot = (self.now - started_at).0.max(0) / window.0.max(1);
        let slot_start = started_at + window.mul_f64(slot as f64);
        let budget = SLOT_BUDGET_FRACTION * self.whole_budget(engine, slot_start);
        let holders = (budget / self.work_per_holder(slot)).floor().clamp(1.0, gateway_count);
        let first_holder = (mix64(engine.name_hash ^ slot as u64) % gateway_count as u64) as f64;
        let position = (first_holder + self.settings.gateway_ordinal) % gateway_count;
        let remembers_window = self.gateway_started_at + window <= self.now;
        if position < holders && remembers_window { budget / holders - sent } else { 0.0 }
    }

    /// Work that one holder of a slot is to have room for.
    fn work_per_holder(&self, slot: i64) -> f64 {
        let guessed = self.classes.iter().map(JobClass::guessed_work_ms);
        if slot % HEAVY_SLOT_INTERVAL == 0 {
            guessed.fold(1.0, f64::max)
        } else {
            LIGHT_JOBS_PER_HOLDER * guessed.fold(f64::INFINITY, f64::min).max(1.0)
        }
    }
}
