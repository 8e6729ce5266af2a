//! All that the controller remembers, each part in the hands of its own concern, with the reads that several
//! concerns share.

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

/// All that the controller remembers.
pub struct ControllerState {
    /// The settings.
    pub settings: ControllerSettings,
    /// The time of the event that is handled.
    pub now: Timestamp,
    /// When this process started.
    pub started_at: Timestamp,
    /// When this process ends: every job has its final answer by then.
    pub shutdown_at: Timestamp,
    /// The generator of all random draws.
    pub random: Pcg32,
    /// The job classes.
    pub classes: Vec<JobClass>,
    /// The engines.
    pub pool: EnginePool,
    /// The jobs that were submitted and not yet released.
    pub jobs: BTreeMap<JobId, PendingJob>,
    /// The jobs that wait at this gateway.
    pub waiting: WaitingJobs,
    /// The queues of keys.
    pub key_order: KeyOrder,
    /// The timers.
    pub timers: TimerQueue,
    /// The stream of jobs.
    pub traffic: Traffic,
    /// The budget of retries.
    pub retry_budget: RetryBudget,
    /// What was learnt for the choice within a pair.
    pub selection: Selection,
    /// The budget of health checks.
    pub health_checks: HealthChecks,
    /// This gateway's own limit and the pool's saturation.
    pub concurrency: GatewayConcurrency,
    /// What the event has led to so far.
    pub actions: Actions,
}

impl ControllerState {
    /// Nothing known but the settings.
    pub fn new(now: Timestamp, seed: u64, settings: ControllerSettings) -> ControllerState {
        ControllerState {
            now,
            started_at: now,
            shutdown_at: Timestamp(i64::MAX),
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

    /// Schedules a timer.
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

    /// The key in whose order a job runs, if its class is ordered by key.
    pub fn ordering_key(&self, job: &PendingJob) -> Option<u64> {
        job.request.key.filter(|_| self.class_settings_of(job).ordered_by_key)
    }

    /// What this gateway can know of the load that other gateways cause.
    pub fn visibility(&self) -> LoadVisibility {
        let fleet_is_large = self.pool.fleet_is_large();
        let lacks_load_reports = health::lacks_load_reports(&self.settings, fleet_is_large);
        LoadVisibility { fleet_is_large, lacks_load_reports }
    }

    /// Read access for slow start.
    pub fn slow_start(&self) -> SlowStart<'_> {
        SlowStart {
            settings: &self.settings,
            classes: &self.classes,
            now: self.now,
            gateway_started_at: self.started_at,
        }
    }

    /// Ejects an engine as an outlier, if it is known and not ejected already.
    pub fn eject(&mut self, engine: EngineId) {
        if let Some(engine) = self.pool.engines.get_mut(&engine) {
            engine.ejection.eject(self.now);
        }
    }

    /// Sends a health check to an engine that is known and has none in flight; returns whether it did.
    pub fn start_health_check(&mut self, id: EngineId) -> bool {
        let engine = self.pool.engines.get_mut(&id);
        let started = engine.is_some_and(|engine| engine.health_check.start(self.now));
        if started {
            self.actions.health_checks.push(id);
        }
        started
    }

    /// Number of entries that may grow with use.
    pub fn retained_entries(&self) -> usize {
        let streams = self.traffic.retained_entries() + self.key_order.retained_entries();
        self.pool.retained_entries() + self.jobs.len() + streams
    }
}
