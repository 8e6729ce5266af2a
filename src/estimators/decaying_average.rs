//! A weighted mean and a rate in which older values count exponentially less.

use crate::time::{TimeDelta, Timestamp};

/// With a smaller total weight the mean counts as unknown.
const MIN_WEIGHT: f64 = 1e-9;

/// A weighted mean and a rate in which older values count exponentially less.
///
/// The methods that take the current time apply the decay since the last update. All calls for one instance should
/// pass the same time constant.
#[derive(Clone, Copy, Default)]
pub struct DecayingAverage {
    sum: f64,
    weight: f64,
    updated_at: Timestamp,
}

impl DecayingAverage {
    /// The weighted sum, as of the last update.
    pub fn sum(&self) -> f64 {
        self.sum
    }

    /// The sum of the weights, as of the last update.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// The time up to which the decay has been applied.
    pub fn updated_at(&self) -> Timestamp {
        self.updated_at
    }

    /// Applies the decay up to now.
    pub fn decay_to(&mut self, now: Timestamp, time_constant: TimeDelta) {
        let elapsed = (now - self.updated_at).as_millis_f64();
        let remaining = (-(elapsed / time_constant.as_millis_f64())).exp();
        self.sum *= remaining;
        self.weight *= remaining;
        self.updated_at = now;
    }

    /// Applies the decay and adds a value with this weight.
    pub fn add(&mut self, now: Timestamp, time_constant: TimeDelta, value: f64, weight: f64) {
        self.decay_to(now, time_constant);
        self.sum += value * weight;
        self.weight += weight;
    }

    /// The weighted sum with the decay up to now, without changing the stored one.
    pub fn sum_at(&self, now: Timestamp, time_constant: TimeDelta) -> f64 {
        let mut decayed = *self;
        decayed.decay_to(now, time_constant);
        decayed.sum
    }

    /// Applies the decay and returns the mean of the added values and `prior`, which counts with `prior_weight`.
    pub fn update_mean(
        &mut self,
        now: Timestamp,
        time_constant: TimeDelta,
        prior: f64,
        prior_weight: f64,
    ) -> f64 {
        self.decay_to(now, time_constant);
        (self.sum + prior * prior_weight) / (self.weight + prior_weight)
    }

    /// The mean, or `default` if it is unknown.
    pub fn mean_or(&self, default: f64) -> f64 {
        if self.weight > MIN_WEIGHT { self.sum / self.weight } else { default }
    }

    /// Applies the decay and returns the weight that was recently added per second.
    pub fn update_rate_per_second(&mut self, now: Timestamp, time_constant: TimeDelta) -> f64 {
        self.decay_to(now, time_constant);
        self.weight / (time_constant.as_millis_f64() / 1000.0)
    }
}
