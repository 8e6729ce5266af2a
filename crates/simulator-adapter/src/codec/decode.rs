//! Decodes the fields of events into the controller's types.

use crate::codec::wire_names::{ENGINE, endpoint_fields, job_fields, progress_fields, result_fields};
use pebblevane::interface::{
    ActualCost, DispatchResult, DispatchStatus, Endpoint, EngineId, Job, LifecycleState, LoadReport,
    ProgressUpdate,
};
use pebblevane::time::{TimeDelta, Timestamp};
use pebblevane_adapter_common::{FieldError, Fields, Wanted};
use serde_json::Value as Json;

/// Ordering keys are sent as hexadecimal digits.
const KEY_RADIX: u32 = 16;

/// Decodes a submitted job.
pub(crate) fn decode_job(event: Fields) -> Result<Job, FieldError> {
    let flags = event.whole_or_zero(job_fields::FLAGS)?;
    let memory_mb = event.number_or(job_fields::MEMORY_MB, 0.0)?;
    let key = decode_key(event)?;
    Ok(Job {
        class: event.whole_or_zero(job_fields::CLASS)? as usize,
        customer: event.whole_or_zero(job_fields::CUSTOMER)? as usize,
        key,
        time_left: event.millis(job_fields::TIME_LEFT_MS)?,
        cost: if flags & job_fields::FLAG_HAS_COST != 0 {
            Some(TimeDelta::from_millis_f64(event.number_or(job_fields::COST_MS, 0.0)?))
        } else {
            None
        },
        memory_mb: (memory_mb > 0.0).then_some(memory_mb),
        table_group: event.whole_or_zero(job_fields::TABLE_GROUP)?,
        is_retry: flags & job_fields::FLAG_IS_RETRY != 0,
        writes: flags & job_fields::FLAG_WRITES != 0,
    })
}

/// The job's ordering key; `None` if the field is missing or empty.
fn decode_key(event: Fields) -> Result<Option<u64>, FieldError> {
    if event.get(job_fields::KEY).is_none() {
        return Ok(None);
    }
    let digits = event.text(job_fields::KEY)?;
    if digits.is_empty() {
        return Ok(None);
    }
    match u64::from_str_radix(digits, KEY_RADIX) {
        Ok(key) => Ok(Some(key)),
        Err(_) => Err(event.error(job_fields::KEY, Wanted::Described("16 hex digits"))),
    }
}

/// Decodes the result of a dispatch or of a health check.
pub(crate) fn decode_result(event: Fields) -> Result<DispatchResult, FieldError> {
    let combined_cost = event.whole_or_zero(result_fields::ACTUAL_COST)?;
    Ok(DispatchResult {
        status: decode_status(event)?,
        elapsed: event.millis(result_fields::ELAPSED_MS)?,
        job_finished: event.flag(result_fields::JOB_FINISHED)?,
        engine_reachable: false,
        actual_cost: decode_actual_cost(combined_cost),
        load_report: decode_load_report(event),
    })
}

fn decode_status(event: Fields) -> Result<DispatchStatus, FieldError> {
    Ok(match event.text(result_fields::STATUS)? {
        result_fields::COMPLETED => DispatchStatus::Completed,
        result_fields::FAILED => DispatchStatus::Failed,
        result_fields::OVERLOADED => DispatchStatus::Overloaded,
        result_fields::TIMED_OUT => DispatchStatus::TimedOut,
        result_fields::UNREACHABLE => DispatchStatus::Unreachable,
        result_fields::CONNECTION_LOST => DispatchStatus::ConnectionLost,
        result_fields::CANCELLED => DispatchStatus::Cancelled,
        result_fields::EXPIRED => DispatchStatus::Expired,
        _ => return Err(event.error(result_fields::STATUS, Wanted::Described("an outcome code"))),
    })
}

/// Splits the number that combines work and memory; `None` if it is 0, which means that the engine reported none.
fn decode_actual_cost(combined_cost: u64) -> Option<ActualCost> {
    let memory_steps = combined_cost % result_fields::ACTUAL_COST_MEMORY_STEPS;
    (combined_cost > 0).then(|| ActualCost {
        work: TimeDelta::from_millis_f64((combined_cost / result_fields::ACTUAL_COST_MEMORY_STEPS) as f64),
        memory_mb: memory_steps as f64 * result_fields::ACTUAL_COST_MEMORY_STEP_MB,
    })
}

