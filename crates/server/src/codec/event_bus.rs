//! The lines of the event bus: numbered changes of the engine list, and a heartbeat.

use pebblevane::interface::LifecycleState;
use pebblevane_adapter_common::{FieldResult, Fields};
use serde_json::Value as Json;

/// Wall-clock time in microseconds of Unix time, as whoever stamped it read it: not a time of the program's own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnixTime(pub i64);

impl UnixTime {
    fn from_ms(ms: f64) -> UnixTime {
        UnixTime((ms * 1000.0).round() as i64)
    }
}

/// One line of the bus.
#[derive(Debug, PartialEq)]
pub enum Line {
    /// The number of the last event that the bus has, as a bare number or alone in an object.
    Heartbeat(u64),
    Event(Event),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub offset: u64,
    /// The whole list, not only what has changed.
    pub complete: bool,
    pub engines: Vec<EndpointEntry>,
    /// What is wrong with entries that can't be used.
    pub malformed: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub machine_type: String,
    pub cell: usize,
    pub lifecycle: LifecycleState,
    pub weight: f64,
    pub started: Option<UnixTime>,
}

pub fn line(line: &str) -> FieldResult<Line> {
    let json: Json = serde_json::from_str(line).map_err(|e| format!("the line is not JSON: {e}"))?;
    if let Some(last) = json.as_u64() {
        return Ok(Line::Heartbeat(last));
    }
    let fields = Fields { name: "event", json: &json };
    match fields.get("topology") {
        None => fields.whole("offset").map(Line::Heartbeat),
        Some(_) => event(&json).map(Line::Event),
    }
}

pub fn event(json: &Json) -> FieldResult<Event> {
    let event = Fields { name: "event", json };
    let topology = event.object("topology")?;
    let (mut engines, mut malformed) = (Vec::new(), Vec::new());
    for json in topology.list("instances")? {
        match entry(Fields { name: "instances", json }) {
            Ok(entry) => engines.push(entry),
            Err(why) => malformed.push(why),
        }
    }
    Ok(Event { offset: event.whole("offset")?, complete: topology.flag("reset")?, engines, malformed })
}

fn entry(entry: Fields) -> FieldResult<EndpointEntry> {
    let started = entry.number_or("startedAtMs", 0.0)?;
    Ok(EndpointEntry {
        name: entry.text("instanceId")?.to_string(),
        address: entry.text("hostPort")?.to_string(),
        zone: entry.text("zone")?.to_string(),
        machine_type: entry.text("machineType")?.to_string(),
        cell: entry.whole_or_zero("cell")? as usize,
        lifecycle: match entry.text("lifecycle")? {
            "in_service" => LifecycleState::Running,
            "terminating" => LifecycleState::Draining,
            "terminated" => LifecycleState::Gone,
            _ => return Err(entry.wrong("lifecycle", "in_service, terminating or terminated")),
        },
        weight: entry.number_or("weight", 1.0)?,
        started: (started > 0.0).then(|| UnixTime::from_ms(started)),
    })
}
