//! Points in time and signed lengths of time, in whole microseconds.
//!
//! The decision library reads no clock: callers hand in a [`Timestamp`] with every event. Both types are signed and
//! their arithmetic saturates, so that "never" and "long ago" can be written as the extreme values.

use std::ops::{Add, Sub};

const MICROS_PER_MILLI: f64 = 1000.0;

/// A point in time, in microseconds since an arbitrary zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub i64);

/// A signed length of time, in microseconds. It can be added to a [`Timestamp`], never mixed up with one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeDelta(pub i64);

impl Timestamp {
    /// The point in time `ms` milliseconds after zero, rounded to a microsecond.
    pub fn from_millis_f64(ms: f64) -> Timestamp {
        Timestamp((ms * MICROS_PER_MILLI).round() as i64)
    }
}

impl TimeDelta {
    /// A length of `ms` milliseconds, rounded to a microsecond.
    pub fn from_millis_f64(ms: f64) -> TimeDelta {
        TimeDelta((ms * MICROS_PER_MILLI).round() as i64)
    }

    /// This length in milliseconds.
    pub fn as_millis_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_MILLI
    }

    /// This length times a factor, rounded to a microsecond.
    #[must_use]
    pub fn mul_f64(self, factor: f64) -> TimeDelta {
        TimeDelta((self.0 as f64 * factor).round() as i64)
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn add(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_add(delta.0))
    }
}

impl Sub<TimeDelta> for Timestamp {
    type Output = Timestamp;

    fn sub(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0.saturating_sub(delta.0))
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;

    fn sub(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0.saturating_sub(earlier.0))
    }
}

impl Add for TimeDelta {
    type Output = TimeDelta;

    fn add(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0.saturating_add(other.0))
    }
}
