//! A job class: its settings and what was learned from its jobs.

use crate::estimators::DecayingAverage;
use crate::interface::Job;
use crate::job::ExecutionMode;
use crate::memory_factor::MemoryFactor;
use crate::settings::ClassSettings;
use crate::time::{TimeDelta, Timestamp};

/// Time constant of the decay of a class's mean estimated and actual costs.
const COST_TIME_CONSTANT: TimeDelta = TimeDelta::from_millis(5_000);
/// Time constant of the decay of a class's mean slowdown, which the baseline follows.
const SLOWDOWN_TIME_CONSTANT: TimeDelta = TimeDelta::from_millis(15_000);
/// Minimum weight of the mean slowdown, in typical jobs, for it to move the baseline.
const MIN_JOBS_FOR_BASELINE: f64 = 5.0;
/// Fraction of the difference by which each update moves the baseline towards a lower slowdown.
const BASELINE_DROP: f64 = 0.05;
/// Factor by which each update raises the baseline otherwise.
const BASELINE_RISE: f64 = 1.002;
/// Minimum baseline of both execution modes.
const MIN_BASELINE: f64 = 0.3;
/// Maximum baseline of jobs that don't spill: the actual cost is assumed to be no more than this multiple of the
/// estimate.
const MAX_BASELINE_IN_MEMORY: f64 = 2.0;

/// Maximum slowdown with which a single job enters a mean.
pub const MAX_JOB_SLOWDOWN: f64 = 6.0;

/// Slowdown of a class's jobs: the elapsed time divided by the estimated run time on an unloaded engine.
///
/// The estimates of one class tend to be wrong by the same factor. The lowest recent mean slowdown shows this factor,
/// which is kept as the baseline.
#[derive(Clone, Copy, Default)]
pub struct ClassSlowdown {
    recent: DecayingAverage,
    /// The slowdown that jobs show without load; `None` while it is unknown.
    pub baseline: Option<f64>,
}

impl ClassSlowdown {
    /// Adds a finished job's slowdown, weighted with the job's unloaded run time.
    pub fn observe(&mut self, now: Timestamp, slowdown: f64, run_ms: f64) {
        self.recent.add(now, SLOWDOWN_TIME_CONSTANT, slowdown.min(MAX_JOB_SLOWDOWN), run_ms);
    }

    /// Moves the baseline towards the mean slowdown: fast if that is lower, slowly if not.
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

/// A job class: its settings and what was learned from its jobs.
#[derive(Default)]
pub struct JobClass {
    /// The settings of the class.
    pub settings: ClassSettings,
    /// Mean actual work (ms on a single thread), if engines report it.
    pub actual_cost: DecayingAverage,
    /// Mean estimated memory (MB).
    pub estimated_memory: DecayingAverage,
    /// Moving average of the time that a dispatch takes (ms); `None` before the first one.
    pub latency_ms: Option<f64>,
    /// Factor by which memory grants exceed the estimates.
    pub memory_factor: MemoryFactor,
    estimated_cost: DecayingAverage,
    in_memory: ClassSlowdown,
    spilled: ClassSlowdown,
}

/// Maximum plausible estimates; the class learns nothing from higher ones.
#[derive(Clone, Copy, Debug)]
pub struct EstimateLimits {
    /// Work that can be done while the client waits, in milliseconds on a single thread.
    pub work_ms: f64,
    /// Memory (MB) of the largest running engine.
    pub memory_mb: f64,
}

impl JobClass {
    /// A class whose jobs are still unknown.
    pub fn new(settings: ClassSettings) -> JobClass {
        JobClass { settings, ..JobClass::default() }
    }

    /// Mean work of a job, in milliseconds on a single thread: actual if reported, else estimated, else guessed.
    pub fn typical_work_ms(&self) -> f64 {
        self.actual_cost.mean_or(self.estimated_cost.mean_or(self.guessed_work_ms()))
    }

    /// A guess of a job's work from the settings alone, in milliseconds on a single thread: a job that takes half of
    /// its latency objective on all of its threads.
    pub fn guessed_work_ms(&self) -> f64 {
        self.settings.latency_objective.as_millis_f64() * self.settings.threads / 2.0
    }

    /// Run time of a typical job on an unloaded engine (ms).
    pub fn typical_run_ms(&self) -> f64 {
        self.typical_work_ms() / self.settings.threads
    }

    /// Value (priority weight) per second of work of a typical job.
    pub fn typical_value_rate(&self) -> f64 {
        self.settings.priority_weight / (self.typical_work_ms().max(1.0) / 1000.0)
    }

    /// Mean actual work divided by mean estimated work; 1 while either is unknown.
    pub fn cost_bias(&self) -> f64 {
        let typical = self.typical_work_ms();
        typical / self.estimated_cost.mean_or(typical).max(1e-6)
    }

    /// Adds a job's estimates, except implausible ones, since clients may be hostile.
    pub fn observe_estimates(&mut self, now: Timestamp, job: &Job, limits: EstimateLimits) {
        if let Some(work) = job.cost.map(TimeDelta::as_millis_f64).filter(|work| *work < limits.work_ms) {
            self.estimated_cost.add(now, COST_TIME_CONSTANT, work, 1.0);
        }
        if let Some(memory) = job.memory_mb.filter(|memory| *memory <= limits.memory_mb) {
            self.estimated_memory.add(now, COST_TIME_CONSTANT, memory, 1.0);
        }
    }

    /// Adds a job's actual work. Slowdown is then measured against the actual work, not an estimate, so that the
    /// baseline is 1.
    pub fn observe_actual_cost(&mut self, now: Timestamp, work: TimeDelta) {
        self.actual_cost.add(now, COST_TIME_CONSTANT, work.as_millis_f64(), 1.0);
        self.in_memory.baseline = Some(1.0);
    }

    /// The slowdown of the jobs that run in this mode.
    pub fn slowdown_mut(&mut self, mode: ExecutionMode) -> &mut ClassSlowdown {
        match mode {
            ExecutionMode::InMemory => &mut self.in_memory,
            ExecutionMode::Spilled => &mut self.spilled,
        }
    }

    /// Updates the baselines of both modes, if enough jobs have finished recently. The one in memory is not updated if
    /// engines report the actual work.
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
            // The time that spilling adds has no known bound, so only the cap on a job's slowdown applies.
            self.spilled.update_baseline(MAX_JOB_SLOWDOWN);
        }
    }

    /// Factor by which spilling lengthens the mean unloaded run time, at the recent share of spilled jobs.
    pub fn spill_factor(&self) -> f64 {
        let (in_memory, spilled) = (self.in_memory.recent.weight(), self.spilled.recent.weight());
        let baseline = self.in_memory.baseline.unwrap_or(1.0);
        let spilled_over_in_memory = self.spilled.baseline.map_or(1.0, |spilled| spilled / baseline);
        if spilled > 0.0 {
            (in_memory + spilled * spilled_over_in_memory) / (in_memory + spilled)
        } else {
            1.0
        }
    }
}
