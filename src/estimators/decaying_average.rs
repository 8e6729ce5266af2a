//! A weighted mean and a rate whose past decays exponentially with time.

use crate::time::{TimeDelta, Timestamp};

/// Below this weight nothing is known of a mean.
const MIN_WEIGHT: f64 = 1e-9;

/// A weighted mean and a rate whose past decays exponentially with time.
///
/// It is brought up to date by the methods that take the time; the caller passes the same time constant each
/// time.
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

    /// When it was last brought up to date.
    pub fn updated_at(&self) -> Timestamp {
        self.updated_at
    }

    /// Brings it up to date.
    pub fn decay_to(&mut self, now: Timestamp, time_constant: TimeDelta) {
        let elapsed = (now - self.updated_at).as_millis_f64();
        let remaining = (-(elapsed / time_constant.as_millis_f64())).exp();
        self.sum *= remaining;
        self.weight *= remaining;
        self.updated_at = now;
    }

    /// Adds a value of this weight.
    pub fn add(&mut self, now: Timestamp, time_constant: TimeDelta, value: f64, weight: f64) {
        self.decay_to(now, time_constant);
        self.sum += value * weight;
        self.weight += weight;
    }

    /// The weighted sum as it has decayed by now.
    pub fn sum_at(&self, now: Timestamp, time_constant: TimeDelta) -> f64 {
        let mut decayed = *self;
        decayed.decay_to(now, time_constant);
        decayed.sum
    }

    /// Brings it up to date and returns the mean, drawn towards `prior` as if that had been seen with `weight`.
    pub fn update_mean(&mut self, now: Timestamp, time_constant: TimeDelta, prior: f64, weight: f64) -> f64 {
        self.decay_to(now, time_constant);
        (self.sum + prior * weight) / (self.weight + weight)
    }

    /// The mean, or `default` where nothing is known.
    pub fn mean_or(&self, default: f64) -> f64 {
        if self.weight > MIN_WEIGHT { self.sum / self.weight } else { default }
    }

    /// Brings it up to date and returns the weight that was added per second.
    pub fn update_rate_per_second(&mut self, now: Timestamp, time_constant: TimeDelta) -> f64 {
        self.decay_to(now, time_constant);
        self.weight / (time_constant.as_millis_f64() / 1000.0)
    }
}
