//! Points in time and signed durations, in whole microseconds.
//!
//! This library reads no clock: callers pass a [`Timestamp`] with every event. Both types are signed and their
//! arithmetic saturates, so that the extreme values can stand for "never" and "long ago".

use std::ops::{Add, Sub};

const MICROS_PER_MILLI: f64 = 1000.0;

/// A point in time, in microseconds since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timestamp(pub i64);

/// A signed duration, in microseconds. It is a type of its own so that it cannot be confused with a [`Timestamp`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimeDelta(pub i64);

impl Timestamp {
    /// The point in time `ms` milliseconds after the origin, rounded to a microsecond.
    pub fn from_millis_f64(ms: f64) -> Timestamp {
        Timestamp((ms * MICROS_PER_MILLI).round() as i64)
    }
}

impl TimeDelta {
    /// A duration of `ms` whole milliseconds, for constants.
    pub const fn from_millis(ms: i64) -> TimeDelta {
        TimeDelta(ms * 1000)
    }

    /// A duration of `ms` milliseconds, rounded to a microsecond.
    pub fn from_millis_f64(ms: f64) -> TimeDelta {
        TimeDelta((ms * MICROS_PER_MILLI).round() as i64)
    }

    /// This duration in milliseconds.
    pub fn as_millis_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_MILLI
    }

    /// This duration times `factor`, rounded to a microsecond.
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
