//! How long a connection may have been idle and still be used: one that was idle for longer may have ended unseen.

use std::time::{Duration, Instant};

/// Idle time that harms no connection: the limit is never shorter.
const MIN_LIMIT: Duration = Duration::from_millis(20);
/// Without a stale connection for so long, the limit is doubled.
const RAISE_INTERVAL: Duration = Duration::from_secs(10);

/// The limit of one engine, learnt from connections that turned out to be stale.
pub(super) struct ReuseLimit {
    limit: Duration,
    changed_at: Instant,
}

impl ReuseLimit {
    /// No limit but the idle timeout.
    pub(super) fn unlimited() -> ReuseLimit {
        ReuseLimit { limit: Duration::MAX, changed_at: Instant::now() }
    }

    /// The limit, `idle_timeout` at most.
    pub(super) fn get(&self, idle_timeout: Duration) -> Duration {
        self.limit.min(idle_timeout)
    }

    /// Lowers the limit after a connection was stale that had been idle for so long.
    pub(super) fn lower(&mut self, idle_before_use: Duration) {
        self.limit = self.limit.min((idle_before_use / 2).max(MIN_LIMIT));
        self.changed_at = Instant::now();
    }

    /// Raises the limit if it was not lowered for a while.
    pub(super) fn raise_if_due(&mut self, idle_timeout: Duration) {
        if self.changed_at.elapsed() > RAISE_INTERVAL {
            self.limit = (self.get(idle_timeout) * 2).min(idle_timeout);
            self.changed_at = Instant::now();
        }
    }
}
