//! What has happened since the start, told in the log at a slow pace.

use crate::telemetry::invariants;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// One count; the log names it.
pub struct Counter(&'static str, AtomicU64);

pub static TAKEN: Counter = Counter("taken", AtomicU64::new(0));
pub static DONE: Counter = Counter("done", AtomicU64::new(0));
pub static THROTTLED: Counter = Counter("throttled", AtomicU64::new(0));
pub static CANCELLED: Counter = Counter("cancelled", AtomicU64::new(0));
/// Clients that left before their answer.
pub static LEFT: Counter = Counter("left", AtomicU64::new(0));
/// Jobs that found one of the program's own limits reached.
pub static AT_LIMIT: Counter = Counter("at_limit", AtomicU64::new(0));
pub static UNUSABLE: Counter = Counter("unusable", AtomicU64::new(0));
/// Idle connections, of clients and to engines, that made room for others.
pub static MADE_ROOM: Counter = Counter("made_room", AtomicU64::new(0));
pub static CUT_CLIENTS: Counter = Counter("cut_clients", AtomicU64::new(0));
/// Words of engines that nobody waited for.
pub static STRAY_WORDS: Counter = Counter("stray_words", AtomicU64::new(0));
pub static LOST_CONNECTIONS: Counter = Counter("lost_connections", AtomicU64::new(0));
pub static ODD_EVENTS: Counter = Counter("odd_events", AtomicU64::new(0));
/// Answers that left after their client's wait.
pub static LATE_ANSWERS: Counter = Counter("late_answers", AtomicU64::new(0));

static ALL: [&Counter; 13] = [
    &TAKEN,
    &DONE,
    &THROTTLED,
    &CANCELLED,
    &LEFT,
    &AT_LIMIT,
    &UNUSABLE,
    &MADE_ROOM,
    &CUT_CLIENTS,
    &STRAY_WORDS,
    &LOST_CONNECTIONS,
    &ODD_EVENTS,
    &LATE_ANSWERS,
];

impl Counter {
    pub fn add(&self) {
        self.1.fetch_add(1, Relaxed);
    }
}

/// All counts in one line.
pub fn line() -> String {
    let parts: Vec<String> =
        ALL.iter().map(|count| format!("{}={}", count.0, count.1.load(Relaxed))).collect();
    format!("{} violations={}", parts.join(" "), invariants::violations())
}
