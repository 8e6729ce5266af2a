//! Reads single fields and objects of the wire into the interface's plain types.

use pebblevane::interface::*;
use serde_json::Value as Json;

pub type Told<T> = Result<T, String>;

/// One object of the wire under the name by which complaints call it.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    pub name: &'a str,
    pub json: &'a Json,
}

impl<'a> Fields<'a> {
    fn wrong(&self, field: &str, wanted: &str) -> String {
        match self.json.get(field) {
            None | Some(Json::Null) => format!("{}: field {field} is missing, {wanted} is wanted", self.name),
            Some(other) => format!("{}: field {field} is {other}, {wanted} is wanted", self.name),
        }
    }
    pub fn get(&self, field: &str) -> Option<&'a Json> {
        self.json.get(field).filter(|value| !value.is_null())
    }
    pub fn text(&self, field: &str) -> Told<&'a str> {
        self.get(field).and_then(Json::as_str).ok_or_else(|| self.wrong(field, "a string"))
    }
    pub fn list(&self, field: &str) -> Told<&'a Vec<Json>> {
        self.get(field).and_then(Json::as_array).ok_or_else(|| self.wrong(field, "an array"))
    }
    pub fn number(&self, field: &str) -> Told<f64> {
        self.get(field).and_then(Json::as_f64).ok_or_else(|| self.wrong(field, "a number"))
    }
    pub fn whole(&self, field: &str) -> Told<u64> {
        self.get(field).and_then(Json::as_u64).ok_or_else(|| self.wrong(field, "a whole number"))
    }
    pub fn number_or(&self, field: &str, absent: f64) -> Told<f64> {
        if self.get(field).is_some() { self.number(field) } else { Ok(absent) }
    }
    pub fn whole_or_zero(&self, field: &str) -> Told<u64> {
        if self.get(field).is_some() { self.whole(field) } else { Ok(0) }
    }
    pub fn flag(&self, field: &str) -> Told<bool> {
        match self.get(field) {
            None => Ok(false),
            Some(Json::Bool(flag)) => Ok(*flag),
            Some(_) => Err(self.wrong(field, "true or false")),
        }
    }
    pub fn span(&self, field: &str) -> Told<Span> {
        self.number(field).map(Span::from_ms)
    }

    pub fn verdict(&self) -> Told<Verdict> {
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

    /// The load report, as an object or as a list of pairs; values that are no numbers are passed over.
    pub fn report(&self) -> Report {
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

    pub fn job(&self) -> Told<Job> {
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

    pub fn outcome(&self) -> Told<Outcome> {
        let used = self.whole_or_zero("UsedUp")?;
        Ok(Outcome {
            verdict: self.verdict()?,
            took: self.span("Rtt")?,
            over: self.flag("Complete")?,
            bill: (used > 0).then(|| (Span::from_ms((used / 4096) as f64), (used % 4096) as f64 * 4.0)),
            report: self.report(),
        })
    }

    /// A note on a dispatch; none if it is of a sort not known here.
    pub fn note(&self) -> Told<Option<Note>> {
        let amount = self.number_or("Amount", 0.0)?;
        Ok(match (self.whole("Sort")?, amount as u64) {
            (1, _) => Some(Note::Share(amount)),
            (2, _) => Some(Note::Spills(amount)),
            (3, 1) => Some(Note::WaitsForMemory),
            (3, 2) => Some(Note::WaitsForLoad),
            _ => None,
        })
    }

    /// One entry of an engine list; `number` maps the engine's name to its index.
    pub fn listing(&self, number: impl FnOnce(&str) -> EngineId) -> Told<Listing> {
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

/// Lays nested settings flat: `{"A": {"B": [3]}}` becomes `A.B.0 = 3`.
pub fn settings(json: &Json) -> Settings {
    fn lay(name: String, json: &Json, flat: &mut Settings) {
        let under = |part: &str| {
            if name.is_empty() { part.to_string() } else { format!("{name}.{part}") }
        };
        match json {
            Json::Object(parts) => parts.iter().for_each(|(part, json)| lay(under(part), json, flat)),
            Json::Array(parts) => {
                parts.iter().enumerate().for_each(|(i, json)| lay(under(&i.to_string()), json, flat))
            }
            Json::Bool(flag) => drop(flat.0.insert(name, Value::Flag(*flag))),
            Json::String(text) => drop(flat.0.insert(name, Value::Text(text.clone()))),
            Json::Number(number) => {
                if let Some(number) = number.as_f64() {
                    flat.0.insert(name, Value::Number(number));
                }
            }
            Json::Null => {}
        }
    }
    let mut flat = Settings::default();
    lay(String::new(), json, &mut flat);
    flat
}
