//! Rate-limited logging of faults of an engine's connections.

use std::fmt::Display;
use std::time::{Duration, Instant};

/// The minimum time between two log lines about one engine's connections.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Limits the rate of log lines about one engine's connections.
#[derive(Default)]
pub(super) struct FaultLog {
    last_logged: Option<Instant>,
    /// The number of faults since then that were not logged.
    suppressed: u32,
}

impl FaultLog {
    /// Logs a fault with the number of faults that were suppressed before it, or suppresses it if another was logged
    /// within the interval.
    pub(super) fn report(&mut self, engine: &str, fault: &str, in_flight: usize, reason: &dyn Display) {
        if self.last_logged.is_some_and(|logged| logged.elapsed() < LOG_INTERVAL) {
            self.suppressed += 1;
            return;
        }
        let suppressed = std::mem::take(&mut self.suppressed);
        self.last_logged = Some(Instant::now());
        tracing::info!(engine = %engine, fault, in_flight, %reason, suppressed, "engine connection fault");
    }
}
