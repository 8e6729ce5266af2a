//! Starting threads. Each thread of the program serves to the program's end, unless its owner says otherwise, and is
//! not joined: a panic in any of them ends the whole program.

use super::startup::retry_transient_errors;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

/// The stack of threads that need little.
pub const STACK_BYTES: usize = 64 * 1024;

/// Starts a thread of this name and stack size (bytes). Tests pass a function of this type that refuses.
pub type SpawnThread = fn(&str, usize, Box<dyn FnOnce() + Send>) -> io::Result<()>;

/// Starts a thread once.
///
/// # Errors
/// What the system says where it refuses a thread; `body` is dropped then.
pub fn spawn(name: &str, stack_bytes: usize, body: Box<dyn FnOnce() + Send>) -> io::Result<()> {
    std::thread::Builder::new().name(name.to_string()).stack_size(stack_bytes).spawn(body).map(drop)
}

/// Starts a thread that the program can't do without, and tries again while the system refuses it for the moment.
///
/// # Errors
/// What the system says where it refuses the thread for good, or for too long.
pub fn spawn_required(
    name: &str,
    stack_bytes: usize,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    // An attempt that fails drops what it was given.
    let body = Arc::new(Mutex::new(Some(body)));
    retry_transient_errors(|| {
        let body = body.clone();
        let run = move || {
            let body = body.lock().unwrap_or_else(PoisonError::into_inner).take();
            if let Some(body) = body {
                body();
            }
        };
        spawn(name, stack_bytes, Box::new(run))
    })
}
