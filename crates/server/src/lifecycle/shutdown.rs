//! A planned stop, and its sequence: not well at once; new connections and requests for a second; no new
//! connections; answers to all that was taken; the end of each connection, in order; the end of the program.

use crate::decision::controller_thread::ControllerHandle;
use crate::lifecycle::clock;
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::OnceLock;
use std::sync::atomic::Ordering::SeqCst;

const COMING: TimeDelta = TimeDelta(1_000_000); // new jobs may still come for so long after the signal
const AFTER: TimeDelta = TimeDelta(400_000); // so long after the longest wait every job has its answer: a kill may follow
const LONGEST: TimeDelta = TimeDelta(3_000_000); // but a kill counts no wait as longer than this
const LEAVING: TimeDelta = TimeDelta(200_000); // for the last answers to leave: a kill comes 0.1 s later at the soonest

/// When each step of a stop ends.
#[derive(Clone, Copy)]
pub struct ShutdownSchedule {
    /// Until then new connections are accepted, and those that rest are kept.
    pub coming: Timestamp,
    /// By then all that was taken has its answer.
    pub answered: Timestamp,
    /// Then the program ends, whatever is still open.
    pub over: Timestamp,
}

#[derive(Default)]
pub struct ShutdownState(OnceLock<ShutdownSchedule>);

impl ShutdownState {
    pub fn is_well(&self) -> bool {
        self.0.get().is_none()
    }
    /// The steps of the stop under way, if one is.
    pub fn stopping(&self) -> Option<ShutdownSchedule> {
        self.0.get().copied()
    }
}

/// Begins the stop. Told once more, it changes nothing.
pub fn begin(module: &ControllerHandle, health: &ShutdownState, longest_wait: TimeDelta) {
    let told = clock::now();
    let answered = told + longest_wait.min(LONGEST) + AFTER;
    let steps =
        ShutdownSchedule { coming: (told + COMING).min(answered), answered, over: answered + LEAVING };
    if health.0.set(steps).is_ok() {
        module.stopping(answered);
        tracing::info!("stopping with {} jobs open", module.open.load(SeqCst));
    }
}
