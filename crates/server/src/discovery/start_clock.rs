//! Carries the starts of engines, which the event bus stamps with wall-clock time, over to the program's monotonic
//! clock. A wall clock may be stepped at any time, on this machine or on the one that stamps: a start then lies on
//! the monotonic clock where the wall clock that stamped it was.

use crate::codec::event_bus::UnixTime;
use pebblevane::time::{TimeDelta, Timestamp};
use std::collections::VecDeque;
use std::time::SystemTime;

/// A change of the wall clock against the monotonic clock by more than this is a step; less is its ordinary drift.
const STEP: TimeDelta = TimeDelta(50_000);
/// Steps that are remembered: further ones push out the oldest.
const MOST_STEPS: usize = 16;
/// A stamp may be this far ahead: its clock is read in whole milliseconds, and elsewhere.
const AHEAD: TimeDelta = TimeDelta(100_000);
/// The list tells a start this much later at the most: 7 s by the protocol, and the time until it is listed.
const LATEST_TELLING: TimeDelta = TimeDelta(10_000_000);

/// What the wall clock has shown over the monotonic clock since the program's start.
#[derive(Default)]
pub struct StartClock {
    /// Wall-clock time less monotonic time: the present offset last, those before earlier steps in front of it.
    offsets: VecDeque<TimeDelta>,
}

impl StartClock {
    /// The wall clock as the system shows it.
    pub fn wall() -> UnixTime {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        UnixTime(unix.as_micros() as i64)
    }

    /// Notes both clocks, read together.
    pub fn observe(&mut self, now: Timestamp, wall: UnixTime) {
        let offset = TimeDelta(wall.0.saturating_sub(now.0));
        match self.offsets.back_mut() {
            Some(last) if (offset.0 - last.0).abs() <= STEP.0 => *last = offset,
            last => {
                if last.is_some() {
                    tracing::info!(offset_ms = offset.as_millis_f64(), "wall clock stepped");
                }
                self.offsets.push_back(offset);
            }
        }
        if self.offsets.len() > MOST_STEPS {
            self.offsets.pop_front();
        }
    }

    /// When an engine started that the list tells `now`. Of the readings that the clock's steps allow, the latest
    /// that is not ahead: an engine taken for younger than it is gets less than it bears, the other way it falls.
    /// Where the list was `complete` without this start some time ago, it did not happen long before that. A stamp
    /// that fits nothing is of a start just now: all that are told of it at the same time then agree on it.
    pub fn started(&self, stamp: UnixTime, now: Timestamp, complete: Option<Timestamp>) -> Timestamp {
        let readings = self.offsets.iter().map(|offset| Timestamp(stamp.0.saturating_sub(offset.0)));
        let latest = readings.filter(|reading| *reading <= now + AHEAD).max();
        let earliest = complete.map_or(Timestamp(i64::MIN), |complete| complete - LATEST_TELLING);
        latest.filter(|reading| *reading >= earliest).unwrap_or(now)
    }
}
