//! The thread that owns the module. Calls reach it through one bounded channel, in order of arrival, and
//! each `Actions` is carried out in its order before the next call. What the engine list tells, a planned stop and
//! clients that leave don't wait behind those. It decides nothing.

use crate::codec::client::{FailureReason, Reply};
use crate::codec::event_bus::{Event, UnixTime};
use crate::discovery::event_bus::EndpointListener;
use crate::discovery::start_clock::StartClock;
use crate::engine::dispatch_ledger::DispatchLedger;
use crate::engine::handle::EngineHandle;
use crate::engine::registry::EngineRegistry;
use crate::job::task::{AdmittedJob, JobTask};
use crate::job::worker_pool::Workers;
use crate::lifecycle::clock;
use crate::lifecycle::threads;
use crate::session::responder::Responder;
use crate::telemetry::counters;
use crossbeam_channel::{Receiver, Sender, bounded, select};
use pebblevane::controller::AdmissionController;
use pebblevane::interface::*;
use pebblevane::settings::*;
use pebblevane::time::*;
use pebblevane_adapter_common::EngineNumbers;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const CALLS: usize = 1024; // calls that wait for the module
const URGENT: usize = 16; // of the list and of a planned stop
const MODULE_STACK: usize = 512 * 1024;
const STEPS: usize = 32; // steps that wait for one job: more than its dispatches and recalls make
/// Told to clients that meet one of the program's own limits: come back after this time.
pub const BACK_IN: TimeDelta = TimeDelta(1_000_000);

/// What the module's thread is asked to do.
enum ControllerEvent {
    Take {
        id: JobId,
        job: Job,
        arrived: Timestamp,
        admitted: Box<AdmittedJob>,
    },
    Settle {
        id: JobId,
        copy: u32,
        outcome: DispatchResult,
    },
    Progress {
        id: JobId,
        copy: u32,
        note: ProgressUpdate,
    },
    HealthCheckCallback {
        engine: EngineId,
        outcome: DispatchResult,
    },
    /// The list has changed; when it was last known to be complete before that.
    Listed {
        event: Event,
        complete: Option<Timestamp>,
    },
    ListLost,
    Stopping {
        by: Timestamp,
    },
    /// Clients have left.
    Wakeup,
}

/// What comes next for a job of which something is sent.
pub enum JobCommand {
    Dispatch {
        engine: Arc<EngineHandle>,
        copy: u32,
        /// When it times out.
        ends: Timestamp,
        begin_by: Timestamp,
        rank: Option<u8>,
    },
    Recall {
        copy: u32,
    },
    /// Nothing is out or owed any more.
    Released,
}

/// The way to the module's thread.
pub struct ControllerHandle {
    calls: Sender<ControllerEvent>,
    urgent: Sender<ControllerEvent>,
    /// Jobs whose clients have left: never more than are open, and never waited for.
    left: Mutex<Vec<JobId>>,
    next: Mutex<u32>,
    /// Jobs taken and not yet released.
    pub open: AtomicUsize,
}

impl ControllerHandle {
    /// Starts the module's thread; the module has been told of `known` before this returns.
    pub fn start(
        settings: Settings,
        seed: u64,
        known: Vec<Event>,
        owners: Arc<EngineRegistry>,
    ) -> std::io::Result<Arc<ControllerHandle>> {
        let ((calls, inbox), (urgent, news)) = (bounded(CALLS), bounded(URGENT));
        let (ready, started) = bounded(1);
        let (left, next, open) = (Mutex::default(), Mutex::default(), AtomicUsize::new(0));
        let handle = Arc::new(ControllerHandle { calls, urgent, left, next, open });
        let own = handle.clone();
        threads::spawn_required("module", MODULE_STACK, move || {
            let names = |list: &str| -> Vec<String> {
                let named = (0..).map(|i| settings.text(&format!("{list}.{i}")).to_string());
                named.take_while(|name| !name.is_empty()).collect()
            };
            let (zones, machines) = (names("Zones"), names("Flavors"));
            let mut owner = ControllerThread {
                logic: AdmissionController::new(clock::now(), seed, settings),
                handle: own,
                wake: None,
                jobs: BTreeMap::new(),
                numbers: EngineNumbers::default(),
                engines: BTreeMap::new(),
                zones,
                machines,
                owners,
                start_clock: StartClock::default(),
                workers: Workers::default(),
            };
            owner.listed_at_start(known);
            let _ = ready.send(());
            owner.run(&inbox, &news);
        })?;
        let _ = started.recv();
        Ok(handle)
    }

