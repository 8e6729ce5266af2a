//! Converts the starts of engines, which the event bus stamps with wall-clock time, to the program's monotonic clock.
//! A wall clock may be stepped at any time, on this machine or on the one that stamps: a start is placed where the
//! wall clock that stamped it was.

use crate::codec::event_bus::UnixTime;
use pebblevane::time::{TimeDelta, Timestamp};
use std::collections::VecDeque;
use std::time::SystemTime;

/// A change of the wall clock against the monotonic clock by more than this is a step; less is its ordinary drift.
const MAX_DRIFT: TimeDelta = TimeDelta(50_000);
/// Offsets that are remembered, one for each step; further ones push out the oldest.
const MAX_OFFSETS: usize = 16;
/// A stamp may be this far ahead: its clock is read in whole milliseconds, and on another machine.
const MAX_AHEAD: TimeDelta = TimeDelta(100_000);
/// The list names a start at most this long after it: 7 s by the protocol, and the time until it is listed.
const MAX_LISTING_DELAY: TimeDelta = TimeDelta(10_000_000);

/// The offsets that the wall clock has had from the monotonic clock since the program's start.
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
            Some(last) if (offset.0 - last.0).abs() <= MAX_DRIFT.0 => *last = offset,
            last => {
                if last.is_some() {
                    tracing::info!(offset_ms = offset.as_millis_f64(), "wall clock stepped");
                }
                self.offsets.push_back(offset);
            }
        }
        if self.offsets.len() > MAX_OFFSETS {
            self.offsets.pop_front();
        }
    }

    /// When an engine started whose start the list names `now`; `last_complete` is when the list was last complete
    /// without it.
    ///
    /// Of the times that the remembered offsets allow, the latest that is not ahead is taken: an engine that is thought
    /// younger than it is gets less load than it bears, while the opposite overloads it. It can't lie long before
    /// `last_complete` either. A stamp that fits no offset counts as a start just now.
    pub fn started(&self, stamp: UnixTime, now: Timestamp, last_complete: Option<Timestamp>) -> Timestamp {
        let candidates = self.offsets.iter().map(|offset| Timestamp(stamp.0.saturating_sub(offset.0)));
        let latest = candidates.filter(|candidate| *candidate <= now + MAX_AHEAD).max();
        let earliest = last_complete.map_or(Timestamp(i64::MIN), |complete| complete - MAX_LISTING_DELAY);
        latest.filter(|candidate| *candidate >= earliest).unwrap_or(now)
    }
}
