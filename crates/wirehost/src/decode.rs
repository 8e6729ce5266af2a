//! Reads the wire's objects into the interface's plain types.

use pebblevane::interface::*;
use pebblevane_door::{Fields, Told};
use serde_json::Value as Json;

/// What the wire's objects stand for.
pub trait Wire {
    fn verdict(&self) -> Told<Verdict>;
    /// The load report, as an object or as a list of pairs; values that are no numbers are passed over.
    fn report(&self) -> Report;
    fn job(&self) -> Told<Job>;
    fn outcome(&self) -> Told<Outcome>;
    /// A note on a dispatch; none if it is of a sort not known here.
    fn note(&self) -> Told<Option<Note>>;
    /// One entry of an engine list; `number` maps the engine's name to its index.
    fn listing(&self, number: impl FnOnce(&str) -> EngineId) -> Told<Listing>;
}

impl Wire for Fields<'_> {
    fn verdict(&self) -> Told<Verdict> {
        Ok(match self.text("Verdict")? {
            "success" => Verdict::Done,
            "failure" => Verdict::Error,
            "overloaded" => Verdict::Full,
            "timed_out" => Verdict::TimedOut,
            "unreachable" => Verdict::Unreachable,
            "broken" => Verdict::Broken,
            "withdrawn" => Verdict::Withdrawn,
            "void" => Verdict::Void,
            _ => return Err(self.wrong("Verdict", "an outcome code")),
        })
    }

    fn report(&self) -> Report {
        match self.get("Telemetry") {
            Some(Json::Object(values)) => {
                values.iter().filter_map(|(name, value)| Some((name.clone(), value.as_f64()?))).collect()
            }
            Some(Json::Array(pairs)) => pairs
                .iter()
                .filter_map(|pair| Some((pair.get(0)?.as_str()?.to_string(), pair.get(1)?.as_f64()?)))
                .collect(),
            _ => Report::new(),
        }
    }

    fn job(&self) -> Told<Job> {
        let flags = self.whole_or_zero("Flags")?;
        let memory = self.number_or("MemMb", 0.0)?;
        let key = match self.get("Relation") {
            None => None,
            Some(_) => Some(self.text("Relation")?)
                .filter(|key| !key.is_empty())
                .map(|key| u64::from_str_radix(key, 16).map_err(|_| self.wrong("Relation", "16 hex digits")))
                .transpose()?,
        };
        Ok(Job {
            reservation: self.whole_or_zero("Type")? as usize,
            customer: self.whole_or_zero("Org")? as usize,
            key,
            left: self.span("Left")?,
            cost: if flags & 1 != 0 { Some(Span::from_ms(self.number_or("Cost", 0.0)?)) } else { None },
            memory_mb: (memory > 0.0).then_some(memory),
            group: self.whole_or_zero("Tables")?,
            repeat: flags & 2 != 0,
            writes: flags & 4 != 0,
        })
    }

    fn outcome(&self) -> Told<Outcome> {
        let used = self.whole_or_zero("UsedUp")?;
        Ok(Outcome {
            verdict: self.verdict()?,
            took: self.span("Rtt")?,
            over: self.flag("Complete")?,
            lively: false,
            bill: (used > 0).then(|| (Span::from_ms((used / 4096) as f64), (used % 4096) as f64 * 4.0)),
            report: self.report(),
        })
    }

    fn note(&self) -> Told<Option<Note>> {
        let amount = self.number_or("Amount", 0.0)?;
        Ok(match (self.whole("Sort")?, amount as u64) {
            (1, _) => Some(Note::Share(amount)),
            (2, _) => Some(Note::Spills(amount)),
            (3, 1) => Some(Note::WaitsForMemory),
            (3, 2) => Some(Note::WaitsForLoad),
            _ => None,
        })
    }

    fn listing(&self, number: impl FnOnce(&str) -> EngineId) -> Told<Listing> {
        let name = self.text("Engine")?;
        let ready = self.number_or("ReadyAt", 0.0)?;
        Ok(Listing {
            engine: number(name),
            name: name.to_string(),
            machine: self.whole_or_zero("Kind")? as usize,
            location: self.whole_or_zero("Site")? as usize,
            cell: self.whole_or_zero("Cell")? as usize,
            stage: match self.text("StageState")? {
                "Running" => Stage::Running,
                "Stopping" => Stage::Draining,
                "Deleted" => Stage::Gone,
                _ => return Err(self.wrong("StageState", "Running, Stopping or Deleted")),
            },
            ready_at: (ready > 0.0).then(|| Moment::from_ms(ready)),
            capacity_hint: self.number_or("CapacityHint", 1.0)?,
        })
    }
}
