//! A job's record of the dispatches that were sent for it. It is kept by the connections to engines and checked before
//! the first byte of each dispatch, independently of the admission controller, whose faults it thereby detects.

use crate::config::retry_semantics::{IdempotencyScope, RetrySemantics};
use crate::lifecycle::sync::lock;
use crate::telemetry::invariants::{self, Invariant};
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::Mutex;

/// How much later than the client's timeout a dispatch's deadline may be.
const DEADLINE_SLACK: TimeDelta = TimeDelta(150_000);

/// Whether an engine may have run a dispatch that was sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Its end proves that it never ran.
    NeverRan,
    /// It may have run, at least in part.
    MayHaveRun,
}

/// The record of one job.
pub struct DispatchLedger {
    id: Box<str>,
    semantics: RetrySemantics,
    /// When the client stops waiting.
    deadline: Timestamp,
    entries: Mutex<Entries>,
}

#[derive(Default)]
struct Entries {
    /// Dispatches that were sent and have not ended.
    in_flight: u32,
    /// When the first dispatch was sent that may have run.
    first_run: Option<Timestamp>,
}

impl DispatchLedger {
    /// The record of a job that has not been sent; its client stops waiting at `deadline`.
    pub fn new(id: &str, semantics: RetrySemantics, deadline: Timestamp) -> DispatchLedger {
        DispatchLedger { id: id.into(), semantics, deadline, entries: Mutex::default() }
    }

    /// Records a dispatch that is about to be sent with this deadline. Returns whether it may be: one that would
    /// violate an invariant is counted as a violation instead.
    #[must_use]
    pub fn try_record_send(&self, now: Timestamp, deadline: Timestamp) -> bool {
        let mut entries = lock(&self.entries);
        let first_run = entries.first_run;
        let violation = match self.semantics {
            _ if entries.in_flight > 0 => Some(Invariant::SingleDispatchInFlight),
            _ if deadline > self.deadline + DEADLINE_SLACK => Some(Invariant::DeadlineWithinClientTimeout),
            RetrySemantics::RunOnce if first_run.is_some() => Some(Invariant::RunOnceNotRetried),
            RetrySemantics::IdempotencyKey { window, .. }
                if first_run.is_some_and(|first| now >= first + window) =>
            {
                Some(Invariant::KeyedRetryWithinWindow)
            }
            _ => None,
        };
        match violation {
            Some(invariant) => invariants::violated(invariant, &self.id),
            None => entries.in_flight += 1,
        }
        violation.is_none()
    }

    /// Removes a recorded dispatch of which no byte was sent.
    pub fn record_unsent(&self) {
        let mut entries = lock(&self.entries);
        entries.in_flight = entries.in_flight.saturating_sub(1);
    }

    /// Records the end of a dispatch that was sent at this time.
    pub fn record_end(&self, sent: Timestamp, execution: Execution) {
        let mut entries = lock(&self.entries);
        entries.in_flight = entries.in_flight.saturating_sub(1);
        if execution == Execution::MayHaveRun {
            entries.first_run.get_or_insert(sent);
        }
    }

    /// Checks that the job may be answered as rejected, since clients retry rejected jobs. A violation is counted, but
    /// the answer is sent all the same.
    pub fn check_rejection(&self) {
        let entries = lock(&self.entries);
        let may_have_run = entries.in_flight > 0 || entries.first_run.is_some();
        let harmless = match self.semantics {
            RetrySemantics::Restartable => true,
            RetrySemantics::IdempotencyKey { scope, .. } => scope == IdempotencyScope::Pool,
            RetrySemantics::RunOnce => false,
        };
        if may_have_run && !harmless {
            invariants::violated(Invariant::RejectedOnlyIfHarmless, &self.id);
        }
    }
}
