//! Decides that an engine is ejected as an outlier, for how long, and when it is half open and trusted again.
//!
//! An engine is ejected after refused or lost connections, or when it is silent though progress is due. After
//! that it is half open: it gets one dispatch at a time until it answers.

use crate::interface::JobId;
use crate::time::{TimeDelta, Timestamp};

const FIRST_EJECTION: TimeDelta = TimeDelta(500_000);
const MAX_EJECTION: TimeDelta = TimeDelta(8_000_000);
/// An engine that is ejected again within this multiple of its last ejection is ejected for twice as long.
const RECURRENCE_WINDOW: f64 = 4.0;
/// One lost connection is no reason to lose an engine; two in a row are.
const FAILURES_TO_EJECT: u32 = 2;

/// An engine's ejection as an outlier.
#[derive(Debug, Default)]
pub struct Ejection {
    /// Until when nothing is sent there.
    pub ejected_until: Timestamp,
    /// How long the last ejection was.
    pub duration: TimeDelta,
    /// It was ejected and has not answered since: it gets one dispatch at a time.
    pub half_open: bool,
    /// The job that is in flight while it is half open.
    pub half_open_job: Option<JobId>,
    /// Refused and lost connections since the last answer.
    pub consecutive_failures: u32,
}

impl Ejection {
    /// Ejects the engine, unless it is ejected already.
    pub fn eject(&mut self, now: Timestamp) {
        if self.ejected_until > now {
            return;
        }
        let recurs = now - self.ejected_until < self.duration.mul_f64(RECURRENCE_WINDOW);
        let doubled = TimeDelta(self.duration.0 * 2);
        self.duration = if recurs { doubled.min(MAX_EJECTION) } else { FIRST_EJECTION };
        self.ejected_until = now + self.duration;
        self.half_open = true;
        self.half_open_job = None;
    }

    /// A connection to the engine failed.
    pub fn connection_failed(&mut self, now: Timestamp) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= FAILURES_TO_EJECT || self.half_open {
            self.eject(now);
        }
    }

    /// The engine answered a job.
    pub fn answered(&mut self) {
        self.half_open = false;
        self.consecutive_failures = 0;
    }

    /// The engine sent progress.
    pub fn progressed(&mut self) {
        self.half_open = false;
    }

    /// The engine answered a health check: it may be tried at once.
    pub fn health_check_passed(&mut self, now: Timestamp) {
        self.ejected_until = self.ejected_until.min(now);
    }

    /// Whether nothing may be sent there now: it is ejected, or half open and has its one dispatch.
    pub fn is_closed_to_dispatches(&self, now: Timestamp) -> bool {
        self.ejected_until > now || (self.half_open && self.half_open_job.is_some())
    }
}
