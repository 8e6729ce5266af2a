//! The program's monotonic clock, unaffected by changes of the wall clock.

use pebblevane::time::Timestamp;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The timestamp at which the clock starts (about 11.6 days). It is so late that timestamp zero is long in the past.
const CLOCK_START: Timestamp = Timestamp(1_000_000_000_000);

static STARTED_AT: OnceLock<Instant> = OnceLock::new();

/// The current time. The first call starts the clock.
pub fn now() -> Timestamp {
    let elapsed = STARTED_AT.get_or_init(Instant::now).elapsed();
    Timestamp(CLOCK_START.0 + elapsed.as_micros() as i64)
}

/// The time from now until `deadline`, zero if it has passed.
pub fn duration_until(deadline: Timestamp) -> Duration {
    Duration::from_micros((deadline - now()).0.max(0) as u64)
}
