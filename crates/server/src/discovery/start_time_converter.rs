//! Converts the start times of engines, which the event bus reports in wall-clock time, to the program's monotonic
//! clock.
//!
//! A wall clock may be stepped at any time, on this machine or on the one that reports the start. A start time is
//! therefore converted with the offset between both clocks that was in effect when it was taken.

use crate::codec::event_bus::UnixTime;
use pebblevane::time::{TimeDelta, Timestamp};
use std::collections::VecDeque;
use std::time::SystemTime;

/// If the wall clock has changed against the monotonic clock by more than this between two records, it was stepped; a
/// smaller change is ordinary drift.
const MAX_DRIFT: TimeDelta = TimeDelta::from_millis(50);
/// The maximum number of offsets that are retained, one for each step. The oldest is dropped first.
const MAX_OFFSETS: usize = 16;
/// How far in the future a start time may seem to be: it is in whole milliseconds, and from another machine's clock.
const MAX_FUTURE_START: TimeDelta = TimeDelta::from_millis(100);
/// The maximum delay between a start and its report in the list: 7 s by the protocol, plus the time until the engine is
/// listed.
const MAX_LISTING_DELAY: TimeDelta = TimeDelta::from_millis(10_000);

/// Converts start times with the offsets that the wall clock has had from the monotonic clock since the program's
/// start.
#[derive(Default)]
pub struct StartTimeConverter {
    /// Wall-clock time minus monotonic time, in order of time; the current offset is the last.
    offsets: VecDeque<TimeDelta>,
}

impl StartTimeConverter {
    /// The system's wall-clock time.
    pub fn wall_clock_now() -> UnixTime {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        UnixTime(unix.as_micros() as i64)
    }

    /// Records readings of the monotonic clock and the wall clock that were taken at the same moment.
    pub fn record_clocks(&mut self, now: Timestamp, wall: UnixTime) {
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

    /// The start time, on the monotonic clock, of an engine whose start the list reports `now` as `wall_start`.
    /// `last_complete` is the last time at which the list was complete without this start.
    ///
    /// Each retained offset gives a candidate. The latest one that is not in the future is used: an engine whose age is
    /// underestimated gets less load than it could handle, while an overestimate would overload it. If there is no such
    /// candidate, or it precedes `last_complete` by more than the maximum listing delay, the engine counts as started
    /// now.
    pub fn start_time(
        &self,
        wall_start: UnixTime,
        now: Timestamp,
        last_complete: Option<Timestamp>,
    ) -> Timestamp {
        let candidates = self.offsets.iter().map(|offset| Timestamp(wall_start.0.saturating_sub(offset.0)));
        let latest = candidates.filter(|candidate| *candidate <= now + MAX_FUTURE_START).max();
        let earliest = last_complete.map_or(Timestamp(i64::MIN), |complete| complete - MAX_LISTING_DELAY);
        latest.filter(|candidate| *candidate >= earliest).unwrap_or(now)
    }
}
