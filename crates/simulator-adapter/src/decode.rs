//! Reads the wire's objects into the interface's plain types.

use pebblevane::interface::*;
use pebblevane::time::*;
use pebblevane_adapter_common::{FieldResult, Fields};
use serde_json::Value as Json;

/// What the wire's objects stand for.
pub trait Wire {
    fn verdict(&self) -> FieldResult<DispatchStatus>;
    /// The load report, as an object or as a list of pairs; values that are no numbers are passed over.
    fn report(&self) -> Option<LoadReport>;
    fn job(&self) -> FieldResult<Job>;
    fn outcome(&self) -> FieldResult<DispatchResult>;
    /// A note on a dispatch; none if it is of a sort not known here.
    fn note(&self) -> FieldResult<Option<ProgressUpdate>>;
    /// One entry of an engine list; `number` maps the engine's name to its index.
    fn listing(&self, number: impl FnOnce(&str) -> EngineId) -> FieldResult<Endpoint>;
}

impl Wire for Fields<'_> {
    fn verdict(&self) -> FieldResult<DispatchStatus> {
        Ok(match self.text("Verdict")? {
            "success" => DispatchStatus::Completed,
            "failure" => DispatchStatus::Failed,
            "overloaded" => DispatchStatus::Overloaded,
            "timed_out" => DispatchStatus::TimedOut,
            "unreachable" => DispatchStatus::Unreachable,
            "broken" => DispatchStatus::ConnectionLost,
            "withdrawn" => DispatchStatus::Cancelled,
            "void" => DispatchStatus::Expired,
            _ => return Err(self.wrong("Verdict", "an outcome code")),
        })
    }

    fn report(&self) -> Option<LoadReport> {
        let values: Vec<(&str, f64)> = match self.get("Telemetry") {
            Some(Json::Object(values)) => {
                values.iter().filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?))).collect()
            }
            Some(Json::Array(pairs)) => pairs
                .iter()
                .filter_map(|pair| Some((pair.get(0)?.as_str()?, pair.get(1)?.as_f64()?)))
                .collect(),
            _ => Vec::new(),
        };
        let value = |wanted: &str| values.iter().find(|(name, _)| *name == wanted).map(|(_, value)| *value);
        (!values.is_empty()).then(|| LoadReport {
            jobs_in_flight: value("concurrent"),
            processor_utilization: value("load_share"),
            memory_utilization: value("x0"),
        })
    }

    fn job(&self) -> FieldResult<Job> {
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
            class: self.whole_or_zero("Type")? as usize,
            customer: self.whole_or_zero("Org")? as usize,
            key,
            time_left: self.span("Left")?,
            cost: if flags & 1 != 0 {
                Some(TimeDelta::from_millis_f64(self.number_or("Cost", 0.0)?))
            } else {
                None
            },
            memory_mb: (memory > 0.0).then_some(memory),
            table_group: self.whole_or_zero("Tables")?,
            is_retry: flags & 2 != 0,
            writes: flags & 4 != 0,
        })
    }

    fn outcome(&self) -> FieldResult<DispatchResult> {
        let used = self.whole_or_zero("UsedUp")?;
        Ok(DispatchResult {
            status: self.verdict()?,
            elapsed: self.span("Rtt")?,
            job_finished: self.flag("Complete")?,
            engine_reachable: false,
            actual_cost: (used > 0).then(|| ActualCost {
                work: TimeDelta::from_millis_f64((used / 4096) as f64),
                memory_mb: (used % 4096) as f64 * 4.0,
            }),
            load_report: self.report(),
        })
    }

    fn note(&self) -> FieldResult<Option<ProgressUpdate>> {
        let amount = self.number_or("Amount", 0.0)?;
        Ok(match (self.whole("Sort")?, amount as u64) {
            (1, _) => Some(ProgressUpdate::CompletedFraction(amount)),
            (2, _) => Some(ProgressUpdate::SpillingToDisk(amount)),
            (3, 1) => Some(ProgressUpdate::WaitingForMemory),
            (3, 2) => Some(ProgressUpdate::WaitingForBulkLoad),
            _ => None,
        })
    }

    fn listing(&self, number: impl FnOnce(&str) -> EngineId) -> FieldResult<Endpoint> {
        let name = self.text("Engine")?;
        let ready = self.number_or("ReadyAt", 0.0)?;
        Ok(Endpoint {
            engine: number(name),
            name: name.to_string(),
            machine: self.whole_or_zero("Kind")? as usize,
            location: self.whole_or_zero("Site")? as usize,
            cell: self.whole_or_zero("Cell")? as usize,
            lifecycle: match self.text("StageState")? {
                "Running" => LifecycleState::Running,
                "Stopping" => LifecycleState::Draining,
                "Deleted" => LifecycleState::Gone,
                _ => return Err(self.wrong("StageState", "Running, Stopping or Deleted")),
            },
            started_at: (ready > 0.0).then(|| Timestamp::from_millis_f64(ready)),
            capacity_hint: self.number_or("CapacityHint", 1.0)?,
        })
    }
}
