//! The program's one clock: monotonic, whatever is done to the wall clock. Its zero means nothing; it begins late enough
//! for a moment of zero to be long ago.

use pebblevane::time::Timestamp;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

const FIRST: Timestamp = Timestamp(1_000_000_000_000);

static START: OnceLock<Instant> = OnceLock::new();

pub fn now() -> Timestamp {
    let elapsed = START.get_or_init(Instant::now).elapsed();
    Timestamp(FIRST.0 + elapsed.as_micros() as i64)
}

/// The time until then.
pub fn until(at: Timestamp) -> Duration {
    Duration::from_micros((at - now()).0.max(0) as u64)
}
