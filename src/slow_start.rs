//! Slow start: decides how much work a gateway may send to an engine that has recently started.
//!
//! The work that all gateways send to a warming engine within any window of a configured length must stay below a
//! budget: a configured multiple of the work that the engine can do in that time. Each gateway uses an equal share of
//! the budget. If an equal share of the engine is less than one thread, the time since the engine's start is divided
//! into slots of one window each, and only some gateways, the holders of a slot, may send during it. The holders follow
//! from the engine's name, the slot's number and the gateway's ordinal, so that all gateways agree without
//! communication.

use crate::engine::Engine;
use crate::estimators::mix64;
use crate::job_class::JobClass;
use crate::pool::equal_share_is_below_one_thread;
use crate::settings::ControllerSettings;
use crate::time::Timestamp;

/// Fraction of the budget that is used with equal shares; the rest allows for errors in the estimates of capacity and
/// work.
const SHARED_BUDGET_FRACTION: f64 = 0.6;
/// Fraction of the budget that is used in one slot: a window can overlap two slots.
const SLOT_BUDGET_FRACTION: f64 = 0.4;
/// One in this many slots is sized for the heaviest job class. The others are sized for the lightest one, as most
/// gateways have light jobs pending and few have a heavy one at that moment.
const HEAVY_SLOT_INTERVAL: i64 = 3;
/// Number of jobs of the lightest class that the budget of a slot should allow each of its holders.
const LIGHT_JOBS_PER_HOLDER: f64 = 2.0;

/// Slow-start limits, computed from a view of the controller's state.
#[derive(Clone, Copy)]
pub struct SlowStart<'a> {
    /// The settings: the contract, the number of gateways and the ordinal of this gateway.
    pub settings: &'a ControllerSettings,
    /// The job classes; their work, as guessed from the settings, determines how many gateways hold a slot.
    pub classes: &'a [JobClass],
    /// Time of the event that is being handled.
    pub now: Timestamp,
    /// When this gateway started; what it sent before a restart is unknown.
    pub gateway_started_at: Timestamp,
}

impl SlowStart<'_> {
    /// Fraction of its full capacity that an engine has now, by the time since its start.
    pub fn capacity_fraction(&self, engine: &Engine) -> f64 {
        self.capacity_fraction_at(engine, self.now)
    }

    fn capacity_fraction_at(&self, engine: &Engine, at: Timestamp) -> f64 {
        let initial = self.settings.contract.initial_capacity_fraction;
        let warm_up_ms = self.settings.contract.warm_up_time.as_millis_f64().max(1.0);
        let warm_up_progress =
            |started_at: Timestamp| (at - started_at).as_millis_f64().max(0.0) / warm_up_ms;
        let fraction = |started_at| (initial + (1.0 - initial) * warm_up_progress(started_at)).min(1.0);
        engine.endpoint.started_at.map_or(1.0, fraction)
    }

    /// Work (ms on a single thread) that this gateway may still send to an engine within the window. Each job that was
    /// sent counts with its class's typical work. Infinite for a warm engine.
    pub fn remaining_budget_ms(&self, engine: &Engine) -> f64 {
        let window = self.settings.contract.warm_up_window;
        let Some(started_at) = engine.endpoint.started_at.filter(|started_at| !self.is_warm(*started_at))
        else {
            return f64::INFINITY;
        };
        let sent = engine.slow_start_work.sum_since(self.now - window);
        if equal_share_is_below_one_thread(engine, self.settings.gateway_count) {
            self.slot_budget_ms(engine, started_at, sent)
        } else {
            let total = self.total_budget_ms(engine, self.now);
            SHARED_BUDGET_FRACTION * total / self.settings.gateway_count - sent
        }
    }

    /// Whether the engine is warming up and its budget is divided into slots.
    pub fn uses_slots(&self, engine: &Engine) -> bool {
        equal_share_is_below_one_thread(engine, self.settings.gateway_count)
            && self.remaining_budget_ms(engine) < f64::INFINITY
    }

    /// Whether the engine is warming up and this gateway has budget left for it.
    pub fn has_warm_up_budget(&self, engine: &Engine) -> bool {
        (1e-9..f64::INFINITY).contains(&self.remaining_budget_ms(engine))
    }

    /// Whether slow start does not limit the engine: one window has passed since the end of its warm-up time, or the
    /// contract sets no limit. A window that begins during warm-up must not contain unlimited dispatches, as all
    /// gateways would send at the same moment and clocks differ.
    fn is_warm(&self, started_at: Timestamp) -> bool {
        let contract = &self.settings.contract;
        let unlimited_after = contract.warm_up_time + contract.warm_up_window;
        self.now >= started_at + unlimited_after || contract.warm_up_overload_factor <= 0.0
    }

    /// Work (ms on a single thread) that all gateways together may send within one window.
    fn total_budget_ms(&self, engine: &Engine, at: Timestamp) -> f64 {
        let contract = &self.settings.contract;
        let capacity = contract.warm_up_overload_factor * self.capacity_fraction_at(engine, at);
        capacity * engine.cores * contract.warm_up_window.as_millis_f64()
    }

    /// What is left of this gateway's budget in the current slot (ms on a single thread).
    ///
    /// It is 0 if the gateway is not a holder of the slot. It is also 0 if the gateway started less than a window ago,
    /// as it may have sent work before that it does not know of.
    fn slot_budget_ms(&self, engine: &Engine, started_at: Timestamp, sent: f64) -> f64 {
        let (window, gateway_count) = (self.settings.contract.warm_up_window, self.settings.gateway_count);
        let slot = (self.now - started_at).0.max(0) / window.0.max(1);
        let slot_start = started_at + window.mul_f64(slot as f64);
        let budget = SLOT_BUDGET_FRACTION * self.total_budget_ms(engine, slot_start);
        let holders = (budget / self.work_per_holder_ms(slot)).floor().clamp(1.0, gateway_count);
        let first_holder = (mix64(engine.name_hash ^ slot as u64) % gateway_count as u64) as f64;
        let position = (first_holder + self.settings.gateway_ordinal) % gateway_count;
        let knows_sent_work = self.gateway_started_at + window <= self.now;
        if position < holders && knows_sent_work { budget / holders - sent } else { 0.0 }
    }

    /// Work (ms on a single thread) that the budget of a slot should allow each of its holders.
    fn work_per_holder_ms(&self, slot: i64) -> f64 {
        let guessed = self.classes.iter().map(JobClass::guessed_work_ms);
        if slot % HEAVY_SLOT_INTERVAL == 0 {
            guessed.fold(1.0, f64::max)
        } else {
            LIGHT_JOBS_PER_HOLDER * guessed.fold(f64::INFINITY, f64::min).max(1.0)
        }
    }
}
