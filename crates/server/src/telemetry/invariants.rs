//! What must never happen, counted while the program runs. Each is looked for at the one place that every path passes,
//! apart from the decisions that are to prevent it: a count other than zero is a fault of the program.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A request that is still waited for has an answer (rule 1).
    Answered,
    /// An answer leaves before its request counts as lost (rule 1).
    AnsweredInTime,
    /// A connection is closed by choice only when nothing is open on it (rule 1).
    ClosedAtRest,
    /// A job has one dispatch out at a time (rule 2).
    OneDispatchOut,
    /// A run-once job goes out again only if it provably never ran (rule 2).
    RunOnce,
    /// A keyed job goes out again only within its window (rule 2).
    KeyedInWindow,
    /// A job that may have run is throttled only where running it again is harmless (rule 2).
    ThrottledUnrun,
    /// An engine is told no longer deadline than the client has left, with the slack that the terms allow.
    DeadlineWithinWait,
}

impl Invariant {
    pub const ALL: [Invariant; 8] = [
        Invariant::Answered,
        Invariant::AnsweredInTime,
        Invariant::ClosedAtRest,
        Invariant::OneDispatchOut,
        Invariant::RunOnce,
        Invariant::KeyedInWindow,
        Invariant::ThrottledUnrun,
        Invariant::DeadlineWithinWait,
    ];
}

static VIOLATIONS: [AtomicU64; Invariant::ALL.len()] = [const { AtomicU64::new(0) }; Invariant::ALL.len()];

/// Counts a violation and says whose job it concerns, or what was under way.
pub fn violated(invariant: Invariant, by: &str) {
    VIOLATIONS[invariant as usize].fetch_add(1, Relaxed);
    tracing::error!(?invariant, subject = by, "invariant violated");
}

pub fn violations() -> u64 {
    VIOLATIONS.iter().map(|count| count.load(Relaxed)).sum()
}
