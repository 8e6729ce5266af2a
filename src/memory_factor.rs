//! The factor by which the memory grants of a class exceed the estimates.

/// Maximum ratio of a grant to the estimate.
pub const MAX_MEMORY_FACTOR: f64 = 4.0;

/// Factor before any job has run.
const INITIAL_FACTOR: f64 = 1.25;
/// Minimum fraction of the difference by which a spill moves the factor towards the multiple that was needed. The first
/// spills move it further.
const SPILL_STEP: f64 = 0.2;
/// Multiplier that each job without a spill applies to the factor.
const DECAY_WITHOUT_SPILL: f64 = 0.99;

/// The factor by which memory grants exceed the estimates. It rises with spills, fast at first, and falls slowly
/// otherwise.
#[derive(Clone, Copy, Debug)]
pub struct MemoryFactor {
    value: f64,
    spill_count: f64,
}

impl Default for MemoryFactor {
    fn default() -> MemoryFactor {
        MemoryFactor { value: INITIAL_FACTOR, spill_count: 0.0 }
    }
}

impl MemoryFactor {
    /// The current factor, at least 1.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Adds a job that spilled to disk. `needed` is the memory that would have avoided the spill, as a multiple of the
    /// estimate.
    pub fn observe_spill(&mut self, needed: f64) {
        let needed = needed.min(MAX_MEMORY_FACTOR);
        self.spill_count += 1.0;
        let step = SPILL_STEP.max(1.0 / (1.0 + self.spill_count));
        self.value += step * (needed - self.value).max(0.0);
    }

    /// Adds a job that ended without a spill.
    pub fn observe_no_spill(&mut self) {
        self.value = (self.value * DECAY_WITHOUT_SPILL).max(1.0);
    }
}
