//! Waking a thread that waits for events of sockets.

use mio::Waker;
use std::io::{self, ErrorKind};

/// Wakes the thread. A call that a signal interrupts is repeated.
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
