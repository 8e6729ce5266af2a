//! A job's record of the dispatches that were sent for it. The engine's pool checks it before the first byte of each
//! dispatch. The record does not depend on the admission controller, so it detects violations of invariants that are
//! caused by faults of the controller.

use crate::config::retry_safety::{DeduplicationScope, RetrySafety};
use crate::lifecycle::sync::lock;
use crate::telemetry::invariants::{self, Invariant};
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::Mutex;

/// The maximum time by which a dispatch's deadline may exceed the end of the client's timeout.
const DEADLINE_SLACK: TimeDelta = TimeDelta::from_millis(150);

/// Whether an engine may have run a dispatch that was sent to it and has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The way it ended proves that it never ran.
    NeverRan,
    /// It may have run, at least in part.
    MayHaveRun,
}

/// One job's record of the dispatches that were sent for it.
pub struct DispatchLedger {
    id: Box<str>,
    retry_safety: RetrySafety,
    /// When the client stops waiting.
    deadline: Timestamp,
    entries: Mutex<Entries>,
}

#[derive(Default)]
struct Entries {
    /// The number of dispatches that were sent and have not ended.
    in_flight: u32,
    /// When the first of the dispatches that may have run was sent.
    first_possible_run: Option<Timestamp>,
    /// Whether no dispatch may be sent any more.
    closed: bool,
}

impl Entries {
    fn may_have_run(&self) -> bool {
        self.in_flight > 0 || self.first_possible_run.is_some()
    }
}

impl DispatchLedger {
    /// The record of a job that has not been sent; its client stops waiting at `deadline`.
    pub fn new(id: &str, retry_safety: RetrySafety, deadline: Timestamp) -> DispatchLedger {
        DispatchLedger { id: id.into(), retry_safety, deadline, entries: Mutex::default() }
    }

    /// Records a dispatch that is about to be sent with this deadline, and returns whether it may be sent: not if the
    /// record is closed. A dispatch that would violate an invariant is counted as a violation and not recorded.
    #[must_use]
    pub fn try_record_send(&self, now: Timestamp, deadline: Timestamp) -> bool {
        let mut entries = lock(&self.entries);
        if entries.closed {
            return false;
        }
        let first_possible_run = entries.first_possible_run;
        let violation = match self.retry_safety {
            _ if entries.in_flight > 0 => Some(Invariant::SingleDispatchInFlight),
            _ if deadline > self.deadline + DEADLINE_SLACK => Some(Invariant::DeadlineWithinClientTimeout),
            RetrySafety::RunOnce if first_possible_run.is_some() => Some(Invariant::RunOnceNotRetried),
            RetrySafety::IdempotencyKey { deduplication_window, .. }
                if first_possible_run.is_some_and(|first| now >= first + deduplication_window) =>
            {
                Some(Invariant::KeyedRetryWithinWindow)
            }
            _ => None,
        };
        match violation {
            Some(invariant) => invariants::report_violation(invariant, &self.id),
            None => entries.in_flight += 1,
        }
        violation.is_none()
    }

    /// Removes a dispatch from the record because no byte of it was sent.
    pub fn record_unsent(&self) {
        let mut entries = lock(&self.entries);
        entries.in_flight = entries.in_flight.saturating_sub(1);
    }

    /// Records the end of a dispatch that was sent at this time.
    pub fn record_end(&self, sent: Timestamp, execution: Execution) {
        let mut entries = lock(&self.entries);
        entries.in_flight = entries.in_flight.saturating_sub(1);
        if execution == Execution::MayHaveRun {
            entries.first_possible_run.get_or_insert(sent);
        }
    }

    /// Ends the record: no dispatch may be sent any more. Returns whether another job must not take this one's place,
    /// because it may have run, and another run is not known to be harmless.
    pub fn close(&self) -> bool {
        let mut entries = lock(&self.entries);
        entries.closed = true;
        entries.may_have_run() && self.retry_safety != RetrySafety::Restartable
    }

    /// Checks that the job may be rejected: clients retry rejected jobs, so another run must be harmless if the job may
    /// have run. A violation is counted, but the rejection is sent anyway.
    pub fn check_rejection(&self) {
        let entries = lock(&self.entries);
        let retry_is_harmless = match self.retry_safety {
            RetrySafety::Restartable => true,
            RetrySafety::IdempotencyKey { deduplication_scope, .. } => {
                deduplication_scope == DeduplicationScope::Pool
            }
            RetrySafety::RunOnce => false,
        };
        if entries.may_have_run() && !retry_is_harmless {
            invariants::report_violation(Invariant::RejectedOnlyIfHarmless, &self.id);
        }
    }
}
