//! The settings of connections to engines.

use crate::config::setting_names::{
    CONNECTION_IDLE_TIMEOUT, DIAL_TIMEOUT, LOAD_REPORT_MODE, LOAD_REPORT_PULL, PROGRESS_INTERVAL,
    STREAMS_PER_CONNECTION,
};
use pebblevane::settings::Settings;
use std::time::Duration;

const DEFAULT_STREAMS_PER_CONNECTION: f64 = 32.0;
const DEFAULT_DIAL_TIMEOUT_MS: f64 = 250.0;
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 15_000.0;

/// The settings of connections to engines.
#[derive(Clone, Copy)]
pub struct EngineConnectionSettings {
    /// The maximum number of requests in flight on one connection.
    pub streams_per_connection: usize,
    /// The timeout for connecting to an engine. Also the timeout of health checks, and the time within which a message
    /// whose first part has been read has to be completed.
    pub dial_timeout: Duration,
    /// A connection that has been idle for this long is closed instead of reused.
    pub idle_timeout: Duration,
    /// The interval at which engines send progress updates; `None` if they send none.
    pub progress_interval: Option<Duration>,
    /// The maximum number of connections to a single engine.
    pub max_connections: usize,
    /// Whether health checks request a load report.
    pub request_load_reports: bool,
}

impl EngineConnectionSettings {
    /// Reads the settings; `max_connections` is the limit for a single engine. The idle timeout is three quarters of
    /// the engines' own, so that a connection is not reused when its engine is about to close it.
    pub fn read(settings: &Settings, max_connections: usize) -> EngineConnectionSettings {
        let streams = settings.number(STREAMS_PER_CONNECTION).unwrap_or(DEFAULT_STREAMS_PER_CONNECTION);
        let progress_interval = duration(settings, PROGRESS_INTERVAL, 0.0);
        EngineConnectionSettings {
            streams_per_connection: streams.max(1.0) as usize,
            dial_timeout: duration(settings, DIAL_TIMEOUT, DEFAULT_DIAL_TIMEOUT_MS),
            idle_timeout: duration(settings, CONNECTION_IDLE_TIMEOUT, DEFAULT_IDLE_TIMEOUT_MS) * 3 / 4,
            progress_interval: Some(progress_interval).filter(|interval| !interval.is_zero()),
            max_connections,
            request_load_reports: settings.text(LOAD_REPORT_MODE) == LOAD_REPORT_PULL,
        }
    }
}

/// Reads a duration in milliseconds; a missing one, or one that is not above 0, is replaced by the default.
fn duration(settings: &Settings, name: &str, default_ms: f64) -> Duration {
    let millis = settings.number(name).filter(|millis| *millis > 0.0).unwrap_or(default_ms);
    Duration::from_micros((millis * 1000.0) as u64)
}
