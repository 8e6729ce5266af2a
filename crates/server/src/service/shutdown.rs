//! A planned stop: not well at once, but serving on until all that was taken has its answer.

use crate::module::Module;
use crate::service::clock;
use pebblevane::interface::Span;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;

const COMING: Span = Span(1_000_000); // new jobs may still come for so long after the signal
const AFTER: Span = Span(400_000); // so long after the longest wait every job has its answer: a kill may follow
const LONGEST: Span = Span(3_000_000); // but a kill counts no wait as longer than this
const LINGER: Duration = Duration::from_millis(200); // for the last answers to leave

#[derive(Default)]
pub struct Health {
    stopping: AtomicBool,
}

impl Health {
    pub fn is_well(&self) -> bool {
        !self.stopping.load(SeqCst)
    }
}

/// Returns when the program may end.
pub fn drain(module: &Module, health: &Health, longest_wait: Span) {
    let told = clock::now();
    health.stopping.store(true, SeqCst);
    let by = told + longest_wait.min(LONGEST) + AFTER;
    module.stopping(by);
    tracing::info!("stopping with {} jobs open", module.open.load(SeqCst));
    while clock::now() < told + COMING || (module.open.load(SeqCst) > 0 && clock::now() < by) {
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(LINGER);
    tracing::info!("stopped with {} jobs open", module.open.load(SeqCst));
}
