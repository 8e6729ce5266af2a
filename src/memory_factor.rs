//! The memory that jobs of a class need over the memory that they are estimated to need.

/// The most that a grant may be of the estimate.
pub const MAX_MEMORY_FACTOR: f64 = 4.0;

const INITIAL_FACTOR: f64 = 1.25;
/// The part of the way that a spill moves the factor, once there were many.
const SPILL_STEP: f64 = 0.2;
/// What a job without a spill leaves of the factor.
const DECAY_WITHOUT_SPILL: f64 = 0.99;

/// The factor: it rises with spills, fast at first, and falls slowly otherwise.
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
    /// The factor.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// A job spilled to disk and would have needed this multiple of its estimate.
    pub fn observe_spill(&mut self, needed: f64) {
        let needed = needed.min(MAX_MEMORY_FACTOR);
        self.spill_count += 1.0;
        let step = SPILL_STEP.max(1.0 / (1.0 + self.spill_count));
        self.value += step * (needed - self.value).max(0.0);
    }

    /// A job ended without a spill.
    pub fn observe_no_spill(&mut self) {
        self.value = (self.value * DECAY_WITHOUT_SPILL).max(1.0);
    }
}
