//! What clients, engines, the bus and the supervisor saw, each with its time on one monotonic clock (microseconds since
//! the start of the play). Nothing here checks it.

use serde::Serialize;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Microseconds since the start of the play.
pub type At = u64;

/// A run of a gateway's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct GatewayRun {
    pub gateway: usize,
    pub run: u32,
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum RequestEnd {
    Done {
        rows: String,
    },
    Busy,
    Failed {
        why: String,
    },
    /// The connection ended before an answer.
    Closed {
        reset: bool,
    },
    /// The client took it back, or closed the connection.
    Left,
}

#[derive(Clone, Debug, Serialize)]
pub struct Request {
    pub id: String,
    pub to: GatewayRun,
    pub class: usize,
    pub patience_ms: u64,
    /// When its last byte was written.
    pub sent: At,
    /// No request had gone before it on its connection.
    pub fresh: bool,
    pub end: Option<(At, RequestEnd)>,
    /// Answers after the first end.
    pub further_answers: u32,
}

/// How a dispatch ended at the engine's end of its link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum DispatchEnd {
    Done,
    Fault,
    /// Refused before it ran.
    Shed,
    /// Over before it ran.
    Late,
    /// The gateway gave it up.
    Stopped,
    /// Its connection ended.
    Disconnected,
}

#[derive(Clone, Debug, Serialize)]
pub struct Dispatch {
    pub id: String,
    pub class: String,
    pub from: GatewayRun,
    pub engine: usize,
    /// The run of that engine's process.
    pub engine_run: u32,
    /// When it had come whole.
    pub at: At,
    pub limit_ms: u64,
    pub end: Option<(At, DispatchEnd)>,
}

#[derive(Clone, Debug, Serialize)]
pub enum Event {
    EngineStarted {
        engine: usize,
        run: u32,
    },
    EngineDied {
        engine: usize,
        run: u32,
    },
    /// The bus has it; each gateway is told when the bus could write it there.
    Drained {
        engine: usize,
        run: u32,
    },
    StartListed {
        engine: usize,
        run: u32,
    },
    /// The bus has written all its events up to a number to a gateway.
    Told {
        to: GatewayRun,
        engine: usize,
        run: u32,
        drained: bool,
    },
    GatewayStarted {
        run: GatewayRun,
    },
    GatewayReady {
        run: GatewayRun,
    },
    GatewayStopping {
        run: GatewayRun,
    },
    GatewayKilled {
        run: GatewayRun,
    },
    GatewayFrozen {
        run: GatewayRun,
    },
    GatewayThawed {
        run: GatewayRun,
    },
    GatewayEnded {
        run: GatewayRun,
        status: String,
        clean: bool,
    },
    /// A line of a gateway's log that says that an invariant is broken or that it panicked.
    Complained {
        run: GatewayRun,
        line: String,
    },
    /// The test itself was late by so much: its times are not to be trusted there.
    Lagged {
        by_us: u64,
    },
}

#[derive(Default, Serialize)]
pub struct Records {
    pub requests: Vec<Request>,
    pub dispatches: Vec<Dispatch>,
    pub events: Vec<(At, Event)>,
}

pub struct History {
    began: Instant,
    records: Mutex<Records>,
}

impl History {
    pub fn begin() -> History {
        History { began: Instant::now(), records: Mutex::default() }
    }

    pub fn now(&self) -> At {
        self.began.elapsed().as_micros() as At
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn event(&self, event: Event) {
        let at = self.now();
        self.records().events.push((at, event));
    }

    /// Enters a request; the returned number names it.
    pub fn request(&self, request: Request) -> usize {
        let mut records = self.records();
        records.requests.push(request);
        records.requests.len() - 1
    }

    pub fn request_ended(&self, request: usize, end: RequestEnd) {
        let now = self.now();
        let request = &mut self.records().requests[request];
        let is_answer = !matches!(end, RequestEnd::Closed { .. } | RequestEnd::Left);
        match &request.end {
            None => request.end = Some((now, end)),
            // An answer may be on its way when its client leaves.
            Some((_, RequestEnd::Left)) => {}
            Some(_) => request.further_answers += u32::from(is_answer),
        }
    }

    pub fn dispatch(&self, dispatch: Dispatch) -> usize {
        let mut records = self.records();
        records.dispatches.push(dispatch);
        records.dispatches.len() - 1
    }

    pub fn dispatch_ended(&self, dispatch: usize, end: DispatchEnd) {
        let now = self.now();
        let dispatch = &mut self.records().dispatches[dispatch];
        dispatch.end.get_or_insert((now, end));
    }

    pub fn take(&self) -> Records {
        std::mem::take(&mut *self.records())
    }
}
