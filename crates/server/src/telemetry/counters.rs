//! Event counters of the running process, written to the log at a fixed interval.

use crate::telemetry::invariants;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// A count of events since the process started.
pub struct Counter {
    /// The name in the log line.
    name: &'static str,
    count: AtomicU64,
}

/// Jobs submitted to the admission controller.
pub static JOBS_ADMITTED: Counter = Counter::new("jobs_admitted");
/// Jobs answered with their complete result.
pub static JOBS_COMPLETED: Counter = Counter::new("jobs_completed");
/// Jobs that the admission controller rejected.
pub static JOBS_REJECTED: Counter = Counter::new("jobs_rejected");
/// Jobs that the admission controller cancelled permanently.
pub static JOBS_CANCELLED: Counter = Counter::new("jobs_cancelled");
/// Jobs whose client cancelled them, or disconnected, before they were answered.
pub static JOBS_ABANDONED: Counter = Counter::new("jobs_abandoned");
/// Jobs rejected because one of the program's own limits was reached.
pub static LOCAL_LIMIT_REJECTIONS: Counter = Counter::new("local_limit_rejections");
/// Requests that could be decoded but are invalid.
pub static INVALID_REQUESTS: Counter = Counter::new("invalid_requests");
/// Idle connections, of clients and to engines, that were closed to free their descriptors.
pub static CONNECTIONS_EVICTED: Counter = Counter::new("connections_evicted");
/// Clients that were disconnected because they did not read their answers.
pub static SLOW_CLIENTS_CUT_OFF: Counter = Counter::new("slow_clients_cut_off");
/// Engine messages that belong to no open dispatch.
pub static UNEXPECTED_ENGINE_MESSAGES: Counter = Counter::new("unexpected_engine_messages");
/// Connections to engines that were lost.
pub static ENGINE_CONNECTIONS_LOST: Counter = Counter::new("engine_connections_lost");
/// Lines and endpoints of the event bus that could not be decoded.
pub static MALFORMED_EVENTS: Counter = Counter::new("malformed_events");
/// Answers written after the client's timeout.
pub static LATE_RESPONSES: Counter = Counter::new("late_responses");

/// All counters, in the order of the log line.
static ALL: [&Counter; 13] = [
    &JOBS_ADMITTED,
    &JOBS_COMPLETED,
    &JOBS_REJECTED,
    &JOBS_CANCELLED,
    &JOBS_ABANDONED,
    &LOCAL_LIMIT_REJECTIONS,
    &INVALID_REQUESTS,
    &CONNECTIONS_EVICTED,
    &SLOW_CLIENTS_CUT_OFF,
    &UNEXPECTED_ENGINE_MESSAGES,
    &ENGINE_CONNECTIONS_LOST,
    &MALFORMED_EVENTS,
    &LATE_RESPONSES,
];

impl Counter {
    const fn new(name: &'static str) -> Counter {
        Counter { name, count: AtomicU64::new(0) }
    }

    /// Counts one event.
    pub fn increment(&self) {
        self.count.fetch_add(1, Relaxed);
    }
}

/// All counts and the number of invariant violations in one line, as `name=count` pairs.
pub fn line() -> String {
    let pairs: Vec<String> =
        ALL.iter().map(|counter| format!("{}={}", counter.name, counter.count.load(Relaxed))).collect();
    format!("{} violations={}", pairs.join(" "), invariants::violation_count())
}
