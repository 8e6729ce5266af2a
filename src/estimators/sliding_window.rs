//! Sums over a sliding time window.

use crate::time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// Amounts with the times at which they were added. Every amount is stored, since limits that must hold exactly
/// depend on the sums.
#[derive(Default)]
pub struct SlidingWindow(VecDeque<(Timestamp, f64)>);

impl SlidingWindow {
    /// Adds an amount and removes those that are at least as old as `window`.
    pub fn add(&mut self, now: Timestamp, window: TimeDelta, amount: f64) {
        while self.0.front().is_some_and(|(when, _)| *when <= now - window) {
            self.0.pop_front();
        }
        self.0.push_back((now, amount));
    }

    /// The sum of the amounts that were added after `start`.
    pub fn sum_since(&self, start: Timestamp) -> f64 {
        self.0.iter().filter(|(when, _)| *when > start).map(|(_, amount)| amount).sum()
    }
}
