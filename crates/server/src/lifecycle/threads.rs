//! Starting threads.
//!
//! No thread is joined. Each runs until the process exits, unless the function that starts it documents otherwise. A
//! panic in any thread aborts the process.

use super::startup::retry_transient_errors;
use super::sync::lock;
use std::io;
use std::sync::{Arc, Mutex};

/// The stack size of threads with shallow calls and small buffers, in bytes.
pub const SMALL_STACK_BYTES: usize = 64 * 1024;

/// A function that starts a thread with this name and stack size in bytes. Tests pass one that fails.
pub type SpawnThread = fn(&str, usize, Box<dyn FnOnce() + Send>) -> io::Result<()>;

/// Starts a thread, without a retry.
///
/// # Errors
/// The system's error if it refuses the thread. `body` is then dropped.
pub fn spawn(name: &str, stack_bytes: usize, body: Box<dyn FnOnce() + Send>) -> io::Result<()> {
    std::thread::Builder::new().name(name.to_string()).stack_size(stack_bytes).spawn(body).map(drop)
}

/// Starts a thread that the program depends on, retrying while the system refuses it temporarily.
///
/// # Errors
/// The system's error if it refuses the thread permanently, or for longer than the retry timeout.
pub fn spawn_required(
    name: &str,
    stack_bytes: usize,
    body: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    // A failed attempt drops its closure, so the body is shared and taken by the attempt that succeeds.
    let body = Arc::new(Mutex::new(Some(body)));
    retry_transient_errors(|| {
        let body = body.clone();
        let run = move || {
            let body = lock(&body).take();
            if let Some(body) = body {
                body();
            }
        };
        spawn(name, stack_bytes, Box::new(run))
    })
}
