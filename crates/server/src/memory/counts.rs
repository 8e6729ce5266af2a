//! What has happened since the start, told in the log at a slow pace.

use super::invariants;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// One count; the log names it.
pub struct Count(&'static str, AtomicU64);

pub static TAKEN: Count = Count("taken", AtomicU64::new(0));
pub static DONE: Count = Count("done", AtomicU64::new(0));
pub static THROTTLED: Count = Count("throttled", AtomicU64::new(0));
pub static CANCELLED: Count = Count("cancelled", AtomicU64::new(0));
/// Clients that left before their answer.
pub static LEFT: Count = Count("left", AtomicU64::new(0));
/// Jobs that found one of the program's own limits reached.
pub static AT_LIMIT: Count = Count("at_limit", AtomicU64::new(0));
pub static UNUSABLE: Count = Count("unusable", AtomicU64::new(0));
/// Idle connections, of clients and to engines, that made room for others.
pub static MADE_ROOM: Count = Count("made_room", AtomicU64::new(0));
pub static CUT_CLIENTS: Count = Count("cut_clients", AtomicU64::new(0));
/// Words of engines that nobody waited for.
pub static STRAY_WORDS: Count = Count("stray_words", AtomicU64::new(0));
pub static LOST_CONNECTIONS: Count = Count("lost_connections", AtomicU64::new(0));
pub static ODD_EVENTS: Count = Count("odd_events", AtomicU64::new(0));
/// Answers that left after their client's wait.
pub static LATE_ANSWERS: Count = Count("late_answers", AtomicU64::new(0));

static ALL: [&Count; 13] = [
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

impl Count {
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
