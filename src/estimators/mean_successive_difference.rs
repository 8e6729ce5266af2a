//! The mean of how much a measure differs from one time to the next.

/// The mean of how much a measure differs from one time to the next.
#[derive(Clone, Copy, Default)]
pub struct MeanSuccessiveDifference {
    mean: f64,
    count: u32,
}

impl MeanSuccessiveDifference {
    /// The mean difference.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Number of differences seen.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Adds a difference to the mean of about the last `max_count` of them.
    pub fn add(&mut self, difference: f64, max_count: f64) {
        self.count = self.count.saturating_add(1);
        self.mean += (difference - self.mean) / f64::from(self.count).min(max_count);
    }
}
