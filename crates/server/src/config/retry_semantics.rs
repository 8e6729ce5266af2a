//! What the settings say of retrying the jobs of a class.

use pebblevane::settings::Settings;
use pebblevane::time::TimeDelta;

/// What the settings say of repeating a reservation type's jobs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySemantics {
    /// A repeat is harmless.
    Restartable,
    /// A repeat is harmless within this time of the first run: on every engine, or on some only.
    Keyed { window: TimeDelta, anywhere: bool },
    /// A repeat does harm.
    RunOnce,
}

impl RetrySemantics {
    /// Reads those of the type at this position.
    pub fn read(settings: &Settings, position: usize) -> RetrySemantics {
        let field = |name: &str| format!("Classes.{position}.{name}");
        match settings.text(&field("Semantics")) {
            "read_like" => RetrySemantics::Restartable,
            "idempotency_key" => RetrySemantics::Keyed {
                window: TimeDelta::from_millis_f64(settings.number(&field("DedupWindow")).unwrap_or(0.0)),
                anywhere: settings.text(&field("Group")) == "all",
            },
            _ => RetrySemantics::RunOnce,
        }
    }
}
