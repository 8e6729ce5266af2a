//! Reloading the configuration while the program runs.
//!
//! A new address of the event bus takes effect immediately, other changes at the next start. The initial endpoint list
//! is ignored, since the event numbers continue. An invalid file may be only partly written, so it is read again for a
//! while.

use super::environment_variable;
use crate::config::Config;
use crate::discovery::EventBusAddress;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long after a reload request an invalid file is read again.
const RETRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the configuration on request while the program runs, and applies it.
pub(super) struct ConfigReloader {
    config: Config,
    event_bus: Arc<EventBusAddress>,
    /// The failed reload that is being retried; `None` if the last one succeeded or is no longer retried.
    failure: Option<ReloadFailure>,
}

/// A failed reload.
struct ReloadFailure {
    /// When the first attempt failed.
    since: Instant,
    /// Why the most recent attempt failed.
    reason: String,
}

impl ConfigReloader {
    /// A reloader for a program that runs with this configuration.
    pub fn new(config: Config, event_bus: Arc<EventBusAddress>) -> ConfigReloader {
        ConfigReloader { config, event_bus, failure: None }
    }

    /// Reads the configuration on a reload request, and applies it.
    pub fn reload(&mut self) {
        self.failure = None;
        self.read();
    }

    /// Reads the configuration again if a failed reload is being retried. Without a reload request nothing is read,
    /// since the file may be in the middle of an edit.
    pub fn retry(&mut self) {
        if self.failure.is_some() {
            self.read();
        }
    }

    /// Reads and applies the configuration. An invalid one changes nothing.
    fn read(&mut self) {
        match Config::read(environment_variable) {
            Ok(config) => {
                self.failure = None;
                self.apply(&config);
            }
            Err(error) => self.record_failure(error.to_string()),
        }
    }

    /// Logs a failure unless the previous attempt failed for the same reason, and ends the retries after the timeout.
    fn record_failure(&mut self, reason: String) {
        let previous = self.failure.take();
        if previous.as_ref().is_none_or(|previous| previous.reason != reason) {
            tracing::warn!(reason = %reason, "configuration reload failed, keeping the previous one");
        }
        let since = previous.map_or_else(Instant::now, |previous| previous.since);
        self.failure = Some(ReloadFailure { since, reason }).filter(|_| since.elapsed() < RETRY_TIMEOUT);
    }

    fn apply(&mut self, new: &Config) {
        self.log_unapplied(new);
        tracing::info!(event_bus = %new.event_bus, "configuration reloaded");
        self.event_bus.set(new.event_bus);
        self.config.event_bus = new.event_bus;
    }

    /// Logs each change that takes effect only at the next start.
    fn log_unapplied(&self, new: &Config) {
        let current = &self.config;
        let changes = [
            ("name", new.name != current.name),
            ("listen", new.listen != current.listen),
            ("limits", new.limits != current.limits),
            ("settings", new.settings.0 != current.settings.0),
        ];
        for (field, _) in changes.iter().filter(|(_, has_changed)| *has_changed) {
            tracing::warn!(field, "changed setting takes effect at the next start");
        }
    }
}
