//! Whether a job that may already have run may be retried, which depends on its class.

use crate::config::setting_names::{
    CLASS_DEDUPLICATION_SCOPE, CLASS_DEDUPLICATION_WINDOW, CLASS_RETRY_SAFETY, CLASSES,
    DEDUPLICATION_SCOPE_ALL, RETRY_SAFETY_IDEMPOTENCY_KEY, RETRY_SAFETY_RESTARTABLE,
};
use pebblevane::settings::Settings;
use pebblevane::time::TimeDelta;

/// Whether the jobs of a class may be retried after they may have run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// A retry is harmless at any time.
    Restartable,
    /// A retry is harmless while the engines remember the idempotency key of the first run.
    IdempotencyKey {
        /// How long engines remember the key after the first dispatch that may have run.
        deduplication_window: TimeDelta,
        /// Which engines know the key.
        deduplication_scope: DeduplicationScope,
    },
    /// The job must not run more than once.
    RunOnce,
}

/// Which engines know the idempotency key of a job that one of them has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All engines.
    Pool,
    /// Only some engines.
    PartOfPool,
}

impl DeduplicationScope {
    fn read(scope: &str) -> DeduplicationScope {
        if scope == DEDUPLICATION_SCOPE_ALL {
            DeduplicationScope::Pool
        } else {
            DeduplicationScope::PartOfPool
        }
    }
}

impl RetrySafety {
    /// Reads the retry safety of the class at this position of the settings.
    pub fn read(settings: &Settings, position: usize) -> RetrySafety {
        let field = |name: &str| format!("{CLASSES}.{position}.{name}");
        match settings.text(&field(CLASS_RETRY_SAFETY)) {
            RETRY_SAFETY_RESTARTABLE => RetrySafety::Restartable,
            RETRY_SAFETY_IDEMPOTENCY_KEY => {
                let window_ms = settings.number(&field(CLASS_DEDUPLICATION_WINDOW)).unwrap_or(0.0);
                RetrySafety::IdempotencyKey {
                    deduplication_window: TimeDelta::from_millis_f64(window_ms),
                    deduplication_scope: DeduplicationScope::read(
                        settings.text(&field(CLASS_DEDUPLICATION_SCOPE)),
                    ),
                }
            }
            _ => RetrySafety::RunOnce,
        }
    }
}
