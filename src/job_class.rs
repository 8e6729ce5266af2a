//! A job class: its settings and what was learnt of its jobs.

use crate::estimators::DecayingAverage;
use crate::interface::Job;
use crate::job::ExecutionMode;
use crate::memory_factor::MemoryFactor;
use crate::settings::ClassSettings;
use crate::time::{TimeDelta, Timestamp};

/// How far back estimates and actual costs of a class count.
const COST_TIME_CONSTANT: TimeDelta = TimeDelta(5_000_000);
/// How far back the slowdown behind the baseline counts.
const SLOWDOWN_TIME_CONSTANT: TimeDelta = TimeDelta(15_000_000);
/// Typical jobs that the slowdown must rest on before it moves the baseline.
const MIN_JOBS_FOR_BASELINE: f64 = 5.0;
/// The part of the way that a lower slowdown moves the baseline.
const BASELINE_DROP: f64 = 0.05;
/// How fast the baseline rises otherwise.
const BASELINE_RISE: f64 = 1.002;
const MIN_BASELINE: f64 = 0.3;
/// Estimates are off by so much at most.
const MAX_BASELINE_IN_MEMORY: f64 = 2.0;

/// A single job counts with no more than this slowdown.
pub const MAX_JOB_SLOWDOWN: f64 = 6.0;

/// Time taken over unloaded time of a class's jobs, and what is usual for it without load.
///
/// Estimates are wrong by class, as the lowest recent slowdown shows.
#[derive(Clone, Copy, Default)]
pub struct ClassSlowdown {
    recent: DecayingAverage,
    /// The slowdown without load; none while it is unknown.
    pub baseline: Option<f64>,
}

impl ClassSlowdown {
    /// Notes a finished job's slowdown, weighed by how long it runs without load.
    pub fn observe(&mut self, now: Timestamp, slowdown: f64, run_ms: f64) {
        self.recent.add(now, SLOWDOWN_TIME_CONSTANT, slowdown.min(MAX_JOB_SLOWDOWN), run_ms);
    }

    /// Lets the baseline follow the slowdown, down fast and up slowly.
    fn update_baseline(&mut self, max: f64) {
        let slowdown = self.recent.mean_or(1.0);
        let follow = |baseline: f64| {
            if slowdown < baseline {
                baseline + BASELINE_DROP * (slowdown - baseline)
            } else {
                baseline * BASELINE_RISE
            }
        };
        self.baseline = Some(self.baseline.map_or(slowdown, follow).clamp(MIN_BASELINE, max));
    }
}

/// A job class: its settings and what was learnt of its jobs.
#[derive(Default)]
pub struct JobClass {
    /// Its settings.
    pub settings: ClassSettings,
    /// Actual work (ms on one thread), where engines report it.
    pub actual_cost: DecayingAverage,
    /// Estimated memory (MB).
    pub estimated_memory: DecayingAverage,
    /// Mean time that a dispatch takes (ms).
    pub latency_ms: Option<f64>,
    /// What grants are over estimates.
    pub memory_factor: MemoryFactor,
    estimated_cost: DecayingAverage,
    in_memory: ClassSlowdown,
    spilled: ClassSlowdown,
}

/// The most work and memory that an estimate is believed for.
#[derive(Clone, Copy, Debug)]
pub struct EstimateLimits {
    /// Work that the client could wait for, in milliseconds on one thread.
    pub work_ms: f64,
    /// Memory (MB) of the largest running engine.
    pub memory_mb: f64,
}

impl JobClass {
    /// A class of which nothing is learnt.
    pub fn new(settings: ClassSettings) -> JobClass {
        JobClass { settings, ..JobClass::default() }
    }

    /// The typical work of one job, in milliseconds on one thread.
    pub fn typical_work_ms(&self) -> f64 {
        self.actual_cost.mean_or(self.estimated_cost.mean_or(self.guessed_work_ms()))
    }

    /// The work of one job as the settings alone let guess it, in milliseconds on one thread.
    pub fn guessed_work_ms(&self) -> f64 {
        self.settings.latency_objective.as_millis_f64() * self.settings.threads / 2.0
    }

    /// How long a typical job runs on an unloaded engine (ms).
    pub fn typical_run_ms(&self) -> f64 {
        self.typical_work_ms() / self.settings.threads
    }

    /// Value per second of a typical job's work.
    pub fn typical_value_rate(&self) -> f64 {
        self.settings.priority_weight / (self.typical_work_ms().max(1.0) / 1000.0)
    }

    /// Actual work over estimated work.
    pub fn cost_bias(&self) -> f64 {
        let typical = self.typical_work_ms();
        typical / self.estimated_cost.mean_or(typical).max(1e-6)
    }

    /// Adds a job's estimates. Nothing is learnt of impossible ones: clients may be hostile.
    pub fn observe_estimates(&mut self, now: Timestamp, job: &Job, limits: EstimateLimits) {
        if let Some(work) = job.cost.map(TimeDelta::as_millis_f64).filter(|work| *work < limits.work_ms) {
            self.estimated_cost.add(now, COST_TIME_CONSTANT, work, 1.0);
        }
        if let Some(memory) = job.memory_mb.filter(|memory| *memory <= limits.memory_mb) {
            self.estimated_memory.add(now, COST_TIME_CONSTANT, memory, 1.0);
        }
    }

    /// Adds a job's actual work; it makes the slowdown exact, so that its baseline is 1.
    pub fn observe_actual_cost(&mut self, now: Timestamp, work: TimeDelta) {
        self.actual_cost.add(now, COST_TIME_CONSTANT, work.as_millis_f64(), 1.0);
        self.in_memory.baseline = Some(1.0);
    }

    /// The slowdown of jobs that run in this mode.
    pub fn slowdown_mut(&mut self, mode: ExecutionMode) -> &mut ClassSlowdown {
        match mode {
            ExecutionMode::InMemory => &mut self.in_memory,
            ExecutionMode::Spilled => &mut self.spilled,
        }
    }

    /// Lets both baselines follow the recent slowdown, where enough is known of it.
    pub fn update_baselines(&mut self, now: Timestamp) {
        let min_weight = MIN_JOBS_FOR_BASELINE * self.typical_work_ms() / self.settings.threads;
        let costs_are_estimates = self.actual_cost.weight() == 0.0;
        for slowdown in [&mut self.in_memory, &mut self.spilled] {
            slowdown.recent.decay_to(now, SLOWDOWN_TIME_CONSTANT);
        }
        if self.in_memory.recent.weight() > min_weight && costs_are_estimates {
            self.in_memory.update_baseline(MAX_BASELINE_IN_MEMORY);
        }
        if self.spilled.recent.weight() > min_weight {
            // Spilling may take any time.
            self.spilled.update_baseline(MAX_JOB_SLOWDOWN);
        }
    }

    /// How much longer jobs take without load because some of them spill, as often as recently.
    pub fn spill_factor(&self) -> f64 {
        let (in_memory, spilled) = (self.in_memory.recent.weight(), self.spilled.recent.weight());
        let baseline = self.in_memory.baseline.unwrap_or(1.0);
        let slower = self.spilled.baseline.map_or(1.0, |spilled| spilled / baseline);
        if spilled > 0.0 { (in_memory + spilled * slower) / (in_memory + spilled) } else { 1.0 }
    }
}
