//! Retries at startup while the system temporarily refuses a resource: descriptors, memory, threads, or an address that
//! the previous process still uses.

use crate::lifecycle::transient::is_transient_resource_error;
use std::io::Result;
use std::time::{Duration, Instant};

/// How long attempts are repeated before the startup fails, since a restarted process has to be ready within 10 s.
const RETRY_TIMEOUT: Duration = Duration::from_secs(6);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Calls `attempt` until it succeeds, fails permanently, or has failed for longer than the retry timeout.
///
/// # Errors
/// The last error of `attempt`.
pub fn retry_transient_errors<T>(mut attempt: impl FnMut() -> Result<T>) -> Result<T> {
    let started = Instant::now();
    loop {
        match attempt() {
            Err(error) if is_transient_resource_error(&error) && started.elapsed() < RETRY_TIMEOUT => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
