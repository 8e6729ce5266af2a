//! Records what clients, engines, the event bus and the supervisor observe during a play, each observation with its
//! time on one monotonic clock. The checker evaluates the records afterwards.

use serde::Serialize;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Microseconds: a time since the start of the play, or a duration.
pub type Micros = u64;

/// One process of a gateway, between a start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct GatewayRun {
    pub gateway: usize,
    /// 1 for the gateway's first process, increased by 1 at each start.
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
        #[serde(rename = "why")]
        reason: String,
    },
    /// The connection ended before an answer, and the client had not closed it.
    Closed {
        /// Whether it was reset, not closed in order.
        reset: bool,
    },
    /// The client cancelled the request or closed the connection.
    #[serde(rename = "Left")]
    Abandoned,
}

/// A request as its client sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Request {
    pub id: String,
    /// The gateway process that the client is connected to.
    pub to: GatewayRun,
    /// Index into the classes of the schedule.
    pub class: usize,
    /// The timeout that the request carries.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: u64,
    /// When its last byte was written.
    #[serde(rename = "sent")]
    pub sent_at: Micros,
    /// Whether it is the first request on its connection. The gateway accepts these for longer while it stops.
    #[serde(rename = "fresh")]
    pub is_first_on_connection: bool,
    pub end: Option<(Micros, RequestEnd)>,
    /// Number of answers after the first end.
    pub further_answers: u32,
}

/// How a dispatch ended at the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum DispatchEnd {
    Done,
    /// The engine answered with an error.
    Fault,
    /// The engine rejected the dispatch before running it.
    Shed,
    /// The engine answered that the time limit had passed before the dispatch ran.
    Late,
    /// The gateway cancelled the dispatch or released its result.
    Stopped,
    /// The connection ended.
    Disconnected,
}

/// A dispatch as its engine sees it.
#[derive(Clone, Debug, Serialize)]
pub struct Dispatch {
    pub id: String,
    pub class: String,
    pub from: GatewayRun,
    pub engine: usize,
    /// The run of the engine's process: 0 for the first one.
    pub engine_run: u32,
    /// When it had been received completely.
    #[serde(rename = "at")]
    pub received_at: Micros,
    /// The time limit that the gateway sent with it.
    pub limit_ms: u64,
    pub end: Option<(Micros, DispatchEnd)>,
}

/// What happened to an engine or a gateway.
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
    /// The engine was published on the event bus as terminating or terminated. Each gateway is notified later, when the
    /// bus writes the change to its connection.
    Drained {
        engine: usize,
        run: u32,
    },
    /// The engine was published on the event bus as in service.
    #[serde(rename = "StartListed")]
    ListedInService {
        engine: usize,
        run: u32,
    },
    /// A gateway was sent a change of this engine, by the event bus or in its configuration.
    #[serde(rename = "Told")]
    Notified {
        to: GatewayRun,
        engine: usize,
        run: u32,
        /// Whether the engine was listed as terminating or terminated.
        drained: bool,
    },
    GatewayStarted {
        run: GatewayRun,
    },
    /// The gateway answered its first health check.
    GatewayReady {
        run: GatewayRun,
    },
    /// A gateway is about to get its first SIGTERM or SIGINT.
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
        /// Whether it was stopped as planned and exited with status 0.
        clean: bool,
    },
    /// The gateway logged an error, panicked or wrote to its standard error.
    #[serde(rename = "Complained")]
    ErrorLogged {
        run: GatewayRun,
        line: String,
    },
    /// The soak's own timers were late by this much, so recorded times near this event are unreliable.
    Lagged {
        by_us: u64,
    },
}

/// All that was recorded during one play.
#[derive(Default, Serialize)]
pub struct Records {
    pub requests: Vec<Request>,
    pub dispatches: Vec<Dispatch>,
    pub events: Vec<(Micros, Event)>,
}

/// Collects the records of a play that is running.
pub struct History {
    started: Instant,
    records: Mutex<Records>,
}

impl History {
    /// Starts the play's clock.
    pub fn start() -> History {
        History { started: Instant::now(), records: Mutex::default() }
    }

    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn record_event(&self, event: Event) {
        let at = self.now();
        self.records().events.push((at, event));
    }

    /// Returns the index of the new record.
    pub fn record_request(&self, request: Request) -> usize {
        let mut records = self.records();
        records.requests.push(request);
        records.requests.len() - 1
    }

    /// Records the end of the request at this index, or counts a further answer.
    pub fn record_request_end(&self, index: usize, end: RequestEnd) {
        let now = self.now();
        let request = &mut self.records().requests[index];
        let is_answer = !matches!(end, RequestEnd::Closed { .. } | RequestEnd::Abandoned);
        match &request.end {
            None => request.end = Some((now, end)),
            // The answer may have been sent before the gateway learned that its client had abandoned the request.
            Some((_, RequestEnd::Abandoned)) => {}
            Some(_) => request.further_answers += u32::from(is_answer),
        }
    }

    /// Returns the index of the new record.
    pub fn record_dispatch(&self, dispatch: Dispatch) -> usize {
        let mut records = self.records();
        records.dispatches.push(dispatch);
        records.dispatches.len() - 1
    }

    /// Records the end of the dispatch at this index. Only the first end counts.
    pub fn record_dispatch_end(&self, index: usize, end: DispatchEnd) {
        let now = self.now();
        let dispatch = &mut self.records().dispatches[index];
        dispatch.end.get_or_insert((now, end));
    }

    /// Returns all records and leaves none.
    pub fn take_records(&self) -> Records {
        std::mem::take(&mut *self.records())
    }
}
