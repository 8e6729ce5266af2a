//! What has left for one job, as the connections to engines saw it: the last look before a dispatch's first byte, apart
//! from the module's own books.

use crate::config::retry_semantics::RetrySemantics;
use crate::telemetry::invariants::{self, Invariant};
use pebblevane::time::{TimeDelta, Timestamp};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// An engine may be told so much more time than the client has left.
const DEADLINE_SLACK: TimeDelta = TimeDelta(150_000);

/// Whether an engine may have run a dispatch that was sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// Its end proves that it never ran.
    NeverRan,
    /// It may have run, at least in part.
    MayHaveRun,
}

pub struct DispatchLedger {
    id: Box<str>,
    rules: RetrySemantics,
    /// When the client stops waiting.
    deadline: Timestamp,
    entries: Mutex<Entries>,
}

#[derive(Default)]
struct Entries {
    /// Dispatches that have left and have not ended.
    out: u32,
    /// When the first dispatch left that may have run.
    may_have_run: Option<Timestamp>,
}

impl DispatchLedger {
    pub fn new(id: &str, rules: RetrySemantics, deadline: Timestamp) -> DispatchLedger {
        DispatchLedger { id: id.into(), rules, deadline, entries: Mutex::default() }
    }

    fn entries(&self) -> MutexGuard<'_, Entries> {
        // A panic ends the program, so that nobody sees what a panic left behind.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A dispatch is about to leave that tells its engine this deadline. Says whether it may, and enters it if so.
    pub fn try_record_send(&self, now: Timestamp, deadline: Timestamp) -> bool {
        let mut entries = self.entries();
        let first = entries.may_have_run;
        let broken = match self.rules {
            _ if entries.out > 0 => Some(Invariant::SingleDispatchInFlight),
            _ if deadline > self.deadline + DEADLINE_SLACK => Some(Invariant::DeadlineWithinClientTimeout),
            RetrySemantics::RunOnce if first.is_some() => Some(Invariant::RunOnceNotRetried),
            RetrySemantics::Keyed { window, .. } if first.is_some_and(|first| now >= first + window) => {
                Some(Invariant::KeyedRetryWithinWindow)
            }
            _ => None,
        };
        match broken {
            Some(invariant) => invariants::violated(invariant, &self.id),
            None => entries.out += 1,
        }
        broken.is_none()
    }

    /// Not a byte of it has left after all.
    pub fn record_unsent(&self) {
        let mut entries = self.entries();
        entries.out = entries.out.saturating_sub(1);
    }

    /// A dispatch that had left has ended.
    pub fn record_end(&self, sent: Timestamp, execution: Execution) {
        let mut entries = self.entries();
        entries.out = entries.out.saturating_sub(1);
        if execution == Execution::MayHaveRun {
            entries.may_have_run.get_or_insert(sent);
        }
    }

    /// The job is about to be answered as throttled, which says that trying again is harmless.
    pub fn check_rejection(&self) {
        let entries = self.entries();
        let may_have_run = entries.out > 0 || entries.may_have_run.is_some();
        let harmless = match self.rules {
            RetrySemantics::Restartable => true,
            RetrySemantics::Keyed { anywhere, .. } => anywhere,
            RetrySemantics::RunOnce => false,
        };
        if may_have_run && !harmless {
            invariants::violated(Invariant::RejectedOnlyIfHarmless, &self.id);
        }
    }
}
