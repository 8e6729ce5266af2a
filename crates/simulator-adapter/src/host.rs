//! The instances that one process hosts. They share nothing but the engine lists on their way in.

use crate::decode::Wire;
use crate::encode::{self, Names};
use pebblevane::controller::AdmissionController;
use pebblevane::interface::*;
use pebblevane::time::*;
use pebblevane_adapter_common::{EngineIds, FieldResult, Fields, settings};
use serde_json::{Value as Json, json};
use std::collections::{BTreeMap, HashMap};

#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    tables: HashMap<u64, Json>,
}

struct Instance {
    manager: String,
    logic: AdmissionController,
    reservations: usize,
    engines: EngineIds,
    jobs: HashMap<u32, JobId>,
    requests: BTreeMap<JobId, u32>,
    taken: u32,
    /// The earliest wake for which a timer is pending.
    timer: Option<Timestamp>,
}

impl Names for Instance {
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

impl Host {
    /// Answers one batch; an error names the batch and the field that is wrong.
    pub fn batch(&mut self, line: &str) -> FieldResult<String> {
        let batch: Json = serde_json::from_str(line).map_err(|e| format!("the batch is not JSON: {e}"))?;
        let fields = Fields { name: "batch", json: &batch };
        let turn = fields.whole("turn")?;
        let of_turn = |trouble: String| format!("batch {turn}: {trouble}");
        let now = Timestamp::from_millis_f64(fields.number("Clock").map_err(of_turn)?);
        let mut steps = Vec::new();
        for event in fields.list("arrivals").map_err(of_turn)? {
            let (name, body) = event
                .as_object()
                .filter(|object| object.len() == 1)
                .and_then(|object| object.iter().next())
                .ok_or_else(|| {
                    of_turn("field arrivals: an event must be an object with one key".to_string())
                })?;
            self.event(now, Fields { name, json: body }, &mut steps).map_err(of_turn)?;
        }
        Ok(json!({"turn": turn, "steps": steps}).to_string())
    }

    fn event(&mut self, now: Timestamp, event: Fields, steps: &mut Vec<Json>) -> FieldResult<()> {
        if event.name == "Directory" {
            event.list("Members")?;
            self.tables.insert(event.whole_or_zero("Table")?, event.json["Members"].clone());
            return Ok(());
        }
        let manager = event.text("ManagerId")?;
        match event.name {
            "Begin" => {
                let conf = event.get("Conf").ok_or("Begin: field Conf is missing, an object is wanted")?;
                let settings = settings(conf);
                let reservations = settings.entries("Classes", "Aim");
                let logic = AdmissionController::new(now, event.whole_or_zero("Seed")?, &settings);
                self.instances.insert(manager.to_string(), Instance::new(manager, logic, reservations));
                return Ok(());
            }
            "Shutdown" => {
                self.instances.remove(manager);
                return Ok(());
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(manager)
            .ok_or_else(|| format!("{}: field ManagerId names the unknown instance {manager}", event.name))?;
        if let Some(decided) = instance.call(now, event, &self.tables)? {
            instance.carry_out(now, decided, steps);
        }
        Ok(())
    }
}

impl Instance {
    fn new(manager: &str, logic: AdmissionController, reservations: usize) -> Instance {
        Instance {
            manager: manager.to_string(),
            logic,
            reservations,
            engines: EngineIds::default(),
            jobs: HashMap::new(),
            requests: BTreeMap::new(),
            taken: 0,
            timer: None,
        }
    }

    /// Decodes an event into the call that it stands for; none if there is nothing to call.
    fn call(
        &mut self,
        now: Timestamp,
        event: Fields,
        tables: &HashMap<u64, Json>,
    ) -> FieldResult<Option<Actions>> {
        let job = match event.name {
            "Reply" | "Expired" | "Progress" | "HeadReceived" => {
                match self.jobs.get(&(event.whole("RequestId")? as u32)) {
                    Some(job) => *job,
                    None => return Ok(None),
                }
            }
            _ => JobId(self.taken),
        };
        Ok(Some(match event.name {
            "Ingress" => {
                let request = event.whole("RequestId")? as u32;
                let taken = event.job()?;
                if taken.class >= self.reservations {
                    return Err(format!("Ingress: field Type names the unknown class {}", taken.class));
                }
                self.taken += 1;
                self.jobs.insert(request, job);
                self.requests.insert(job, request);
                self.logic.submit(now, job, taken)
            }
            "Reply" => {
                let outcome = event.outcome()?;
                self.logic.dispatch_finished(now, job, event.whole_or_zero("Copy")? as u32, outcome)
            }
            "Progress" => match event.note()? {
                Some(note) => {
                    self.logic.dispatch_progress(now, job, event.whole_or_zero("Copy")? as u32, note)
                }
                None => return Ok(None),
            },
            "HeadReceived" => self.logic.response_started(now, job, event.whole_or_zero("Copy")? as u32),
            "Expired" => self.logic.client_disconnected(now, job),
            "Checked" => match self.engines.id(event.text("Engine")?) {
                Some(engine) => self.logic.health_check_finished(now, engine, event.outcome()?),
                None => return Ok(None),
            },
            "TimeoutFired" => {
                if self.timer.is_some_and(|due| due <= now) {
                    self.timer = None;
                }
                self.logic.timer_fired(now)
            }
            "DirectoryUpdate" => match event.text("Kind")? {
                "refused" => self.logic.endpoint_list_unavailable(now),
                kind => {
                    let table = event.whole_or_zero("Table")?;
                    let members = tables.get(&table).and_then(Json::as_array).ok_or_else(|| {
                        format!("DirectoryUpdate: field Table names the unknown list {table}")
                    })?;
                    let mut listings = Vec::with_capacity(members.len());
                    for json in members {
                        listings.push(
                            Fields { name: "Members", json }.listing(|name| self.engines.assign(name))?,
                        );
                    }
                    let scope = if kind == "changes" { ListScope::Changes } else { ListScope::Complete };
                    self.logic.endpoints_changed(now, scope, listings)
                }
            },
            _ => return Ok(None),
        }))
    }

    fn carry_out(&mut self, now: Timestamp, decided: Actions, steps: &mut Vec<Json>) {
        encode::steps(&decided, self, steps);
        if let Some(wake) = decided.next_timer.filter(|wake| self.timer.is_none_or(|due| *wake < due)) {
            let from_now = (wake - now).as_millis_f64().max(0.0);
            steps.push(json!({"SetTimer": {"ManagerId": self.manager, "FromNow": from_now, "Tag": 0}}));
            self.timer = Some(wake.max(now));
        }
        decided.forgotten_engines.into_iter().for_each(|engine| self.engines.remove(engine));
        for job in decided.released_jobs {
            if let Some(request) = self.requests.remove(&job) {
                self.jobs.remove(&request);
            }
        }
    }
}