    /// Hands a job over, unless too many calls wait; its answer is owed from then on. Jobs are numbered in the order
    /// in which the module hears of them. Whoever reads all clients calls this, and is never held up by the module.
    pub fn take(&self, job: Job, arrived: Timestamp, admitted: AdmittedJob) -> bool {
        let responder = admitted.responder.clone();
        let mut next = locked(&self.next);
        let id = JobId(*next);
        responder.register(id);
        self.open.fetch_add(1, SeqCst);
        let call = ControllerEvent::Take { id, job, arrived, admitted: Box::new(admitted) };
        if self.calls.try_send(call).is_err() {
            self.open.fetch_sub(1, SeqCst);
            responder.respond(&Reply::Rejected { retry_after: BACK_IN });
            return false;
        }
        *next += 1;
        true
    }
    pub fn settle(&self, id: JobId, copy: u32, outcome: DispatchResult) {
        self.call(ControllerEvent::Settle { id, copy, outcome });
    }
    pub fn progress(&self, id: JobId, copy: u32, note: ProgressUpdate) {
        self.call(ControllerEvent::Progress { id, copy, note });
    }
    /// The client has left; the job's token says so already.
    pub fn gone(&self, id: JobId) {
        locked(&self.left).push(id);
        // Where too many calls wait, the thread is awake and looks before the next of them.
        let _ = self.calls.try_send(ControllerEvent::Wakeup);
    }
    pub fn stopping(&self, by: Timestamp) {
        let _ = self.urgent.send(ControllerEvent::Stopping { by });
    }

    fn call(&self, call: ControllerEvent) {
        // The module's thread ends only with the program.
        let _ = self.calls.send(call);
    }
}

impl EndpointListener for ControllerHandle {
    fn endpoints_changed(&self, event: Event, complete: Option<Timestamp>) {
        let _ = self.urgent.send(ControllerEvent::Listed { event, complete });
    }

