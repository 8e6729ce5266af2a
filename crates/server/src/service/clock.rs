//! The one clock. It shows Unix time at the program's start and never goes backwards after that, so that
//! Unix times of the event bus and the module's moments are the same thing.

use pebblevane::interface::Moment;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime};

static START: OnceLock<(Instant, i64)> = OnceLock::new();

fn start() -> (Instant, i64) {
    *START.get_or_init(|| {
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        (Instant::now(), unix.as_micros() as i64)
    })
}

pub fn now() -> Moment {
    let (instant, unix) = start();
    Moment(unix + instant.elapsed().as_micros() as i64)
}

/// The time until then.
pub fn until(at: Moment) -> Duration {
    Duration::from_micros((at - now()).0.max(0) as u64)
}
