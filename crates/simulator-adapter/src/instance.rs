//! One instance of the admission controller, driven by the simulator's events.

use crate::codec::decode::{decode_endpoint, decode_job, decode_progress, decode_result};
use crate::codec::encode::{WireIds, encode_actions, encode_timer};
use crate::codec::wire_names::instance_fields::{
    CLASSES, ENDPOINTS, LATENCY_OBJECTIVE, LIST_NUMBER, SEED, SETTINGS, UPDATE_KIND, UPDATE_KIND_CHANGES,
    UPDATE_KIND_UNAVAILABLE,
};
use crate::codec::wire_names::{ATTEMPT_NUMBER, ENGINE, REQUEST_ID, events};
use crate::error::EventError;
use pebblevane::controller::AdmissionController;
use pebblevane::interface::{Actions, Endpoint, EngineId, JobId, ListScope};
use pebblevane::time::Timestamp;
use pebblevane_adapter_common::{EngineIds, FieldError, Fields, Wanted, flatten_settings};
use serde_json::Value as Json;
use std::collections::{BTreeMap, HashMap};

/// An admission controller, and the mapping between its ids of jobs and engines and those of the simulator.
pub(crate) struct Instance {
    name: String,
    controller: AdmissionController,
    /// Number of job classes in the settings.
    class_count: usize,
    engines: EngineIds,
    /// The jobs that the controller has not released, by the simulator's numbers.
    jobs: HashMap<u32, JobId>,
    /// The simulator's numbers of the same jobs.
    requests: BTreeMap<JobId, u32>,
    /// Number of jobs submitted so far, which is also the id of the next one.
    submitted_jobs: u32,
    /// When the next timer fires in the simulator; `None` if none is set. Another one is set only if it must fire
    /// earlier.
    next_timer: Option<Timestamp>,
}

impl WireIds for Instance {
    fn instance_name(&self) -> &str {
        &self.name
    }

    fn request(&self, job: JobId) -> u32 {
        self.requests[&job]
    }

    fn engine(&self, engine: EngineId) -> &str {
        self.engines.name(engine)
    }
}

impl Instance {
    /// Creates an instance of this name with the settings and the seed of its start event.
    ///
    /// # Errors
    /// If a field of the event is missing or malformed.
    pub(crate) fn start(now: Timestamp, name: &str, event: Fields) -> Result<Instance, FieldError> {
        let settings = event.get(SETTINGS).ok_or_else(|| event.error(SETTINGS, Wanted::Object))?;
        let settings = flatten_settings(settings);
        let class_count = settings.entry_count(CLASSES, LATENCY_OBJECTIVE);
        let controller = AdmissionController::new(now, event.whole_or_zero(SEED)?, &settings);
        Ok(Instance {
            name: name.to_string(),
            controller,
            class_count,
            engines: EngineIds::default(),
            jobs: HashMap::new(),
            requests: BTreeMap::new(),
            submitted_jobs: 0,
            next_timer: None,
        })
    }

    /// Passes an event to the controller and appends the returned actions to `steps`. Events with an unknown name, and
    /// events about an unknown job or engine, are ignored.
    ///
    /// # Errors
    /// If a field of the event is missing or malformed, or names an unknown job class or endpoint list.
    pub(crate) fn handle_event(
        &mut self,
        now: Timestamp,
        event: Fields,
        endpoint_lists: &HashMap<u64, Json>,
        steps: &mut Vec<Json>,
    ) -> Result<(), EventError> {
        let actions = match event.name {
            events::JOB_SUBMITTED => Some(self.submit(now, event)?),
            events::DISPATCH_FINISHED => self.finish_dispatch(now, event)?,
            events::DISPATCH_PROGRESS => self.report_progress(now, event)?,
            events::RESPONSE_STARTED => self.start_response(now, event)?,
            events::CLIENT_DISCONNECTED => self.disconnect_client(now, event)?,
            events::HEALTH_CHECK_FINISHED => self.finish_health_check(now, event)?,
            events::TIMER_FIRED => Some(self.fire_timer(now)),
            events::ENDPOINT_LIST_UPDATE => Some(self.update_endpoints(now, event, endpoint_lists)?),
            _ => None,
        };
        if let Some(actions) = actions {
            self.encode_and_apply(now, actions, steps);
        }
        Ok(())
    }

    fn submit(&mut self, now: Timestamp, event: Fields) -> Result<Actions, EventError> {
        let request = event.whole(REQUEST_ID)? as u32;
        let job = decode_job(event)?;
        if job.class >= self.class_count {
            return Err(EventError::UnknownClass { class: job.class });
        }
        let id = JobId(self.submitted_jobs);
        self.submitted_jobs += 1;
        self.jobs.insert(request, id);
        self.requests.insert(id, request);
        Ok(self.controller.submit(now, id, job))
    }

