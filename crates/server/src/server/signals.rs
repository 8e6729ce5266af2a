//! The signals that the program handles: SIGTERM and SIGINT stop it, SIGHUP reloads its configuration.
//!
//! A signal's handler sets a flag, then wakes a thread, which wakes the main thread. Only the flag says whether a
//! signal is pending. If a wake-up is lost, for instance because the handler's write was interrupted, the main thread
//! finds the flag at its next regular check.

use crate::lifecycle::threads::{SMALL_STACK_BYTES, spawn_required};
use crossbeam_channel::{Receiver, Sender, bounded};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use signal_hook::iterator::Signals;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;

/// How often the main thread checks the flags without a wake-up. A graceful shutdown leaves a margin of only 0.1 s
/// before the process may be killed.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The flags of the signals, and the wake-ups of their handlers.
pub struct SignalHandlers {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wakeups: Signals,
}

/// Signals that the main thread has not handled yet.
pub(super) struct PendingSignals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    /// Receives a message after a signal, unless its wake-up was lost.
    pub(super) wakeups: Receiver<()>,
}

impl SignalHandlers {
    /// Installs the handlers.
    ///
    /// # Errors
    /// The system's error if it refuses a handler or the sockets by which handlers wake a thread.
    pub fn install() -> io::Result<SignalHandlers> {
        let (stop, reload) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        // Handlers run in the order of their installation: the flag is set before the wake-up is sent.
        flag::register(SIGTERM, stop.clone())?;
        flag::register(SIGINT, stop.clone())?;
        flag::register(SIGHUP, reload.clone())?;
        let wakeups = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        Ok(SignalHandlers { stop, reload, wakeups })
    }

    /// Starts the thread that the handlers wake. It is not joined; it ends with the process.
    ///
    /// # Errors
    /// The system's error if it refuses the thread.
    pub(super) fn start(self) -> io::Result<PendingSignals> {
        let SignalHandlers { stop, reload, wakeups } = self;
        let (sender, receiver) = bounded(1);
        spawn_required("signals", SMALL_STACK_BYTES, move || forward_wakeups(wakeups, &sender))?;
        Ok(PendingSignals { stop, reload, wakeups: receiver })
    }
}

/// Wakes the main thread for each signal.
fn forward_wakeups(mut wakeups: Signals, main_thread: &Sender<()>) {
    for _ in wakeups.forever() {
        // If the channel is full, the main thread has yet to check the flags.
        let _ = main_thread.try_send(());
    }
}

impl PendingSignals {
    /// Whether SIGTERM or SIGINT was received since the last call.
    pub(super) fn take_stop(&self) -> bool {
        self.stop.swap(false, SeqCst)
    }

    /// Whether SIGHUP was received since the last call.
    pub(super) fn take_reload(&self) -> bool {
        self.reload.swap(false, SeqCst)
    }
}
