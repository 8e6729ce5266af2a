//! Invariants that are checked while the program runs.
//!
//! Each is checked at a single point that every code path passes, independently of the code that maintains it. A
//! violation shows a bug in the program.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// A property that holds unless the program has a bug. The rules are those of `docs/architecture.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// Every request whose client is still waiting is answered (rule 1).
    Answered,
    /// Every answer is written within the grace period after the client's timeout (rule 1).
    AnsweredInTime,
    /// The program closes a connection of its own accord only when no request is open on it (rule 1).
    ClosedOnlyWhenIdle,
    /// A request is cancelled by a peek at unread bytes only if its client cancels it or the connection ends (rule 1).
    CancelledByClient,
    /// A job has at most one dispatch in flight (rule 2).
    SingleDispatchInFlight,
    /// A job that must run at most once is dispatched again only if it provably never ran (rule 2).
    RunOnceNotRetried,
    /// A job with an idempotency key is dispatched again only while engines remember the key (rule 2).
    KeyedRetryWithinWindow,
    /// A job that may have run is rejected only if running it again is harmless (rule 2).
    RejectedOnlyIfHarmless,
    /// The deadline sent to an engine is no later than the client's timeout, apart from the permitted slack.
    DeadlineWithinClientTimeout,
}

impl Invariant {
    /// All invariants.
    pub const ALL: [Invariant; 9] = [
        Invariant::Answered,
        Invariant::AnsweredInTime,
        Invariant::ClosedOnlyWhenIdle,
        Invariant::CancelledByClient,
        Invariant::SingleDispatchInFlight,
        Invariant::RunOnceNotRetried,
        Invariant::KeyedRetryWithinWindow,
        Invariant::RejectedOnlyIfHarmless,
        Invariant::DeadlineWithinClientTimeout,
    ];
}

/// Violations of each invariant, indexed by its discriminant.
static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] = [const { AtomicU64::new(0) }; Invariant::ALL.len()];

/// Counts and logs a violation. `subject` identifies the job, request or operation that it concerns.
pub fn report_violation(invariant: Invariant, subject: &str) {
    VIOLATIONS[invariant as usize].fetch_add(1, Relaxed);
    tracing::error!(?invariant, subject, "invariant violated");
}

/// The number of violations of all invariants since the process started.
pub fn violation_count() -> u64 {
    VIOLATIONS.iter().map(|count| count.load(Relaxed)).sum()
}
