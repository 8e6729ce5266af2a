//! One admission controller on the simulator's wire.

use crate::codec::decode::{decode_endpoint, decode_job, decode_progress, decode_result};
use crate::codec::encode::{WireIds, encode_actions, encode_timer};
use crate::codec::wire_names::instance_fields::{
    CLASSES, CONF, KIND, KIND_CHANGES, KIND_REFUSED, LATENCY_OBJECTIVE, MEMBERS, SEED, TABLE,
};
use crate::codec::wire_names::{COPY, ENGINE, REQUEST_ID, events};
use crate::error::EventError;
use pebblevane::controller::AdmissionController;
use pebblevane::interface::{Actions, Endpoint, EngineId, JobId, ListScope};
use pebblevane::time::Timestamp;
use pebblevane_adapter_common::{EngineIds, FieldError, Fields, Wanted, flatten_settings};
use serde_json::Value as Json;
use std::collections::{BTreeMap, HashMap};

/// An admission controller, and the names that its jobs and engines have on the wire.
pub(crate) struct Instance {
    manager: String,
    controller: AdmissionController,
    class_count: usize,
    engines: EngineIds,
    jobs: HashMap<u32, JobId>,
    requests: BTreeMap<JobId, u32>,
    submitted_jobs: u32,
    /// When the earliest pending timer fires.
    timer: Option<Timestamp>,
}

impl WireIds for Instance {
    fn manager(&self) -> &str {
        &self.manager
    }

    fn request(&self, job: JobId) -> u32 {
        self.requests[&job]
    }

    fn engine(&self, engine: EngineId) -> &str {
        self.engines.name(engine)
    }
}

impl Instance {
    /// An instance of this name, with the settings of the event that begins it.
    ///
    /// # Errors
    /// If a field of the event is missing or malformed.
    pub(crate) fn begin(now: Timestamp, manager: &str, event: Fields) -> Result<Instance, FieldError> {
        let settings = event.get(CONF).ok_or_else(|| event.error(CONF, Wanted::Object))?;
        let settings = flatten_settings(settings);
        let class_count = settings.entry_count(CLASSES, LATENCY_OBJECTIVE);
        let controller = AdmissionController::new(now, event.whole_or_zero(SEED)?, &settings);
        Ok(Instance {
            manager: manager.to_string(),
            controller,
            class_count,
            engines: EngineIds::default(),
            jobs: HashMap::new(),
            requests: BTreeMap::new(),
            submitted_jobs: 0,
            timer: None,
        })
    }

    /// Passes an event to the controller and encodes what it returns. An event of an unknown name, job or engine is
    /// ignored.
    ///
    /// # Errors
    /// If a field of the event is missing, malformed or names something unknown that has to be known.
    pub(crate) fn handle_event(
        &mut self,
        now: Timestamp,
        event: Fields,
        endpoint_lists: &HashMap<u64, Json>,
        steps: &mut Vec<Json>,
    ) -> Result<(), EventError> {
        let actions = match event.name {
            events::INGRESS => Some(self.submit(now, event)?),
            events::REPLY => self.finish_dispatch(now, event)?,
            events::PROGRESS => self.report_progress(now, event)?,
            events::HEAD_RECEIVED => self.start_response(now, event)?,
            events::EXPIRED => self.disconnect_client(now, event)?,
            events::CHECKED => self.finish_health_check(now, event)?,
            events::TIMEOUT_FIRED => Some(self.fire_timer(now)),
            events::DIRECTORY_UPDATE => Some(self.update_endpoints(now, event, endpoint_lists)?),
            _ => None,
        };
        if let Some(actions) = actions {
            self.carry_out(now, actions, steps);
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

    /// The job that an event is about; none if it has been released, or was never submitted.
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
        if self.timer.is_some_and(|due| due <= now) {
            self.timer = None;
        }
        self.controller.timer_fired(now)
    }

    fn update_endpoints(
        &mut self,
        now: Timestamp,
        event: Fields,
        endpoint_lists: &HashMap<u64, Json>,
    ) -> Result<Actions, EventError> {
        let kind = event.text(KIND)?;
        if kind == KIND_REFUSED {
            return Ok(self.controller.endpoint_list_unavailable(now));
        }
        let table = event.whole_or_zero(TABLE)?;
        let list = endpoint_lists.get(&table).and_then(Json::as_array);
        let endpoints = self.decode_endpoints(list.ok_or(EventError::UnknownTable { table })?)?;
        let scope = if kind == KIND_CHANGES { ListScope::Changes } else { ListScope::Complete };
        Ok(self.controller.endpoints_changed(now, scope, endpoints))
    }

    fn decode_endpoints(&mut self, list: &[Json]) -> Result<Vec<Endpoint>, FieldError> {
        let entries = list.iter().map(|json| Fields { name: MEMBERS, json });
        entries.map(|entry| decode_endpoint(entry, |name| self.engines.assign(name))).collect()
    }

    fn carry_out(&mut self, now: Timestamp, actions: Actions, steps: &mut Vec<Json>) {
        encode_actions(&actions, self, steps);
        if let Some(due) = actions.next_timer.filter(|due| self.timer.is_none_or(|timer| *due < timer)) {
            steps.push(encode_timer(due - now, self));
            self.timer = Some(due.max(now));
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

/// The number of the attempt that an event is about, from 0.
fn decode_attempt(event: Fields) -> Result<u32, FieldError> {
    Ok(event.whole_or_zero(COPY)? as u32)
}
