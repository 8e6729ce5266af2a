//! The controller's whole state in one struct, with lookups that several modules need.

use crate::concurrency::{GatewayConcurrency, LoadVisibility};
use crate::estimators::Pcg32;
use crate::health::{self, HealthChecks};
use crate::interface::{Actions, EngineId, JobId};
use crate::job::PendingJob;
use crate::job_class::JobClass;
use crate::key_order::KeyOrder;
use crate::pool::EnginePool;
use crate::retry::RetryBudget;
use crate::selection::Selection;
use crate::settings::{ClassSettings, ControllerSettings};
use crate::slow_start::SlowStart;
use crate::time::{TimeDelta, Timestamp};
use crate::timers::{Timer, TimerQueue};
use crate::traffic::Traffic;
use crate::waiting::WaitingJobs;
use std::collections::BTreeMap;

/// The controller's whole state.
pub struct ControllerState {
    /// The settings, unchanged since the start.
    pub settings: ControllerSettings,
    /// The time of the event that is being handled.
    pub now: Timestamp,
    /// When this process started.
    pub started_at: Timestamp,
    /// The time limit of a graceful shutdown: all jobs get their final answer before it. `i64::MAX` until a shutdown
    /// begins.
    pub answered_by: Timestamp,
    /// The random number generator of all decisions.
    pub random: Pcg32,
    /// The job classes, by position in the settings.
    pub classes: Vec<JobClass>,
    /// The known engines.
    pub pool: EnginePool,
    /// The jobs that were submitted and are not yet released.
    pub jobs: BTreeMap<JobId, PendingJob>,
    /// The jobs that wait at this gateway.
    pub waiting: WaitingJobs,
    /// The queues of the classes that run the jobs of one key in order.
    pub key_order: KeyOrder,
    /// The timers that have not fired yet.
    pub timers: TimerQueue,
    /// Statistics of arriving jobs and dispatched work.
    pub traffic: Traffic,
    /// The jobs and retries that count for the retry budget.
    pub retry_budget: RetryBudget,
    /// The learned state of the selection within a pair.
    pub selection: Selection,
    /// The budget of health checks and their usual elapsed times.
    pub health_checks: HealthChecks,
    /// This gateway's concurrency limit and whether the pool is saturated.
    pub concurrency: GatewayConcurrency,
    /// The actions that the current event has led to so far.
    pub actions: Actions,
}

impl ControllerState {
    /// The state at the start, without engines or jobs.
    pub fn new(now: Timestamp, seed: u64, settings: ControllerSettings) -> ControllerState {
        ControllerState {
            now,
            started_at: now,
            answered_by: Timestamp(i64::MAX),
            random: Pcg32::new(seed),
            classes: settings.classes.iter().cloned().map(JobClass::new).collect(),
            pool: EnginePool::default(),
            jobs: BTreeMap::new(),
            waiting: WaitingJobs::default(),
            key_order: KeyOrder::default(),
            timers: TimerQueue::default(),
            traffic: Traffic::new(now),
            retry_budget: RetryBudget::default(),
            selection: Selection::new(now),
            health_checks: HealthChecks::default(),
            concurrency: GatewayConcurrency::default(),
            actions: Actions::default(),
            settings,
        }
    }

    /// Schedules a timer that fires after `delay`.
    pub fn schedule_in(&mut self, delay: TimeDelta, timer: Timer) {
        self.timers.schedule_at(self.now + delay, timer);
    }

    /// The class of a job.
    pub fn class_of(&self, job: &PendingJob) -> &JobClass {
        &self.classes[job.request.class]
    }

    /// The settings of a job's class.
    pub fn class_settings_of(&self, job: &PendingJob) -> &ClassSettings {
        &self.class_of(job).settings
    }

    /// A job's key, if its class runs the jobs of one key in order.
    pub fn ordering_key(&self, job: &PendingJob) -> Option<u64> {
        job.request.key.filter(|_| self.class_settings_of(job).ordered_by_key)
    }

    /// What this gateway can know about the load that other gateways cause.
    pub fn visibility(&self) -> LoadVisibility {
        let gateway_fleet_is_large = self.pool.gateway_fleet_is_large();
        let lacks_load_reports = health::lacks_load_reports(&self.settings, gateway_fleet_is_large);
        LoadVisibility { gateway_fleet_is_large, lacks_load_reports }
    }

    /// The slow-start rules, applied to the current state.
    pub fn slow_start(&self) -> SlowStart<'_> {
        SlowStart {
            settings: &self.settings,
            classes: &self.classes,
            now: self.now,
            gateway_started_at: self.started_at,
        }
    }

    /// Ejects an engine as an outlier. Does nothing if it is unknown or ejected already.
    pub fn eject(&mut self, engine: EngineId) {
        if let Some(engine) = self.pool.engines.get_mut(&engine) {
            engine.ejection.eject(self.now);
        }
    }

    /// Sends a health check to an engine, unless it is unknown or has one in flight; returns whether it was sent.
    pub fn start_health_check(&mut self, id: EngineId) -> bool {
        let engine = self.pool.engines.get_mut(&id);
        let started = engine.is_some_and(|engine| engine.health_check.start(self.now));
        if started {
            self.actions.health_checks.push(id);
        }
        started
    }

    /// Number of entries in the collections that can grow with use.
    pub fn retained_entries(&self) -> usize {
        let traffic_and_keys = self.traffic.retained_entries() + self.key_order.retained_entries();
        self.pool.retained_entries() + self.jobs.len() + traffic_and_keys
    }
}