    fn finish_dispatch(&mut self, now: Timestamp, event: Fields) -> Result<Option<Actions>, FieldError> {
        let Some(job) = self.job(event)? else { return Ok(None) };
        let result = decode_result(event)?;
        let attempt = decode_attempt(event)?;
        Ok(Some(self.controller.dispatch_finished(now, job, attempt, result)))
    }

    fn report_progress(&mut self, now: Timestamp, event: Fields) -> Result<Option<Actions>, FieldError> {
        let Some(job) = self.job(event)? else { return Ok(None) };
        let Some(update) = decode_progress(event)? else { return Ok(None) };
        let attempt = decode_attempt(event)?;
        Ok(Some(self.controller.dispatch_progress(now, job, attempt, update)))
    }

    fn start_response(&mut self, now: Timestamp, event: Fields) -> Result<Option<Actions>, FieldError> {
        let Some(job) = self.job(event)? else { return Ok(None) };
        let attempt = decode_attempt(event)?;
        Ok(Some(self.controller.response_started(now, job, attempt)))
    }

    fn disconnect_client(&mut self, now: Timestamp, event: Fields) -> Result<Option<Actions>, FieldError> {
        let Some(job) = self.job(event)? else { return Ok(None) };
        Ok(Some(self.controller.client_disconnected(now, job)))
    }

    /// The job that an event is about; `None` if the job has been released or was never submitted.
    fn job(&self, event: Fields) -> Result<Option<JobId>, FieldError> {
        let request = event.whole(REQUEST_ID)? as u32;
        Ok(self.jobs.get(&request).copied())
    }

    fn finish_health_check(&mut self, now: Timestamp, event: Fields) -> Result<Option<Actions>, FieldError> {
        let Some(engine) = self.engines.id(event.text(ENGINE)?) else { return Ok(None) };
        let result = decode_result(event)?;
        Ok(Some(self.controller.health_check_finished(now, engine, result)))
    }

    fn fire_timer(&mut self, now: Timestamp) -> Actions {
        if self.next_timer.is_some_and(|due| due <= now) {
            self.next_timer = None;
        }
        self.controller.timer_fired(now)
    }

    fn update_endpoints(
        &mut self,
        now: Timestamp,
        event: Fields,
        endpoint_lists: &HashMap<u64, Json>,
    ) -> Result<Actions, EventError> {
        let kind = event.text(UPDATE_KIND)?;
        if kind == UPDATE_KIND_UNAVAILABLE {
            return Ok(self.controller.endpoint_list_unavailable(now));
        }
        let number = event.whole_or_zero(LIST_NUMBER)?;
        let list = endpoint_lists.get(&number).and_then(Json::as_array);
        let endpoints =
            self.decode_endpoints(list.ok_or(EventError::UnknownEndpointList { list: number })?)?;
        let scope = if kind == UPDATE_KIND_CHANGES { ListScope::Changes } else { ListScope::Complete };
        Ok(self.controller.endpoints_changed(now, scope, endpoints))
    }

    fn decode_endpoints(&mut self, list: &[Json]) -> Result<Vec<Endpoint>, FieldError> {
        let entries = list.iter().map(|json| Fields { name: ENDPOINTS, json });
        entries.map(|entry| decode_endpoint(entry, |name| self.engines.assign(name))).collect()
    }

    /// Encodes actions as steps, sets the timer if it must fire earlier than the pending one, and drops the ids of
    /// removed engines and released jobs.
    fn encode_and_apply(&mut self, now: Timestamp, actions: Actions, steps: &mut Vec<Json>) {
        encode_actions(&actions, self, steps);
        if let Some(due) = actions.next_timer.filter(|due| self.next_timer.is_none_or(|timer| *due < timer)) {
            steps.push(encode_timer(due - now, self));
            self.next_timer = Some(due.max(now));
        }
        for engine in actions.forgotten_engines {
            self.engines.remove(engine);
        }
        for job in actions.released_jobs {
            if let Some(request) = self.requests.remove(&job) {
                self.jobs.remove(&request);
            }
        }
    }
}

/// The number of the dispatch that an event is about, counted from 0 for each job; 0 if it is missing.
fn decode_attempt(event: Fields) -> Result<u32, FieldError> {
    Ok(event.whole_or_zero(ATTEMPT_NUMBER)? as u32)
}
