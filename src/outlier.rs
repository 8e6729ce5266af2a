//! Outlier ejection of faulty engines.
//!
//! An engine is ejected after consecutive refused or lost connections, when a health check can't reach it, or when it
//! sends nothing although progress is overdue. After the ejection it is half-open: it gets one dispatch at a time
//! until it answers or sends progress.

use crate::interface::JobId;
use crate::time::{TimeDelta, Timestamp};

/// Duration of an ejection that does not soon follow another one.
const INITIAL_EJECTION: TimeDelta = TimeDelta::from_millis(500);
/// Maximum duration of an ejection, reached by doubling.
const MAX_EJECTION: TimeDelta = TimeDelta::from_millis(8_000);
/// If an engine is ejected again within this multiple of the last ejection's duration after its end, the duration
/// doubles.
const RECURRENCE_WINDOW_FACTOR: f64 = 4.0;
/// Number of consecutive connection failures that eject an engine; a single one is no reason to eject it.
const FAILURES_TO_EJECT: u32 = 2;

/// Ejection state of one engine.
#[derive(Debug, Default)]
pub struct Ejection {
    /// End of the ejection; no job is sent to the engine before.
    pub ejected_until: Timestamp,
    /// Duration of the current or last ejection.
    pub duration: TimeDelta,
    /// The engine was ejected and has neither answered a job nor sent progress since: it gets one dispatch at a time.
    pub half_open: bool,
    /// The job in flight at the half-open engine.
    pub half_open_job: Option<JobId>,
    /// Number of refused and lost connections since the engine last answered a job.
    pub consecutive_failures: u32,
}

impl Ejection {
    /// Ejects the engine, unless it already is.
    pub fn eject(&mut self, now: Timestamp) {
        if self.ejected_until > now {
            return;
        }
        let recurs = now - self.ejected_until < self.duration.mul_f64(RECURRENCE_WINDOW_FACTOR);
        let doubled = TimeDelta(self.duration.0 * 2);
        self.duration = if recurs { doubled.min(MAX_EJECTION) } else { INITIAL_EJECTION };
        self.ejected_until = now + self.duration;
        self.half_open = true;
        self.half_open_job = None;
    }

    /// Counts a failed connection and ejects the engine if it is half-open or has failed too often.
    pub fn connection_failed(&mut self, now: Timestamp) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_TO_EJECT || self.half_open {
            self.eject(now);
        }
    }

    /// Closes the half-open state and resets the failures after the engine answered a job.
    pub fn answered(&mut self) {
        self.half_open = false;
        self.consecutive_failures = 0;
    }

    /// Closes the half-open state after the engine sent progress.
    pub fn progressed(&mut self) {
        self.half_open = false;
    }

    /// Ends the ejection after the engine answered a health check; the engine remains half-open.
    pub fn health_check_passed(&mut self, now: Timestamp) {
        self.ejected_until = self.ejected_until.min(now);
    }

    /// Whether the engine gets no dispatch now: it is ejected, or half-open with a job in flight.
    pub fn is_closed_to_dispatches(&self, now: Timestamp) -> bool {
        self.ejected_until > now || (self.half_open && self.half_open_job.is_some())
    }
}
