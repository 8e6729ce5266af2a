//! Wakes a thread that waits for socket events.

use mio::Waker;
use std::io::{self, ErrorKind};

/// Wakes the thread, and retries if a signal interrupts the call.
///
/// # Errors
/// The system's error if the thread can't be woken.
pub fn wake(waker: &Waker) -> io::Result<()> {
    loop {
        match waker.wake() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            woken => return woken,
        }
    }
}
