//! The lines of the event bus: numbered changes of the endpoint list, and heartbeats.

use pebblevane::interface::LifecycleState;
use pebblevane_adapter_common::{FieldError, Fields, Wanted};
use serde_json::Value as Json;

/// The name for an event in errors.
const EVENT_OBJECT: &str = "event";
/// The name for an entry of the endpoint list in errors.
const ENTRY_OBJECT: &str = "instances";

/// In an event: its number. In a heartbeat: the number of the last event.
const OFFSET: &str = "offset";
/// In an event: the change of the endpoint list.
const TOPOLOGY: &str = "topology";
/// In a change: whether it replaces the whole list.
const RESET: &str = "reset";
/// In a change: the entries.
const INSTANCES: &str = "instances";

const NAME: &str = "instanceId";
const ADDRESS: &str = "hostPort";
const LOCATION: &str = "zone";
const MACHINE_TYPE: &str = "machineType";
const CELL: &str = "cell";
const WEIGHT: &str = "weight";
const STARTED_AT_MS: &str = "startedAtMs";
const LIFECYCLE: &str = "lifecycle";
const LIFECYCLE_RUNNING: &str = "in_service";
const LIFECYCLE_DRAINING: &str = "terminating";
const LIFECYCLE_GONE: &str = "terminated";
const LIFECYCLE_WANTED: Wanted = Wanted::Described("in_service, terminating or terminated");

/// The weight of an engine whose entry has none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The request that the bus expects on a new connection: to send all events after `last_event`.
pub fn subscribe_request(last_event: u64) -> String {
    format!("from {last_event}\n")
}

/// Unix time in microseconds, read from a machine's wall clock. A [`Timestamp`](pebblevane::time::Timestamp) is read
/// from the program's monotonic clock instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixTime(pub i64);

impl UnixTime {
    fn from_millis_f64(millis: f64) -> UnixTime {
        UnixTime((millis * 1000.0).round() as i64)
    }
}

/// One line of the bus.
#[derive(Debug, PartialEq)]
pub enum Line {
    /// The number of the last event on the bus, sent either as a bare number or as an object without a change.
    Heartbeat(u64),
    /// A change of the endpoint list.
    Event(Event),
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The number of the event. Consecutive events have consecutive numbers.
    pub offset: u64,
    /// Whether the entries are the complete list, rather than only those that have changed.
    pub complete: bool,
    /// The well-formed entries.
    pub engines: Vec<EndpointEntry>,
    /// What is wrong with the other entries.
    pub malformed: Vec<FieldError>,
}

/// One engine of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The engine's unique name.
    pub name: String,
    /// Host and port, not validated.
    pub address: String,
    /// The name of its location.
    pub location: String,
    /// The name of its machine type.
    pub machine_type: String,
    /// The number of its cell.
    pub cell: usize,
    /// Whether it accepts jobs, is draining, or is gone.
    pub lifecycle: LifecycleState,
    /// Its capacity, as a multiple of that of a usual engine.
    pub weight: f64,
    /// When it started, by the wall clock of the machine that wrote the entry.
    pub started: Option<UnixTime>,
}

/// Why a line can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// The line is not JSON.
    #[error("the line is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A field of the event is missing or malformed.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// Decodes one line.
///
/// # Errors
/// If the line is not JSON, or a field of the event itself is missing or malformed. Malformed entries of the list are
/// no error but are recorded in the event.
pub fn decode_line(line: &str) -> Result<Line, LineError> {
    let json: Json = serde_json::from_str(line)?;
    if let Some(last_event) = json.as_u64() {
        return Ok(Line::Heartbeat(last_event));
    }
    let fields = Fields { name: EVENT_OBJECT, json: &json };
    if fields.get(TOPOLOGY).is_none() {
        return Ok(Line::Heartbeat(fields.whole(OFFSET)?));
    }
    Ok(Line::Event(decode_event(&json)?))
}

/// Decodes one event.
///
/// # Errors
/// If a field of the event itself is missing or malformed.
pub fn decode_event(json: &Json) -> Result<Event, FieldError> {
    let event = Fields { name: EVENT_OBJECT, json };
    let topology = event.object(TOPOLOGY)?;
    let (mut engines, mut malformed) = (Vec::new(), Vec::new());
    for json in topology.list(INSTANCES)? {
        match decode_entry(Fields { name: ENTRY_OBJECT, json }) {
            Ok(entry) => engines.push(entry),
            Err(error) => malformed.push(error),
        }
    }
    Ok(Event { offset: event.whole(OFFSET)?, complete: topology.flag(RESET)?, engines, malformed })
}

fn decode_entry(entry: Fields) -> Result<EndpointEntry, FieldError> {
    let started_at_ms = entry.number_or(STARTED_AT_MS, 0.0)?;
    Ok(EndpointEntry {
        name: entry.text(NAME)?.to_string(),
        address: entry.text(ADDRESS)?.to_string(),
        location: entry.text(LOCATION)?.to_string(),
        machine_type: entry.text(MACHINE_TYPE)?.to_string(),
        cell: entry.whole_or_zero(CELL)? as usize,
        lifecycle: decode_lifecycle(entry)?,
        weight: entry.number_or(WEIGHT, DEFAULT_WEIGHT)?,
        started: (started_at_ms > 0.0).then(|| UnixTime::from_millis_f64(started_at_ms)),
    })
}

fn decode_lifecycle(entry: Fields) -> Result<LifecycleState, FieldError> {
    match entry.text(LIFECYCLE)? {
        LIFECYCLE_RUNNING => Ok(LifecycleState::Running),
        LIFECYCLE_DRAINING => Ok(LifecycleState::Draining),
        LIFECYCLE_GONE => Ok(LifecycleState::Gone),
        _ => Err(entry.error(LIFECYCLE, LIFECYCLE_WANTED)),
    }
}
