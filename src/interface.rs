//! The plain types through which a caller speaks to the decision module. Nothing here decides.

use std::collections::BTreeMap;
use std::ops::{Add, Sub};

/// A point in time, in microseconds since an arbitrary zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(pub i64);

/// A length of time, in microseconds. It can be added to a [`Moment`], never mixed up with one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Moment {
    pub fn from_ms(ms: f64) -> Moment {
        Moment((ms * 1000.0).round() as i64)
    }
}

impl Span {
    pub fn from_ms(ms: f64) -> Span {
        Span((ms * 1000.0).round() as i64)
    }
    pub fn ms(self) -> f64 {
        self.0 as f64 / 1000.0
    }
    pub fn times(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round() as i64)
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, span: Span) -> Moment {
        Moment(self.0.saturating_sub(span.0))
    }
}

impl Sub for Moment {
    type Output = Span;
    fn sub(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, more: Span) -> Span {
        Span(self.0.saturating_add(more.0))
    }
}

/// A job's number, given by the caller in the order of arrival and never used twice by one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(pub u32);

/// An engine's number, given by the caller in the order in which lists named them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineId(pub u32);

/// One value of the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Flag(bool),
    Text(String),
}

/// The settings as a flat map: parts of a name are joined by dots and list positions are numbers, as in
/// `Classes.0.Aim`.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }
    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Value::Flag(true)))
    }
    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }
    /// The numbers of a list of plain values; none if the list is absent.
    pub fn numbers(&self, name: &str) -> Option<Vec<f64>> {
        let list: Vec<f64> = (0..).map_while(|i| self.number(&format!("{name}.{i}"))).collect();
        (!list.is_empty()).then_some(list)
    }
    /// How many entries a list has whose every entry holds `field`.
    pub fn entries(&self, name: &str, field: &str) -> usize {
        (0..).take_while(|i| self.0.contains_key(&format!("{name}.{i}.{field}"))).count()
    }
}

/// What an engine list says of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    pub engine: EngineId,
    /// The engine's own id, the same for every gateway.
    pub name: String,
    pub machine: usize,
    pub location: usize,
    pub cell: usize,
    pub stage: Stage,
    /// When the engine last started; none if that is long ago.
    pub ready_at: Option<Moment>,
    pub capacity_hint: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    #[default]
    Running,
    Draining,
    Gone,
}

/// A job as a client hands it over.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// Position of its reservation type in the settings.
    pub reservation: usize,
    pub customer: usize,
    /// The key whose order is kept, where the reservation type asks for one.
    pub key: Option<u64>,
    /// How long this client goes on waiting.
    pub left: Span,
    /// Told work of all threads as time on one.
    pub cost: Option<Span>,
    pub memory_mb: Option<f64>,
    /// The group of tables that it reads or writes.
    pub group: u64,
    /// The client says that this is a repeat.
    pub repeat: bool,
    pub writes: bool,
}

/// How a dispatch or a probe came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Done,
    Error,
    Full,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
}

/// How one dispatch ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub verdict: Verdict,
    pub took: Span,
    /// The job has its final answer, by this outcome or before.
    pub over: bool,
    /// The engine is not at fault: it has taken a new connection since, or was never tried.
    pub lively: bool,
    /// Work and memory (MB) that an answer says the job needed.
    pub bill: Option<(Span, f64)>,
    pub report: Report,
}

/// An engine's report of load: names and values as they came.
pub type Report = Vec<(String, f64)>;

/// Word on a dispatch that is still out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// Share of the work that is done.
    Share(f64),
    /// Memory (MB) that it lacks.
    Spills(f64),
    WaitsForMemory,
    WaitsForLoad,
}

/// Priority (0 to 3) and memory (MB, 0 for the engine's choice) of a job's dispatches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    pub rank: u8,
    pub grant_mb: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    pub job: JobId,
    pub engine: EngineId,
    /// Time-out of this dispatch.
    pub limit: Span,
    /// Its first byte leaves before this or never: what waits for a connection may wait past what was judged here.
    pub begin_by: Moment,
    pub terms: Option<Terms>,
}

/// A final answer that the module gives; an engine's answer reaches the client by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Trying again is harmless, best after this long.
    Throttled(Span),
    Cancelled,
}

/// All that one call decided. Recalls come first, then answers, dispatches and the rest.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decided {
    pub recalls: Vec<(JobId, u32)>,
    pub answers: Vec<(JobId, Answer)>,
    pub dispatches: Vec<Dispatch>,
    pub probes: Vec<EngineId>,
    /// Ask to be kept informed of the engine list.
    pub subscribe: bool,
    /// Call [`wake`](crate::logic::Logic::wake) at this time, or soon after.
    pub next_wake: Option<Moment>,
    /// Jobs of which nothing is out or owed any more; their numbers may be forgotten.
    pub released: Vec<JobId>,
    /// Engines that mean nothing to the module any more; their numbers may be forgotten.
    pub forgotten: Vec<EngineId>,
    pub log: Vec<String>,
}