/// Decodes the load report; `None` if it contains no numbers.
fn decode_load_report(event: Fields) -> Option<LoadReport> {
    let values = load_report_values(event);
    let value = |wanted: &str| values.iter().find(|(name, _)| *name == wanted).map(|(_, value)| *value);
    (!values.is_empty()).then(|| LoadReport {
        jobs_in_flight: value(result_fields::JOBS_IN_FLIGHT),
        processor_utilization: value(result_fields::PROCESSOR_UTILIZATION),
        memory_utilization: value(result_fields::MEMORY_UTILIZATION),
    })
}

/// The names and values of the load report, which is either an object or a list of pairs. Values that are not numbers
/// are ignored.
fn load_report_values(event: Fields<'_>) -> Vec<(&str, f64)> {
    match event.get(result_fields::LOAD_REPORT) {
        Some(Json::Object(values)) => {
            values.iter().filter_map(|(name, value)| Some((name.as_str(), value.as_f64()?))).collect()
        }
        Some(Json::Array(pairs)) => {
            pairs.iter().filter_map(|pair| Some((pair.get(0)?.as_str()?, pair.get(1)?.as_f64()?))).collect()
        }
        _ => Vec::new(),
    }
}

/// Decodes the progress of a dispatch; `None` if its kind, or its reason to wait, is unknown.
pub(crate) fn decode_progress(event: Fields) -> Result<Option<ProgressUpdate>, FieldError> {
    let amount = event.number_or(progress_fields::AMOUNT, 0.0)?;
    Ok(match (event.whole(progress_fields::KIND)?, amount as u64) {
        (progress_fields::KIND_COMPLETED, _) => Some(ProgressUpdate::CompletedFraction(amount)),
        (progress_fields::KIND_SPILLING, _) => Some(ProgressUpdate::SpillingToDisk(amount)),
        (progress_fields::KIND_WAITING, progress_fields::WAITING_FOR_MEMORY) => {
            Some(ProgressUpdate::WaitingForMemory)
        }
        (progress_fields::KIND_WAITING, progress_fields::WAITING_FOR_BULK_LOAD) => {
            Some(ProgressUpdate::WaitingForBulkLoad)
        }
        _ => None,
    })
}

/// Decodes one entry of an endpoint list. `assign_id` returns the id of the engine with the given name.
pub(crate) fn decode_endpoint(
    entry: Fields,
    assign_id: impl FnOnce(&str) -> EngineId,
) -> Result<Endpoint, FieldError> {
    let name = entry.text(ENGINE)?;
    let started_at_ms = entry.number_or(endpoint_fields::STARTED_AT_MS, 0.0)?;
    Ok(Endpoint {
        engine: assign_id(name),
        name: name.to_string(),
        machine_type: entry.whole_or_zero(endpoint_fields::MACHINE_TYPE)? as usize,
        location: entry.whole_or_zero(endpoint_fields::LOCATION)? as usize,
        cell: entry.whole_or_zero(endpoint_fields::CELL)? as usize,
        lifecycle: decode_lifecycle(entry)?,
        started_at: (started_at_ms > 0.0).then(|| Timestamp::from_millis_f64(started_at_ms)),
        capacity_hint: entry.number_or(endpoint_fields::CAPACITY_HINT, 1.0)?,
        replaces: None,
    })
}

fn decode_lifecycle(entry: Fields) -> Result<LifecycleState, FieldError> {
    match entry.text(endpoint_fields::LIFECYCLE)? {
        endpoint_fields::RUNNING => Ok(LifecycleState::Running),
        endpoint_fields::DRAINING => Ok(LifecycleState::Draining),
        endpoint_fields::GONE => Ok(LifecycleState::Gone),
        _ => Err(entry.error(endpoint_fields::LIFECYCLE, Wanted::Described("Running, Stopping or Deleted"))),
    }
}
