//! The mean difference between successive measurements.

/// The mean difference between successive measurements of one quantity.
#[derive(Clone, Copy, Default)]
pub struct MeanSuccessiveDifference {
    mean: f64,
    count: u32,
}

impl MeanSuccessiveDifference {
    /// The mean difference; 0 before the first one.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Number of differences added so far.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// Adds a difference. The first `max_count` have equal weight in the mean; after that each one moves it by
    /// 1/`max_count` of the way, so that older differences fade.
    pub fn add(&mut self, difference: f64, max_count: f64) {
        self.count = self.count.saturating_add(1);
        self.mean += (difference - self.mean) / f64::from(self.count).min(max_count);
    }
}
