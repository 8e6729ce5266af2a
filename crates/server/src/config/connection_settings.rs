//! How connections to engines are made and kept.

use std::time::Duration;

/// What the settings say of connections.
#[derive(Clone, Copy)]
pub struct ConnectionSettings {
    pub streams: usize,
    pub dial: Duration,
    pub idle: Duration,
    /// Notes come this often on what is out, if at all.
    pub notes: Option<Duration>,
    /// Connections to one engine.
    pub connections: usize,
    /// Probes ask for a load report.
    pub reports: bool,
}
