//! Retrying at startup while the system temporarily refuses a resource: descriptors, memory, threads, or an address
//! that the previous process still holds.

use std::io::{Error, ErrorKind, Result};
use std::time::{Duration, Instant};

/// A restarted process has to be ready within 10 s, so a longer refusal ends the startup.
const RETRY_TIMEOUT: Duration = Duration::from_secs(6);
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Linux error numbers that may be temporary: EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE and ENOBUFS.
const TRANSIENT_ERRNOS: [i32; 6] = [4, 11, 12, 23, 24, 105];

fn is_transient(error: &Error) -> bool {
    let by_number = error.raw_os_error().is_some_and(|number| TRANSIENT_ERRNOS.contains(&number));
    let by_kind =
        matches!(error.kind(), ErrorKind::AddrInUse | ErrorKind::ConnectionAborted | ErrorKind::WouldBlock);
    by_number || by_kind
}

/// Calls `attempt` until it succeeds, fails permanently or has failed for too long.
///
/// # Errors
/// The last error of `attempt`.
pub fn retry_transient_errors<T>(mut attempt: impl FnMut() -> Result<T>) -> Result<T> {
    let started = Instant::now();
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && started.elapsed() < RETRY_TIMEOUT => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