    fn connection_lost(&self) {
        let _ = self.urgent.send(ControllerEvent::ListLost);
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // A panic ends the program, so that nobody sees what a panic left behind.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the module's thread keeps of a job.
struct OpenJob {
    stage: JobStage,
    responder: Arc<Responder>,
    ledger: Arc<DispatchLedger>,
    answered: bool,
    copies: u32,
}

enum JobStage {
    /// Nothing was sent yet, and no thread is needed.
    Waiting(Box<AdmittedJob>),
    /// In a thread that takes its next steps here.
    Started(Sender<JobCommand>),
    /// It could not be started, and is answered.
    Refused,
}

struct ControllerThread {
    logic: AdmissionController,
    handle: Arc<ControllerHandle>,
    wake: Option<Timestamp>,
    jobs: BTreeMap<JobId, OpenJob>,
    numbers: EngineNumbers,
    engines: BTreeMap<EngineId, KnownEngine>,
    zones: Vec<String>,
    machines: Vec<String>,
    owners: Arc<EngineRegistry>,
    start_clock: StartClock,
    workers: Workers,
}

struct KnownEngine {
    engine: Arc<EngineHandle>,
    address: SocketAddr,
    started: Option<Start>,
    stage: LifecycleState,
}

/// A start of an engine: as the list stamps it, and when that was.
#[derive(Clone, Copy)]
struct Start {
    stamp: UnixTime,
    at: Timestamp,
}

impl ControllerThread {
    fn run(mut self, inbox: &Receiver<ControllerEvent>, news: &Receiver<ControllerEvent>) {
        loop {
            let wait = self.wake.map_or(Duration::from_secs(3600), clock::duration_until);
            let call = news.try_recv().ok().or_else(|| {
                select! {
                    recv(news) -> call => call.ok(),
                    recv(inbox) -> call => call.ok(),
                    default(wait) => None,
                }
            });
            let now = clock::now();
            self.start_clock.observe(now, StartClock::wall());
            let left = std::mem::take(&mut *locked(&self.handle.left));
            for id in left {
                if let Some(open) = self.jobs.get_mut(&id) {
                    open.answered = true;
                    let decided = self.logic.client_disconnected(now, id);
                    self.carry_out(now, decided);
                }
            }
            if let Some(call) = call {
                self.answer(now, call);
            }
            // A wake is due however many calls wait, and is caught up once.
            if self.wake.is_some_and(|wake| wake <= now) {
                let decided = self.logic.timer_fired(now);
                self.carry_out(now, decided);
            }
        }
    }

    fn answer(&mut self, now: Timestamp, call: ControllerEvent) {
        let decided = match call {
            ControllerEvent::Take { id, mut job, arrived, admitted } => {
                let (responder, ledger) = (admitted.responder.clone(), admitted.ledger.clone());
                let stage = JobStage::Waiting(admitted);
                let open = OpenJob { stage, responder, ledger, answered: false, copies: 0 };
                // Its client has left while it waited here: the module never hears of it.
                if open.responder.is_finished() {
                    self.handle.open.fetch_sub(1, SeqCst);
                    return;
                }
                job.time_left = job.time_left + (arrived - now);
                self.jobs.insert(id, open);
                self.logic.submit(now, id, job)
            }
            ControllerEvent::Settle { id, copy, mut outcome } => {
                let Some(open) = self.jobs.get_mut(&id) else { return };
                // A client that has left is not waited for, whether or not that was told yet.
                open.answered |= open.responder.is_finished();
                open.answered |= outcome.status == DispatchStatus::Completed;
                outcome.job_finished = open.answered;
                self.logic.dispatch_finished(now, id, copy, outcome)
            }
            ControllerEvent::Progress { id, copy, note } => self.logic.dispatch_progress(now, id, copy, note),
            ControllerEvent::HealthCheckCallback { engine, outcome } => {
                self.logic.health_check_finished(now, engine, outcome)
            }
            ControllerEvent::Listed { event, complete } => return self.listed(now, event, complete),
            ControllerEvent::ListLost => self.logic.endpoint_list_unavailable(now),
            ControllerEvent::Stopping { by } => self.logic.begin_shutdown(now, by),
            ControllerEvent::Wakeup => return,
        };
        self.carry_out(now, decided);
    }

    /// Carries out what was decided at this time.
    fn carry_out(&mut self, now: Timestamp, decided: Actions) {
        if decided != (Actions { next_timer: decided.next_timer, ..Actions::default() }) {
            tracing::trace!(actions = ?decided, "controller actions");
        }
        for DispatchId { job, attempt } in decided.cancellations {
            if let Some(open) = self.jobs.get(&job) {
                open.tell(JobCommand::Recall { copy: attempt });
            }
        }
        for (id, answer) in decided.answers {
            if let Some(open) = self.jobs.get_mut(&id).filter(|open| !open.answered) {
                open.answered = true;
                open.answer(answer);
            }
        }
        let mut refused = Vec::new();
        for dispatch in decided.dispatches {
            let known = self.engines.get(&dispatch.engine);
            if let Some((open, known)) = self.jobs.get_mut(&dispatch.job).zip(known) {
                let copy = open.copies;
                open.copies += 1;
                let (engine, rank) = (known.engine.clone(), dispatch.options.map(|terms| terms.priority));
                // However late its thread takes this up, the client's wait ends when it ends.
                let (ends, begin_by) = (now + dispatch.timeout, dispatch.begin_by);
                let step = JobCommand::Dispatch { engine, copy, ends, begin_by, rank };
                if !open.start(dispatch.job, &self.workers, &self.handle) {
                    refused.push((dispatch.job, copy));
                    continue;
                }
                open.tell(step);
            }
        }
        for engine in decided.health_checks {
            self.probe(engine);
        }
        for line in decided.log {
            tracing::info!(line, "controller");
        }
        for id in decided.released_jobs {
            if let Some(open) = self.jobs.remove(&id) {
                open.tell(JobCommand::Released);
                self.handle.open.fetch_sub(1, SeqCst);
            }
        }
        decided.forgotten_engines.into_iter().for_each(|engine| self.numbers.forget(engine));
        self.wake = decided.next_timer;
        // Nothing of these has left, and they are answered: the module only hears that they are over.
        for (id, copy) in refused {
            let outcome = DispatchResult {
                status: DispatchStatus::Unreachable,
                elapsed: TimeDelta::default(),
                job_finished: true,
                engine_reachable: true,
                actual_cost: None,
                load_report: None,
            };
            let now = clock::now();
            let decided = self.logic.dispatch_finished(now, id, copy, outcome);
            self.carry_out(now, decided);
        }
    }

    fn probe(&mut self, id: EngineId) {
        let outcome = |verdict: DispatchStatus, report: Option<LoadReport>, took: TimeDelta| DispatchResult {
            status: verdict,
            elapsed: took,
            job_finished: false,
            engine_reachable: false,
            actual_cost: None,
            load_report: report,
        };
        let handle = self.handle.clone();
        let told = move |verdict: DispatchStatus, report: Option<LoadReport>, took: TimeDelta| {
            handle.call(ControllerEvent::HealthCheckCallback {
                engine: id,
                outcome: outcome(verdict, report, took),
            });
        };
        let taken = self.engines.get(&id).is_some_and(|known| known.engine.probe(Box::new(told)));
        if !taken {
            let outcome = outcome(DispatchStatus::TimedOut, None, TimeDelta::default());
            let now = clock::now();
            let decided = self.logic.health_check_finished(now, id, outcome);
            self.carry_out(now, decided);
        }
    }

    /// The events of the start are one list for the module.
    fn listed_at_start(&mut self, known: Vec<Event>) {
        let mut all = BTreeMap::new();
        for event in known {
            if event.complete {
                all.clear();
            }
            all.extend(event.engines.into_iter().map(|entry| (entry.name.clone(), entry)));
        }
        let engines = all.into_values().collect();
        self.listed(clock::now(), Event { offset: 0, complete: true, engines, odd: vec![] }, None);
    }

    fn listed(&mut self, now: Timestamp, event: Event, complete: Option<Timestamp>) {
        self.start_clock.observe(now, StartClock::wall());
        let position = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let mut listings = Vec::with_capacity(event.engines.len());
        let mut named = Vec::new();
        for entry in event.engines {
            let Ok(address) = entry.address.parse::<SocketAddr>() else {
                tracing::warn!(engine = %entry.name, address = %entry.address, "endpoint with a malformed address ignored");
                continue;
            };
            let id = self.numbers.number(&entry.name);
            named.push(id);
            let started = entry.started.map(|stamp| self.start_of(id, stamp, now, complete));
            self.know(id, address, entry.stage, started);
            listings.push(Endpoint {
                engine: id,
                machine: position(&self.machines, &entry.machine).unwrap_or(usize::MAX),
                location: position(&self.zones, &entry.zone).unwrap_or(usize::MAX),
                cell: entry.cell,
                lifecycle: entry.stage,
                started_at: started.map(|start| start.at),
                capacity_hint: entry.weight,
                name: entry.name,
            });
        }
        if event.complete {
            let missing = self.engines.keys().copied().filter(|id| !named.contains(id));
            missing.collect::<Vec<EngineId>>().into_iter().for_each(|id| self.forget(id));
        }
        let running = self.engines.values().filter(|known| known.stage == LifecycleState::Running).count();
        tracing::info!(event = event.offset, entries = listings.len(), running, "endpoint list changed");
        let decided = self.logic.endpoints_changed(now, event.complete, listings);
        self.carry_out(now, decided);
    }

    /// A start that was told before stays where it was on the program's clock.
    fn start_of(&self, id: EngineId, stamp: UnixTime, now: Timestamp, complete: Option<Timestamp>) -> Start {
        let told = self.engines.get(&id).and_then(|known| known.started);
        let carried = || Start { stamp, at: self.start_clock.started(stamp, now, complete) };
        told.filter(|start| start.stamp == stamp).unwrap_or_else(carried)
    }

    /// Keeps the handle on an engine in step with the list.
    fn know(&mut self, id: EngineId, address: SocketAddr, stage: LifecycleState, started: Option<Start>) {
        let same = |known: &&mut KnownEngine| known.address == address && known.stage != LifecycleState::Gone;
        if let Some(known) = self.engines.get_mut(&id).filter(same) {
            let before = known.started.map(|start| start.stamp);
            if let Some(start) = started.filter(|start| before != Some(start.stamp)) {
                known.engine.restarted(start.at);
            }
            (known.started, known.stage) = (started, stage);
        } else {
            self.forget(id);
            // Whoever had a new engine's address before has gone, whether or not that was told.
            for old in
                self.engines.values().filter(|old| old.address == address && stage == LifecycleState::Running)
            {
                old.engine.gone();
            }
            let engine = EngineHandle::new(&self.owners, self.numbers.name(id), address);
            self.engines.insert(id, KnownEngine { engine, address, started, stage });
        }
        self.engines[&id].engine.open(stage == LifecycleState::Running);
        if stage == LifecycleState::Gone {
            self.forget(id);
        }
    }

    /// Nothing is sent there any more; what is still out there ends by itself.
    fn forget(&mut self, id: EngineId) {
        if let Some(old) = self.engines.remove(&id) {
            old.engine.gone();
        }
    }
}

impl OpenJob {
    /// Gives it a thread, if it has none; says whether it has one now. Where none can be made it is throttled, which
    /// is harmless as nothing of it has ever left.
    fn start(&mut self, id: JobId, workers: &Workers, module: &Arc<ControllerHandle>) -> bool {
        match std::mem::replace(&mut self.stage, JobStage::Refused) {
            JobStage::Waiting(admitted) => {
                let (steps, next) = bounded(STEPS);
                let task = JobTask::new(id, next, *admitted, module.clone());
                match workers.start(task) {
                    Ok(()) => self.stage = JobStage::Started(steps),
                    Err(e) => {
                        tracing::warn!(job = id.0, reason = %e, "no thread for a job");
                        counters::LOCAL_LIMIT_REJECTIONS.increment();
                        self.answered = true;
                        self.responder.respond(&Reply::Rejected { retry_after: BACK_IN });
                    }
                }
            }
            stage => self.stage = stage,
        }
        matches!(self.stage, JobStage::Started(_))
    }

    fn answer(&self, answer: FinalAnswer) {
        match answer {
            FinalAnswer::Rejected { retry_after } => {
                counters::JOBS_REJECTED.increment();
                self.ledger.throttled();
                self.responder.respond(&Reply::Rejected { retry_after });
            }
            FinalAnswer::Cancelled => {
                counters::JOBS_CANCELLED.increment();
                self.responder.respond(&Reply::Failed { reason: FailureReason::Cancelled });
            }
        }
    }

    /// The channel holds more steps than a job can have; a job whose thread has ended wants none.
    fn tell(&self, step: JobCommand) {
        let JobStage::Started(steps) = &self.stage else { return };
        if steps.try_send(step).is_err() {
            tracing::debug!("command for a job that has ended");
        }
    }
}
