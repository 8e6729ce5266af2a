//! Starting while the system refuses things for a moment: descriptors, memory, threads or an address that the process
//! before this one still holds.

use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// What is refused for longer ends the start: it has to be over within 10 s.
const PATIENCE: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(20);

/// Linux's numbers of errors that may pass: EINTR, EAGAIN, ENOMEM, ENFILE, EMFILE and ENOBUFS.
const PASSING: [i32; 6] = [4, 11, 12, 23, 24, 105];

fn may_pass(e: &Error) -> bool {
    let told = e.raw_os_error().is_some_and(|number| PASSING.contains(&number));
    told || matches!(e.kind(), ErrorKind::AddrInUse | ErrorKind::ConnectionAborted | ErrorKind::WouldBlock)
}

/// Tries until it succeeds, fails for good or has been refused for too long.
pub fn patiently<T>(mut attempt: impl FnMut() -> Result<T>) -> Result<T> {
    let began = Instant::now();
    loop {
        match attempt() {
            Err(e) if may_pass(&e) && began.elapsed() < PATIENCE => std::thread::sleep(PAUSE),
            done => return done,
        }
    }
}

/// Starts a thread that the program can't do without.
pub fn thread(name: &str, stack: usize, what: impl FnOnce() + Send + 'static) -> Result<()> {
    // An attempt that fails drops what it was given.
    let what = Arc::new(Mutex::new(Some(what)));
    patiently(|| {
        let what = what.clone();
        crate::thread(name, stack, move || {
            let what = what.lock().unwrap_or_else(PoisonError::into_inner).take();
            if let Some(what) = what {
                what();
            }
        })
    })
}
