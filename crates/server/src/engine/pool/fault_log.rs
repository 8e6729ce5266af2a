//! Logging of what goes wrong with an engine's connections, at a bounded rate.

use std::fmt::Display;
use std::time::{Duration, Instant};

/// Least time between two log lines on one engine's connections.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What was logged of one engine's connections, and how much was not.
#[derive(Default)]
pub(super) struct FaultLog {
    last_logged: Option<Instant>,
    /// Faults since then.
    suppressed: u32,
}

impl FaultLog {
    /// Logs a fault unless one was logged just before, with a count of those left out.
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
