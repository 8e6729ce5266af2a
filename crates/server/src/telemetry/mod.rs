//! Counters and invariant checks of the running process.

pub mod counters;
pub mod invariants;
