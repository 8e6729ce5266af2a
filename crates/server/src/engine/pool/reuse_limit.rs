//! Limits how long a connection may have been idle and still be reused. After a longer idle time, a device between the
//! program and the engine may have dropped the connection without notifying either.

use std::time::{Duration, Instant};

/// The minimum of the limit: connections are assumed not to become stale within this idle time.
const MIN_LIMIT: Duration = Duration::from_millis(20);
/// The limit is doubled whenever no connection was found stale for this time.
const RAISE_INTERVAL: Duration = Duration::from_secs(10);

/// The limit for connections to one engine, adapted to the idle times of connections that were stale.
pub(super) struct ReuseLimit {
    limit: Duration,
    changed_at: Instant,
}

impl ReuseLimit {
    /// No limit other than the idle timeout.
    pub(super) fn unlimited() -> ReuseLimit {
        ReuseLimit { limit: Duration::MAX, changed_at: Instant::now() }
    }

    /// The limit, which is never longer than `idle_timeout`.
    pub(super) fn get(&self, idle_timeout: Duration) -> Duration {
        self.limit.min(idle_timeout)
    }

    /// Lowers the limit to half of the idle time of a stale connection, but not below the minimum. A lower limit stays.
    pub(super) fn lower(&mut self, idle_before_use: Duration) {
        self.limit = self.limit.min((idle_before_use / 2).max(MIN_LIMIT));
        self.changed_at = Instant::now();
    }

    /// Raises the limit if it has not changed for the interval.
    pub(super) fn raise_if_due(&mut self, idle_timeout: Duration) {
        if self.changed_at.elapsed() > RAISE_INTERVAL {
            self.limit = (self.get(idle_timeout) * 2).min(idle_timeout);
            self.changed_at = Instant::now();
        }
    }
}
