//! Every decision of the gateway: which job goes to which engine, when, and what is throttled.
//!
//! `docs/design.md` tells why.

use crate::estimators::*;
use crate::interface::*;
use crate::settings::*;
use crate::state::*;
use crate::time::*;
use crate::timers::{Timer, TimerQueue};
use std::cell::OnceCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What a rejected job's client is told to wait before it tries again.
const RETRY_AFTER: TimeDelta = TimeDelta(1_000_000);

const ALPHA: f64 = 0.03; // step of the latency averages, as in the paper
const LAMBDA: f64 = 0.5; // ridge of the residual's posterior, as in the paper
const SIGMA: f64 = 0.1; // spread of its draws
const DEVIATIONS: usize = 128; // K, deviations behind the covariance
const GAMMA_EVERY: TimeDelta = TimeDelta(2_000_000); // S
const GAMMA_STEP: f64 = 0.05; // c
const RATE_SHIFT: f64 = 1.0; // b, as in the paper
const BEAT: TimeDelta = TimeDelta(250_000); // pace of all upkeep
const PLACE_EVERY: TimeDelta = TimeDelta(10_000); // pace of looking at held jobs while answers come back
const PROBES_A_JOB: f64 = 0.25;
const PROBE_CALM: f64 = 0.5; // below this told use a probe's time varies by itself, not by load
const PROBE_SCATTER_OVER: f64 = 32.0; // differences behind the mean scatter of probes at a location
const PROBE_SCATTER_KNOWN: u32 = 4; // and the fewest that tell it
const PROBE_SCATTERS: f64 = 4.0; // a probe within so many mean scatters of the least says nothing of load
const REPORT_FRESH: TimeDelta = TimeDelta(2_500_000); // older reports say nothing: the own figure stands in
const RECENT: TimeDelta = TimeDelta(5_000_000); // how far back a fading sum looks
const THREADS_A_CORE: f64 = 2.0; // the thread bound at the start, over the gateway count
const PACE_GOOD: f64 = 1.5; // the bound grows while jobs take at most this multiple of their bare work
const PACE_LEAST: f64 = 0.7; // and the least for what a gateway has out in all
const JAMMED: f64 = 1.5; // what may be out with all that is stuck in known jams, over the bound on the rest
const PACE_TIGHT: f64 = 1.4; // from here on jobs that find no engine under its bound are held
const PACE_BAD: f64 = 2.0; // and shrinks from here on
const BOUND_LEAST: f64 = 0.5; // of an equal share of an engine: one thread a core jams nothing
const BOUND_MOST: f64 = 1.0; // two threads a core or all the memory: more can do no good
const CALM_OVER: TimeDelta = TimeDelta(15_000_000); // how far back the calm pace of a type looks
const CALM_MOST: [f64; 2] = [2.0, PACE_CLIP]; // told costs are off by so much at most; spilling may take any time
const PACE_PRIOR: f64 = 500.0; // calm is presumed as firmly as this much bare work (ms) would show it
const PACE_OVER: TimeDelta = TimeDelta(3_000_000); // how far back pace looks
const PACE_CLIP: f64 = 6.0; // a single job says no more than this of its engine's pace
const LITTLE: f64 = 0.02; // a share of the work so small tells no time for the whole
const GRANT_START: f64 = 1.25; // memory granted over memory told
const GRANT_MOST: f64 = 4.0;
const GRANT_UP: f64 = 0.2; // how far a spill moves it, and a job without a spill
const GRANT_DOWN: f64 = 0.99;
const ASK_AFTER: TimeDelta = TimeDelta(500_000); // a report may be so old where it stands for all gateways' load
const ASK_SPEND: f64 = 0.025; // points that probes of pairs may cost
const ASKS_KEPT: f64 = 12.0; // probes saved up; jobs that bill little leave half of them to others
const REPLICAS: f64 = 1.5; // replicas of a table group in its hashed order, over its share of the pool
const PATIENCE: f64 = 6.0; // engines further along the order while a job waits out its slack
const FORGET: TimeDelta = TimeDelta(60_000_000); // what was not met for so long is forgotten
const SLOW_START_JOBS: f64 = 2.0; // small jobs, as the settings tell them, that a turn at a cold engine is to hold
const SLOW_START_CARE: f64 = 0.6; // part of the cold budget that is used: capacity and work are guesses
const SLOW_START_TURN: f64 = 0.4; // and in one turn, as a window meets two

#[derive(Default)]
pub struct AdmissionController {
    settings: ControllerSettings,
    now: Timestamp,
    chance: Pcg32,
    types: Vec<JobClass>,
    engines: BTreeMap<usize, Engine>,
    /// Each table group's order of the running engines, kept until the list changes; and their cores.
    orders: BTreeMap<u64, Rc<[usize]>>,
    running: Vec<usize>,
    cores: f64,
    /// Running engines that started not long ago, where gateways take turns at them.
    cold: Vec<usize>,
    started: Timestamp,
    /// When this process ends: every job has its final answer by then.
    stops: Timestamp,
    jobs: BTreeMap<JobId, Held>,
    waiting: Vec<JobId>,
    placing: bool,
    no_room: bool, // the last choice found no engine under its bound
    turns: BTreeMap<u64, VecDeque<JobId>>,
    rests: BTreeMap<u64, Timestamp>,
    timers: TimerQueue,
    decided: Actions,
    gateways: f64,
    residual: LinearPosterior,
    deviations: DeviationCovariance,
    gamma: [f64; 2],
    gamma_steps: f64,
    gamma_at: Timestamp,
    arrivals: DecayingAverage,
    traffic: Traffic,
    /// The least time of a probe by location; rises slowly.
    probe_least: BTreeMap<usize, f64>,
    /// How much probes of one engine that is not busy vary from one to the next, by location (ms).
    probe_scatter: BTreeMap<usize, MeanDeviation>,
    asks: f64, // probes of pairs that may still be made
    /// The pool is past its knee: jobs that find no engine under its bound are held.
    tight: bool,
    pace: DecayingAverage,
    work: DecayingAverage, // sent of late
    /// Concurrency limit: own threads out in all, up to which jobs go out in a jam.
    concurrency_limit: f64,
    /// Jobs taken and dispatches made beyond a job's first, for the budget.
    taken: SlidingWindow,
    extras: SlidingWindow,
}

/// The usual work of one job of a type, in milliseconds on one thread.
fn usual_work(kind: &JobClass) -> f64 {
    kind.true_cost.mean_or(
        kind.told_cost.mean_or(kind.settings.latency_objective.as_millis_f64() * kind.settings.threads / 2.0),
    )
}

/// Own load on an engine with so much more: threads against two a core or memory against all there is.
fn load(engine: &Engine, threads: f64, memory: f64) -> f64 {
    let threads = (engine.threads + threads) / (engine.cores * THREADS_A_CORE);
    let memory = (engine.memory_out + memory.min(engine.most_mb)) / engine.memory_mb.max(1.0);
    threads.max(memory)
}

impl AdmissionController {
    pub fn new(now: Timestamp, seed: u64, settings: Settings) -> AdmissionController {
        let settings = ControllerSettings::from(&settings);
        let read = |class: &ClassSettings| JobClass {
            settings: class.clone(),
            grant: GRANT_START,
            ..JobClass::default()
        };
        let types = settings.classes.iter().map(read).collect();
        let mut logic = AdmissionController {
            now,
            chance: Pcg32::new(seed),
            types,
            gateways: settings.gateway_count,
            residual: LinearPosterior::new(LAMBDA),
            gamma: [0.5; 2],
            gamma_at: now,
            started: now,
            stops: Timestamp(i64::MAX),
            concurrency_limit: f64::INFINITY,
            settings,
            ..AdmissionController::default()
        };
        logic.decided.subscribe = logic.settings.polls_endpoint_list;
        logic.after(BEAT, Timer::Maintenance);
        logic
    }

    pub fn endpoints_changed(&mut self, now: Timestamp, complete: bool, listings: Vec<Endpoint>) -> Actions {
        self.now = now;
        let seen: Vec<usize> = listings.iter().map(|listing| listing.engine.0 as usize).collect();
        listings.into_iter().for_each(|listing| self.list(listing));
        if complete {
            let missing = self.engines.iter_mut().filter(|(id, _)| !seen.contains(id));
            missing.for_each(|(_, engine)| engine.listing.lifecycle = LifecycleState::Gone);
        }
        let engines = &self.engines;
        let runs = |id: &usize| engines[id].listing.lifecycle == LifecycleState::Running;
        self.running = engines.keys().copied().filter(runs).collect();
        self.cores = self.running.iter().map(|id| engines[id].cores).sum();
        let cold =
            |id: &usize| self.share_below_job(&engines[id]) && engines[id].listing.started_at.is_some();
        self.cold = self.running.iter().copied().filter(cold).collect();
        self.orders.clear();
        self.place_waiting();
        self.finish()
    }

    /// A call to the engine list failed: the old list stands and is asked for again.
    pub fn endpoint_list_unavailable(&mut self, now: Timestamp) -> Actions {
        self.now = now;
        if self.settings.polls_endpoint_list {
            let pause = BEAT.mul_f64(1.0 + 3.0 * self.chance.next_f64());
            self.after(pause, Timer::PollEndpointList);
        }
        self.finish()
    }

    pub fn submit(&mut self, now: Timestamp, id: JobId, job: Job) -> Actions {
        self.now = now;
        self.taken.add(now, self.settings.contract.retry_budget_window.unwrap_or_default(), 1.0);
        let ends = (now + job.time_left.min(self.types[job.class].settings.client_timeout)).min(self.stops);
        let largest = self.running.iter().map(|e| self.engines[e].memory_mb).fold(0.0, f64::max);
        let (guard, kind) = (ends - self.guard(), &mut self.types[job.class]);
        // Estimates may be hostile: nothing is learnt of work past clients' wait or memory past any engine.
        kind.tell(now, RECENT, &job, (ends - now).as_millis_f64() * kind.settings.threads, largest);
        let bias = usual_work(kind) / kind.told_cost.mean_or(usual_work(kind)).max(1e-6);
        let cost = job.cost.map_or(usual_work(kind), |told| told.as_millis_f64() * bias);
        let held = Held {
            taken: now,
            ends,
            sla_ends: now
                + kind.settings.latency_objective
                + TimeDelta::from_millis_f64(kind.settings.objective_stretch * cost / kind.settings.threads),
            cost,
            bare: cost / kind.settings.threads,
            value: kind.settings.priority_weight / (cost.max(1.0) / 1000.0),
            memory: job.memory_mb.filter(|mb| *mb <= largest).unwrap_or(kind.memory.mean_or(0.0)),
            job,
            ..Held::default()
        };
        let possible = now + TimeDelta::from_millis_f64(0.7 * held.bare) <= guard;
        if possible {
            self.traffic.add(now, CALM_OVER, &held, kind);
            self.arrivals.add(now, RECENT, cost * kind.spill_factor(), 1.0);
        }
        self.asks = (self.asks + self.asks_a_job()).min(ASKS_KEPT);
        if let Some(key) = held.job.key.filter(|_| self.types[held.job.class].settings.ordered_by_key) {
            self.turns.entry(key).or_default().push_back(id);
        }
        self.jobs.insert(id, held);
        self.at(guard, Timer::AnswerDeadline(id));
        let first = if possible { AdmissionController::place } else { AdmissionController::give_up };
        first(self, id);
        self.finish()
    }

    pub fn dispatch_finished(
        &mut self,
        now: Timestamp,
        id: JobId,
        copy: u32,
        outcome: DispatchResult,
    ) -> Actions {
        self.now = now;
        let Some(held) = self.jobs.get_mut(&id) else { return self.finish() };
        held.over |= outcome.job_finished;
        let Some(out) = held.out.take_if(|out| out.copy == copy) else { return self.finish() };
        let ran = !matches!(
            outcome.status,
            DispatchStatus::Overloaded | DispatchStatus::Unreachable | DispatchStatus::Expired
        );
        held.may_have_run = held.may_have_run.or(ran.then_some((out.engine, out.sent)));
        if matches!(
            outcome.status,
            DispatchStatus::TimedOut | DispatchStatus::ConnectionLost | DispatchStatus::Cancelled
        ) {
            held.unsure_at = Some(now);
        }
        self.learn(id, &out, &outcome);
        self.after_dispatch(id, outcome.status);
        self.release(id);
        if !self.waiting.is_empty() && !self.placing {
            self.place_after(PLACE_EVERY);
        }
        self.finish()
    }

    pub fn dispatch_progress(
        &mut self,
        now: Timestamp,
        id: JobId,
        copy: u32,
        note: ProgressUpdate,
    ) -> Actions {
        self.now = now;
        let loads =
            self.types.iter().filter(|kind| kind.settings.locks_tables).filter_map(|kind| kind.latency);
        let load_takes = loads.fold(BEAT.as_millis_f64(), f64::max);
        if let Some(held) = self.jobs.get_mut(&id)
            && let Some(out) = held.out.as_mut().filter(|out| out.copy == copy)
        {
            out.hears(now, note);
            if let ProgressUpdate::SpillingToDisk(missing) = note
                && held.memory > 0.0
            {
                let kind = &mut self.types[held.job.class];
                let needed = ((out.memory + missing) / held.memory).min(GRANT_MOST);
                kind.spills += 1.0;
                kind.grant += GRANT_UP.max(1.0 / (1.0 + kind.spills)) * (needed - kind.grant).max(0.0);
            }
            let (to, took) = (out.engine, (now - out.sent).as_millis_f64() / out.share);
            let (known, spilled) = (out.share > LITTLE && !out.waited, out.spilled);
            if let Some(engine) = self.engines.get_mut(&to) {
                (engine.heard, engine.on_trial) = (now, false);
                if note == ProgressUpdate::WaitingForBulkLoad {
                    engine.holds.insert(held.job.table_group, now + TimeDelta::from_millis_f64(load_takes));
                }
            }
            if known {
                self.see_pace(id, to, took, 0.25, true, spilled);
            }
            self.reconsider(id);
        }
        self.finish()
    }

    /// A streamed answer has begun: from here on the job is the client's.
    pub fn response_started(&mut self, now: Timestamp, id: JobId, copy: u32) -> Actions {
        self.now = now;
        if let Some(held) = self.jobs.get_mut(&id) {
            held.over |= held.out.as_ref().is_some_and(|out| out.copy == copy);
        }
        self.finish()
    }

    /// The client has left.
    pub fn client_disconnected(&mut self, now: Timestamp, id: JobId) -> Actions {
        self.now = now;
        self.jobs.entry(id).and_modify(|held| held.over = true);
        self.recall(id);
        self.release(id);
        self.finish()
    }

    pub fn health_check_finished(
        &mut self,
        now: Timestamp,
        engine: EngineId,
        outcome: DispatchResult,
    ) -> Actions {
        self.now = now;
        let id = engine.0 as usize;
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.probe_out = false;
            match outcome.status {
                DispatchStatus::Completed => engine.shunned_until = engine.shunned_until.min(now),
                DispatchStatus::Unreachable => self.shun(id),
                _ => {}
            }
        }
        let before = self.engines.get(&id).and_then(|engine| engine.jobs).unwrap_or(0.0);
        self.read_report(id, &outcome.load_report);
        let (warm_after, done) =
            (self.settings.contract.warm_up_time, outcome.status == DispatchStatus::Completed);
        let heeded = |engine: &&mut Engine| done && (engine.whole || engine.jobs.is_none());
        if let Some(engine) = self.engines.get_mut(&id).filter(heeded) {
            // Processor use stands still past full and falls past memory: the probe's own time tells more, once it is
            // known how much that varies where nothing is the matter.
            let took = outcome.elapsed.as_millis_f64();
            let least = self.probe_least.entry(engine.listing.location).or_insert(f64::INFINITY);
            *least = (*least * 1.0005).min(took).max(1e-3);
            let scatter = self.probe_scatter.entry(engine.listing.location).or_default();
            let calm = engine.processor.is_some_and(|told| told < PROBE_CALM);
            let last = engine.calm_probe.take();
            engine.calm_probe = calm.then_some(took);
            if let Some((last, took)) = last.zip(engine.calm_probe) {
                scatter.add((took - last).abs(), PROBE_SCATTER_OVER);
            }
            let told_by_time =
                scatter.count() >= PROBE_SCATTER_KNOWN && took > *least + PROBE_SCATTERS * scatter.mean();
            let by_time = if told_by_time { took / *least / PACE_BAD } else { 0.0 };
            engine.processor = engine.processor.map(|told| told.max(by_time));
            // Many jobs and then none: it died unseen by the list and is cold, however idle it looks.
            let emptied = before > engine.cores / 2.0 && engine.jobs.is_some_and(|jobs| jobs < 1.0);
            if emptied && engine.listing.started_at.is_none_or(|ready| ready + warm_after < now) {
                engine.listing.started_at = Some(now);
                self.cold.push(id);
            }
        }
        self.place_waiting();
        self.finish()
    }

    /// A planned stop: what is open at `by` gets its final answer then, what can't be done by then at once.
    pub fn begin_shutdown(&mut self, now: Timestamp, by: Timestamp) -> Actions {
        (self.now, self.stops) = (now, by);
        for held in self.jobs.values_mut() {
            (held.ends, held.sla_ends) = (held.ends.min(by), held.sla_ends.min(by));
        }
        let open: Vec<JobId> = self.jobs.keys().copied().collect();
        self.at(by - self.guard(), Timer::ShutdownDeadline(open));
        self.place_waiting();
        self.finish()
    }

    pub fn timer_fired(&mut self, now: Timestamp) -> Actions {
        self.now = now;
        while let Some(timer) = self.timers.pop_due(now) {
            self.fire(timer);
        }
        self.finish()
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Maintenance => self.beat(),
            Timer::PollEndpointList => self.decided.subscribe = true,
            Timer::AnswerDeadline(id) => self.give_up(id),
            Timer::ShutdownDeadline(open) => open.into_iter().for_each(|id| self.give_up(id)),
            Timer::KeyAvailable => self.place_waiting(),
            Timer::PlaceWaitingJobs => {
                self.placing = false;
                self.place_waiting();
            }
        }
    }

    fn finish(&mut self) -> Actions {
        self.decided.next_timer = self.timers.next_at();
        std::mem::take(&mut self.decided)
    }

    fn at(&mut self, when: Timestamp, timer: Timer) {
        self.timers.schedule_at(when, timer);
    }

    fn after(&mut self, pause: TimeDelta, timer: Timer) {
        self.at(self.now + pause, timer);
    }

    /// How long before a client leaves its final answer is given: two ticks, for the clock's coarseness.
    fn guard(&self) -> TimeDelta {
        self.settings.answer_margin
    }

    /// Load on an engine with so much more; where the bound is a whole engine's, all gateways', as last told.
    fn fill(&self, engine: &Engine, threads: f64, memory: f64) -> f64 {
        let own = load(engine, threads, memory);
        // What was told long ago says nothing: a gateway that can't know decides on its own figures.
        if !engine.whole || self.now - engine.reported > REPORT_FRESH {
            return own;
        }
        let usual = self.traffic.threads.mean_or(1.0);
        let by_jobs = |jobs: f64| {
            let by_memory = jobs * self.traffic.memory.mean_or(0.0) / engine.memory_mb.max(1.0);
            by_memory.max(jobs * usual / (engine.cores * THREADS_A_CORE))
        };
        let told = engine.jobs.map_or(engine.processor.unwrap_or(0.0), by_jobs);
        let since = (engine.since + threads) / (engine.cores * THREADS_A_CORE);
        own.max(told.max(engine.memory.unwrap_or(0.0)) + since)
    }

    fn list(&mut self, listing: Endpoint) {
        let id = listing.engine.0 as usize;
        let restarted = listing.started_at.is_some()
            && self.engines.get(&id).is_some_and(|engine| engine.listing.started_at != listing.started_at);
        if restarted || !self.engines.contains_key(&id) {
            // Where an equal share means nothing the bound is the whole engine's, for all, if reports tell of
            // all gateways' jobs and may be asked for.
            let asked = self.settings.capabilities.health_checks && self.settings.reports.tell_total_load;
            let before = self.engines.remove(&id).unwrap_or_default();
            let mut engine = Engine::read(&self.settings, listing, before, self.types.len());
            engine.heard = self.now;
            engine.whole = asked && self.share_below_job(&engine);
            engine.share = if engine.whole { 1.0 } else { 1.0 / self.gateways };
            engine.bound = engine.share;
            self.engines.insert(id, engine);
            self.gamma_steps = 0.0;
        } else if let Some(engine) = self.engines.get_mut(&id) {
            engine.listing = listing;
        }
    }

    /// The part of its capacity that an engine has, as far as its start tells: it climbs from StartCapacity.
    fn warmth(&self, engine: &Engine, at: Timestamp) -> f64 {
        let start = self.settings.contract.initial_capacity_fraction;
        let climbs = |ready: Timestamp| {
            (at - ready).as_millis_f64().max(0.0)
                / self.settings.contract.warm_up_time.as_millis_f64().max(1.0)
        };
        engine.listing.started_at.map_or(1.0, |ready| (start + (1.0 - start) * climbs(ready)).min(1.0))
    }

    // ---- rules: every send passes here ----------------------------------------------------------------

    /// The rules as far as they do not depend on the engine; `may_go_to` has the rest.
    fn may_go(&self, id: JobId) -> bool {
        let held = &self.jobs[&id];
        // Rule 1, and no two dispatches at once.
        let open = !held.over && held.out.is_none();
        // Rule 5.
        let ordered = held.job.key.filter(|_| self.types[held.job.class].settings.ordered_by_key);
        let turn = ordered.is_none_or(|key| {
            self.turns[&key].front() == Some(&id) && self.rests.get(&key).is_none_or(|rest| *rest <= self.now)
        });
        // Rule 7 and the limit of dispatches for one job.
        open && turn && (held.copies == 0 || self.within_budget()) && self.again(held)
    }

    fn may_go_to(&self, id: JobId, to: usize) -> bool {
        let (held, engine) = (&self.jobs[&id], &self.engines[&to]);
        let (kind, listing) = (&self.types[held.job.class], &engine.listing);
        // Rule 2 for keyed jobs, as far as `begin_by` has not said it.
        let keyed = held.may_have_run.filter(|_| kind.settings.effect == Effect::IdempotencyKey);
        let once = keyed.is_none_or(|(ran_on, _)| {
            let (there, zone) = (
                &self.engines[&ran_on].listing,
                kind.settings.deduplication_scope == DeduplicationScope::Location,
            );
            kind.settings.deduplication_scope == DeduplicationScope::Pool
                || if zone { there.location == listing.location } else { there.cell == listing.cell }
        });
        // Rule 3: at once, well within the grace. Rule 4.
        let running = listing.lifecycle == LifecycleState::Running
            && self.slow_start_budget(engine) >= usual_work(kind);
        // Rule 6.
        let among = |list: &Option<Vec<usize>>, x| list.as_ref().is_none_or(|list| list.contains(&x));
        let placed = among(&kind.settings.locations, listing.location)
            && among(&kind.settings.machine_types, listing.machine);
        once && running && placed
    }

    /// The last moment at which a dispatch may begin: rule 1, and for what may have run rule 2.
    fn begin_by(&self, held: &Held) -> Timestamp {
        let kind = &self.types[held.job.class];
        match (held.may_have_run, kind.settings.effect) {
            (Some(_), Effect::RunOnce) => Timestamp::default(),
            (Some((_, since)), Effect::IdempotencyKey) => {
                held.ends.min(since + kind.settings.deduplication_window) - self.guard()
            }
            _ => held.ends - self.guard(),
        }
    }

    /// Whether a job may have one more dispatch, as far as its time, its effect and their number go.
    fn again(&self, held: &Held) -> bool {
        let most = self.settings.max_dispatches_per_job;
        f64::from(held.copies) < most && self.now < self.begin_by(held)
    }

    fn within_budget(&self) -> bool {
        let Some(window) = self.settings.contract.retry_budget_window else { return true };
        let since = self.now - window;
        // Two dispatches one window apart count together: a limit within any span holds at both its ends.
        let (extras, jobs) = (self.extras.sum_since(since - self.guard()), self.taken.sum_since(since));
        extras + 1.0 <= self.settings.contract.min_retries + self.settings.contract.retries_per_job * jobs
    }

    /// Usual work that this gateway may still send to an engine within the window of the cold rule: its equal
    /// share. Where that is less than a job, gateways take turns, as time since the start, engine and own
    /// number say: in each slot of one window's length as many gateways as heavy jobs fit, or small ones in
    /// pairs, share so little that the two turns that a window meets keep to the budget. One that has just
    /// started may have forgotten what it sent, and waits.
    fn slow_start_budget(&self, engine: &Engine) -> f64 {
        let (multiple, window) =
            (self.settings.contract.warm_up_overload_factor, self.settings.contract.warm_up_window);
        // No window that begins while it is cold may meet what is sent to a warm one: all become warm at once, and
        // clocks differ.
        let warm_after = self.settings.contract.warm_up_time + window;
        let warm = |ready: &Timestamp| self.now >= *ready + warm_after || multiple <= 0.0;
        let Some(ready) = engine.listing.started_at.filter(|ready| !warm(ready)) else {
            return f64::INFINITY;
        };
        let sent = engine.sent.sum_since(self.now - window);
        let whole = |at| multiple * self.warmth(engine, at) * engine.cores * window.as_millis_f64();
        if !self.share_below_job(engine) {
            return SLOW_START_CARE * whole(self.now) / self.gateways - sent;
        }
        let slot = (self.now - ready).0.max(0) / window.0.max(1);
        let whole = SLOW_START_TURN * whole(ready + window.mul_f64(slot as f64));
        // Two turns of three are for small jobs: many gateways have some, few have a large one in time.
        let guessed = self
            .types
            .iter()
            .map(|kind| kind.settings.latency_objective.as_millis_f64() * kind.settings.threads / 2.0);
        let (heaviest, lightest) =
            (guessed.clone().fold(1.0, f64::max), guessed.fold(f64::INFINITY, f64::min));
        let unit = if slot % 3 == 0 { heaviest } else { SLOW_START_JOBS * lightest.max(1.0) };
        let holders = (whole / unit).floor().clamp(1.0, self.gateways);
        let turn =
            (mix64(engine.hash ^ slot as u64) % self.gateways as u64) as f64 + self.settings.gateway_ordinal;
        let mine = turn % self.gateways < holders && self.started + window <= self.now;
        if mine { whole / holders - sent } else { 0.0 }
    }

    /// An equal share of an engine, or of its cold budget, is less than a job and means nothing. Only what all gateways
    /// know alike counts, since they take turns by it; reports and probes have no part in that.
    fn share_below_job(&self, engine: &Engine) -> bool {
        THREADS_A_CORE * engine.cores < self.gateways
    }

    /// The one place from which a dispatch goes out.
    fn send(&mut self, id: JobId, to: usize, choice: Option<Choice>) -> bool {
        if !self.may_go(id) || !self.may_go_to(id, to) {
            return false;
        }
        let (terms, begin_by) = (self.terms(id, to), self.begin_by(&self.jobs[&id]));
        let (window, cold) = (
            self.settings.contract.retry_budget_window.unwrap_or_default(),
            self.settings.contract.warm_up_window,
        );
        let window = window + self.guard();
        let held = self.jobs.get_mut(&id).expect("a job that may be sent is held");
        let kind = &self.types[held.job.class];
        let engine = self.engines.get_mut(&to).expect("an engine that may be sent to is known");
        if held.copies > 0 {
            self.extras.add(self.now, window, 1.0);
        }
        let granted = terms.map_or(0.0, |terms| terms.memory_grant_mb);
        let memory = if granted > 0.0 { granted } else { held.memory }.min(engine.most_mb);
        engine.leaves(id, &held.job, kind, memory);
        engine.sent.add(self.now, cold, usual_work(kind));
        engine.work.add(self.now, CALM_OVER, held.cost, 1.0);
        self.work.add(self.now, CALM_OVER, held.cost, 1.0);
        let limit = held.ends - self.now;
        held.out = Some(Out::new(to, held.copies, self.now, choice, memory));
        (held.copies, held.last) = (held.copies + 1, Some(to));
        let engine = EngineId(to as u32);
        self.decided.dispatches.push(Dispatch { job: id, engine, timeout: limit, begin_by, options: terms });
        true
    }

    /// Priority and memory, where they are heeded: jobs worth much for their work go first, late ones last.
    /// The grant is the told need times what notes of spilling taught, and at least what goes with the
    /// job's threads, as far as it may need it: while threads are under the bound all such grants fit.
    fn terms(&self, id: JobId, to: usize) -> Option<DispatchOptions> {
        let (ranks, grants) =
            (self.settings.capabilities.priorities, self.settings.capabilities.memory_grants);
        let held = &self.jobs[&id];
        let kind = &self.types[held.job.class];
        let rank = match () {
            _ if self.now > held.sla_ends => 0,
            _ if kind.settings.threads <= 1.0 => 3,
            _ if kind.settings.locks_tables => 2,
            _ => 1,
        };
        let fits =
            self.engines[&to].memory_mb * kind.settings.threads / (self.engines[&to].cores * THREADS_A_CORE);
        let grant = (held.memory * kind.grant).max(fits.min(held.memory * GRANT_MOST));
        let grant_mb = if grants { grant.round() } else { 0.0 };
        (ranks || grants).then_some(DispatchOptions { priority: rank, memory_grant_mb: grant_mb })
    }

    /// Gives a job its final answer. It is throttled where trying again is harmless, else cancelled for good.
    fn give_up(&mut self, id: JobId) {
        let Some(held) = self.jobs.get_mut(&id).filter(|held| !held.over) else { return };
        let kind = &self.types[held.job.class];
        let unrun = held.may_have_run.is_none() && held.out.is_none();
        let harmless = unrun
            || kind.settings.effect != Effect::RunOnce
                && (kind.settings.deduplication_scope == DeduplicationScope::Pool
                    || kind.settings.effect != Effect::IdempotencyKey);
        held.over = true;
        let answer = if harmless {
            FinalAnswer::Rejected { retry_after: RETRY_AFTER }
        } else {
            FinalAnswer::Cancelled
        };
        self.decided.answers.push((id, answer));
        self.recall(id);
        self.release(id);
    }

    fn recall(&mut self, id: JobId) {
        let allowed = self.settings.capabilities.cancellation;
        let out = self.jobs.get_mut(&id).and_then(|held| held.out.as_mut());
        if let Some(out) = out.filter(|out| allowed && !out.recalled) {
            out.recalled = true;
            self.decided.cancellations.push(DispatchId { job: id, attempt: out.copy });
        }
    }

    /// Forgets a job that is over and has nothing out; the next job of its key may then have its turn.
    fn release(&mut self, id: JobId) {
        let Some(held) = self.jobs.get(&id).filter(|held| held.over && held.out.is_none()) else { return };
        if let Some(key) = held.job.key.filter(|_| self.types[held.job.class].settings.ordered_by_key) {
            if let Some(unsure) = held.unsure_at {
                self.rests.insert(key, unsure + self.settings.contract.key_quiet_time);
            }
            self.turns.entry(key).or_default().retain(|other| *other != id);
            self.at(self.rests.get(&key).copied().unwrap_or(self.now), Timer::KeyAvailable);
        }
        if self.jobs.remove(&id).is_some_and(|held| held.waits) {
            self.waiting.retain(|other| *other != id);
        }
        self.decided.released_jobs.push(id);
    }

    // ---- the ordinary path: AQD -----------------------------------------------------------------------

    /// Sends a job to the engine that the mechanism chooses, or keeps it until one may take it.
    fn place(&mut self, id: JobId) {
        let sent = self.choose(id).is_some_and(|(engine, choice)| self.send(id, engine, choice));
        let held = self.jobs.get_mut(&id).expect("a job that is placed is held");
        let waits = std::mem::replace(&mut held.waits, !sent);
        self.waiting.extend((!sent && !waits).then_some(id));
        if !sent && !self.placing && self.many() {
            let pause = PLACE_EVERY.mul_f64(5.0 + 5.0 * self.chance.next_f64());
            self.place_after(pause);
        }
    }

    /// Threads that this gateway has out at a pace, by the work that comes to it: rate times time.
    fn at_pace(&self, pace: f64) -> f64 {
        let seen =
            1.0 - (-((self.now - self.started).as_millis_f64().max(1.0) / RECENT.as_millis_f64())).exp();
        pace * self.arrivals.sum_at(self.now, RECENT) / (seen * RECENT.as_millis_f64())
    }

    fn threads_out(&self) -> f64 {
        self.engines.values().map(|engine| engine.threads).sum()
    }

    /// Probes that the ordinary job may cause: where gateways are many, by what the settings say they cost.
    fn asks_a_job(&self) -> f64 {
        let price = self.settings.health_check_price;
        if self.many() { (ASK_SPEND / price.max(1e-6)).min(4.0) } else { PROBES_A_JOB }
    }

    /// Where reports can't be had for each job's pair, gateways decide on their own figures.
    fn blind(&self) -> bool {
        self.many() && self.asks_a_job() < 2.0
    }

    /// How far back an engine's pace looks: without reports, as far as to the last job there.
    fn pace_life(&self) -> TimeDelta {
        if self.blind() { CALM_OVER } else { PACE_OVER }
    }

    /// Whether bounds are whole engines' here, for all gateways together.
    fn many(&self) -> bool {
        self.running.first().is_some_and(|e| self.engines[e].whole)
    }

    fn place_after(&mut self, pause: TimeDelta) {
        self.placing = true;
        self.after(pause, Timer::PlaceWaitingJobs);
    }

    /// The order in which a table group's jobs walk the running engines.
    fn order(&mut self, group: u64) -> Rc<[usize]> {
        let (running, engines) = (&self.running, &self.engines);
        let sorted = || {
            let mut order = running.clone();
            order.sort_by_cached_key(|e| (mix64(engines[e].hash ^ mix64(group)), *e));
            order.into()
        };
        self.orders.entry(group).or_insert_with(sorted).clone()
    }

    fn choose(&mut self, id: JobId) -> Option<(usize, Option<Choice>)> {
        if !self.may_go(id) {
            return None;
        }
        let order = self.order(self.jobs[&id].job.table_group);
        let many = self.many();
        let (blind, pace_life) = (self.blind(), self.pace_life());
        let draw = if many { self.chance.next_f64() } else { 0.0 };
        let held = &self.jobs[&id];
        let (kind, group) = (&self.types[held.job.class], held.job.table_group);
        let total = |of: fn(&Engine) -> f64| self.running.iter().map(|e| of(&self.engines[e])).sum::<f64>();
        let room = OnceCell::new();
        let room = || *room.get_or_init(|| total(|e| load(e, 0.0, 0.0)) < total(|e| e.bound));
        // Types that bill more for their work than the usual job may pass the bound.
        let billed = kind.settings.priority_weight / (usual_work(kind).max(1.0) / 1000.0);
        // Where not every pair can be probed, jobs that bill more come first, and none waits for reports.
        let dear = !many
            || self.asks > 0.5 * ASKS_KEPT
            || kind.settings.priority_weight >= self.traffic.dear.mean_or(0.0);
        let mean = self.work.sum_at(self.now, CALM_OVER) / order.len() as f64;
        let dense = (billed / self.traffic.billed.mean_or(billed).max(1e-9)).sqrt().clamp(1.0, 1.5);
        let now = self.now;
        let past = |engine: &Engine| engine.pace_at(now, pace_life, PACE_PRIOR) >= PACE_BAD;
        let under = |engine: &Engine| {
            let load = self.fill(engine, kind.settings.threads, held.memory);
            let most = engine.bound * self.warmth(engine, now);
            // On a turn at a cold engine its budget says how much: a part or a share would leave most of it unused.
            let turn = || self.share_below_job(engine) && self.slow_start_budget(engine) < f64::INFINITY;
            if engine.whole {
                let fits = load <= most * dense && (blind || !past(engine));
                let fresh = now - engine.reported <= ASK_AFTER.mul_f64(2.0);
                // Its part of what this gateway sent of late: as all walk alike, of what all sent.
                let part =
                    || engine.work.sum_at(now, CALM_OVER) <= REPLICAS * mean * self.warmth(engine, now);
                return fits && (fresh || blind && (turn() || part()));
            }
            load <= most || (engine.outs == 0 && room()) || turn()
        };
        let pulls = self.settings.capabilities.health_checks && self.settings.reports.are_pulled;
        let (mut ask, asks) = (vec![], many || pulls);
        // Where gateways are many, a job waits a little for the engines whose tables are warm: it goes one
        // engine further with each beat, and hot groups have as many engines as their traffic asks for.
        let hot = REPLICAS * order.len() as f64 * self.traffic.share_of(group, 20.0);
        let waited = (now - held.taken).as_millis_f64()
            / ((held.sla_ends - held.taken).as_millis_f64() - held.bare).max(1.0);
        let depth =
            if many && !blind { (2.0 + hot.floor() + PATIENCE * waited) as usize } else { usize::MAX };
        // Where crossing locations costs, near engines come first while the pool is well.
        let costs = !self.tight && self.settings.location_crossing_price > 0.0;
        let zone = self.settings.location;
        // Loads walk the order from its far end, so that readers seldom meet them, and begin anywhere there
        // where other gateways' loads can't be known in time. The walk ends with two engines that nothing
        // speaks against; then those a load holds (to loads also their readers' first), then the last tried.
        let (mut open, mut below, mut near) =
            (<[Vec<usize>; 3]>::default(), <[Vec<usize>; 3]>::default(), vec![]);
        let far = (order.len() as f64 - 2.0 - 2.0 * hot).max(0.0);
        // So do jobs of more than this gateway's part of an engine each: its own walk can't level them.
        let large = blind && held.cost > REPLICAS * mean;
        let first = if kind.settings.locks_tables { (far * draw) as usize } else { 0 };
        let turned =
            if large && !kind.settings.locks_tables { (order.len() as f64 * draw) as usize } else { 0 };
        // A cold engine that is this gateway's turn comes first: no other may send there now.
        let mine = |e: &usize| (1e-9..f64::INFINITY).contains(&self.slow_start_budget(&self.engines[e]));
        let turns: Vec<usize> = self.cold.iter().copied().filter(mine).collect();
        // Jobs out are the work that comes times pace: too many are a jam that other signs show late. What is
        // stuck in known jams holds the rest less, and nothing from a cold engine, whose budget is its own.
        let widest = self.types.iter().fold(1.0, |most: f64, kind| most.max(kind.settings.threads));
        let most = self.concurrency_limit.min(self.at_pace(PACE_GOOD) + widest);
        let well = self.engines.values().filter(|e| !past(e)).map(|engine| engine.threads).sum::<f64>();
        let full = blind && (well >= most || self.threads_out() >= JAMMED * most);
        let walk = (first..order.len()).map(|at| {
            order[if kind.settings.locks_tables { order.len() - 1 - at } else { (at + turned) % order.len() }]
        });
        for e in turns.iter().copied().chain(walk.filter(|e| !full && !turns.contains(e))) {
            let engine = &self.engines[&e];
            let tried = engine.on_trial && engine.trial.is_some();
            if engine.shunned_until.max(engine.full_until) > self.now || tried || !self.may_go_to(id, e) {
                continue;
            }
            let last = held.last == Some(e) || (engine.on_trial && kind.settings.effect == Effect::RunOnce);
            // The memory of a jam is long: such engines come last, and their share of what was sent of late bounds what they get.
            let last = last || blind && past(engine);
            let home = kind.settings.locks_tables && order.first() == Some(&e);
            let behind = home
                || engine.held(group, now)
                    && (kind.settings.waits_for_bulk_loads || kind.settings.locks_tables);
            let tier = if last { 2 } else { usize::from(behind) };
            if open.iter().map(Vec::len).sum::<usize>() >= depth {
                break;
            }
            open[tier].push(e);
            let may_ask = dear && now - engine.probed > ASK_AFTER && self.asks >= 1.0 + ask.len() as f64;
            if asks && now - engine.reported > ASK_AFTER && (engine.probe_out || may_ask) {
                ask.push(e);
                if ask.len() + below[0].len() >= 2 {
                    break;
                }
            } else if under(engine) {
                below[tier].push(e);
                if tier == 0 && costs && Some(engine.listing.location) == zone {
                    near.push(e);
                }
                if tier == 0 && (if costs { near.len() } else { below[0].len() }) == 2 {
                    break;
                }
            }
        }
        if !ask.is_empty() {
            ask.into_iter().for_each(|e| self.asks -= if self.ask(e) { 1.0 } else { 0.0 });
            self.no_room = false;
            return None;
        }
        let no_room = below.iter().all(Vec::is_empty);
        let found = if blind { &below } else { &open };
        let tier = found.iter().position(|found| !found.is_empty()).unwrap_or(0);
        let mut pair = if near.len() == 2 { near } else { std::mem::take(&mut below[tier]) };
        if pair.len() < 2 && !self.tight && !many {
            pair = std::mem::take(&mut open[tier]);
            pair.retain(|e| load(&self.engines[e], 0.0, 0.0) < BOUND_MOST);
            let busy = |e: &Engine| e.threads / (e.cores * self.warmth(e, now));
            pair.sort_by(|a, b| busy(&self.engines[a]).total_cmp(&busy(&self.engines[b])));
        }
        self.no_room = no_room;
        match pair[..] {
            [first, second, ..] => Some(self.weigh([first, second], id)),
            [only] => Some((only, None)),
            _ => None,
        }
    }

    /// The fused test within a pair: the second engine wins if ω·z + (1−ω)·r > 0.
    fn weigh(&mut self, pair: [usize; 2], id: JobId) -> (usize, Option<Choice>) {
        let held = &self.jobs[&id];
        let reservation = held.job.class;
        let x = [1.0, (1.0 + held.cost).ln() / 10.0, (1.0 + held.memory).ln() / 10.0];
        let [l1, l2] = pair.map(|engine| self.latency(engine, reservation));
        let s = (1.0 + l1).ln() - (1.0 + l2).ln();
        let theta = self.residual.draw(SIGMA, &mut self.chance);
        let u: f64 = (0..3).map(|i| x[i] * theta[i]).sum();
        let z = (s + u).tanh();
        let r = self.balance(pair);
        let rate = self.arrivals.update_rate_per_second(self.now, RECENT);
        // λ0: the rate at which this gateway's equal part of the pool would be full with its usual jobs.
        let fair = self.cores * 1000.0 / self.arrivals.mean_or(1.0).max(1.0) / self.gateways;
        let omega = 0.4 + 0.3 * sigmoid(rate / fair.max(1e-3) - RATE_SHIFT);
        let second = omega * z + (1.0 - omega) * r > 0.0;
        (pair[usize::from(second)], Some(Choice { pair, x, s }))
    }

    fn latency(&self, engine: usize, reservation: usize) -> f64 {
        let own = self.engines.get(&engine).and_then(|engine| engine.latency[reservation]);
        own.or(self.types[reservation].latency).unwrap_or(0.0)
    }

    /// r = tanh(d), d the Mahalanobis length of the first engine's deviation from its target share.
    fn balance(&mut self, pair: [usize; 2]) -> f64 {
        let now = self.now;
        for e in pair {
            self.engines.entry(e).and_modify(|engine| engine.work.decay_to(now, CALM_OVER));
        }
        let share = |[a, b]: [f64; 2]| if a + b > 1e-9 { a / (a + b) } else { 0.5 };
        let engines = pair.map(|e| &self.engines[&e]);
        let fresh = |e: &Engine| self.now - e.reported < REPORT_FRESH;
        let of = |told: fn(&Engine) -> Option<f64>, own: fn(&Engine) -> f64| match engines
            .map(|e| told(e).filter(|_| fresh(e)))
        {
            [Some(a), Some(b)] => share([a, b]),
            _ => share(engines.map(own)),
        };
        // Where own jobs are few, those out now tell less than those sent of late.
        let processor = if self.many() {
            of(|e| e.processor, |e| e.work.sum() / e.cores)
        } else {
            of(|e| e.processor, |e| e.threads / e.cores)
        };
        let memory = of(|e| e.memory, |e| e.memory_out / e.memory_mb.max(1.0));
        let e = [processor - self.gamma[0], memory - self.gamma[1]];
        self.deviations.push(e, DEVIATIONS);
        // A little on the diagonal keeps the covariance regular when deviations hardly vary.
        (e[0].signum() * self.deviations.squared_length(e, 1e-3).max(0.0).sqrt()).tanh()
    }

    /// γ steps by c/√t against the mean error since its last step.
    fn step_gamma(&mut self) {
        if self.now - self.gamma_at < GAMMA_EVERY {
            return;
        }
        self.gamma_at = self.now;
        self.gamma_steps += 1.0;
        for (gamma, error) in self.gamma.iter_mut().zip(self.deviations.mean()) {
            *gamma = (*gamma - GAMMA_STEP / self.gamma_steps.sqrt() * error).clamp(0.0, 1.0);
        }
    }

    fn read_report(&mut self, id: usize, report: &Option<LoadReport>) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(&id) else { return };
        let Some(report) = report else { return };
        let jobs = report.jobs_in_flight.map(|jobs| jobs.max(0.0));
        let processor = report.processor_utilization.map(|utilization| utilization.max(0.0));
        let memory = report.memory_utilization.map(|utilization| utilization.max(0.0));
        engine.processor = processor.or(jobs.map(|jobs| jobs / engine.cores)).or(engine.processor);
        (engine.reported, engine.since) = (now, 0.0);
        (engine.jobs, engine.memory) = (jobs.or(engine.jobs), memory.or(engine.memory));
    }

    fn learn(&mut self, id: JobId, out: &Out, outcome: &DispatchResult) {
        self.read_report(out.engine, &outcome.load_report);
        let now = self.now;
        let Some(held) = self.jobs.get_mut(&id) else { return };
        let (reservation, bare) = (held.job.class, held.bare);
        let kind = &mut self.types[reservation];
        let Some(engine) = self.engines.get_mut(&out.engine) else { return };
        engine.returns(id, &held.job, kind, out.memory);
        match outcome.status {
            DispatchStatus::Completed => {
                (engine.heard, engine.on_trial, engine.strikes) = (now, false, 0);
                if let Some(ActualCost { work, .. }) = outcome.actual_cost {
                    kind.true_cost.add(now, RECENT, work.as_millis_f64(), 1.0);
                    kind.calm[0] = Some(1.0);
                    held.bare = work.as_millis_f64() / kind.settings.threads;
                }
                let took = outcome.elapsed.as_millis_f64();
                if out.waited {
                    engine.holds.remove(&held.job.table_group);
                }
                if !out.spilled {
                    kind.grant = (kind.grant * GRANT_DOWN).max(1.0);
                }
                let usual = *kind.latency.get_or_insert(took);
                update_ewma(&mut kind.latency, usual, ALPHA, took);
                update_ewma(&mut engine.latency[reservation], usual, ALPHA, took);
                if let Some(Choice { pair, x, s }) = out.choice {
                    let seen = |e| if e == out.engine { took } else { self.latency(e, reservation) };
                    let delta = (1.0 + seen(pair[0])).ln() - (1.0 + seen(pair[1])).ln();
                    self.residual.learn(x, delta - s);
                }
                if !out.waited {
                    self.see_pace(id, out.engine, took, 1.0, true, out.spilled);
                }
            }
            DispatchStatus::Unreachable | DispatchStatus::ConnectionLost if !outcome.engine_reachable => {
                // One broken connection is no reason to lose an engine; two in a row are.
                engine.strikes += 1;
                if engine.strikes > 1 || engine.on_trial {
                    self.shun(out.engine);
                }
            }
            DispatchStatus::Overloaded => {
                let full = if engine.whole { engine.bound } else { load(engine, 0.0, 0.0) };
                engine.full_until = now + BEAT;
                engine.bound = engine.bound.min(full * 0.8).max(BOUND_LEAST * engine.share);
                self.pace.add(now, PACE_OVER, PACE_CLIP, bare);
            }
            _ => {}
        }
    }

    /// Notes a job's time against its bare work, and what is usual for its type in calm: told costs are wrong
    /// by type, as the lowest pace of late shows. Answers that bill the work make it exact.
    fn see_pace(&mut self, id: JobId, engine: usize, took: f64, weight: f64, of_pool: bool, spilled: bool) {
        let (blind, life, way) = (self.blind(), self.pace_life(), usize::from(spilled));
        let held = &self.jobs[&id];
        let kind = &mut self.types[held.job.class];
        let bare = held.bare.max(1.0);
        if weight >= 1.0 {
            kind.pace[way].add(self.now, CALM_OVER, (took / bare).min(PACE_CLIP), bare);
        }
        // A gateway that begins in a jam believes told costs: no job comes back to show their calm pace.
        let Some(calm) = kind.calm[way].or((blind && weight < 1.0).then_some(1.0)) else { return };
        let pace = took / bare / calm;
        // A small job that is stuck for seconds says as much of its engine as a large one does.
        let most = PACE_CLIP * (PACE_PRIOR / bare).max(1.0);
        let Some(engine) = self.engines.get_mut(&engine) else { return };
        // What is known of an engine's jam is that engine's: the pool is what jobs meet elsewhere.
        if of_pool && !(blind && engine.pace_at(self.now, life, PACE_PRIOR) > PACE_BAD) {
            self.pace.add(self.now, PACE_OVER, pace.min(PACE_CLIP), bare * weight);
        }
        engine.pace.add(self.now, life, pace.min(most), bare * weight);
    }

    /// Leaves an engine alone, twice as long if that was not long ago, then on trial, one job at a time until
    /// it answers or sends a note. Meets refused and reset connections, flapping and silence.
    fn shun(&mut self, id: usize) {
        let Some(engine) = self.engines.get_mut(&id).filter(|e| e.shunned_until <= self.now) else { return };
        let again = self.now - engine.shunned_until < engine.backoff.mul_f64(4.0);
        engine.backoff =
            if again { TimeDelta((engine.backoff.0 * 2).min(BEAT.0 * 32)) } else { BEAT.mul_f64(2.0) };
        engine.shunned_until = self.now + engine.backoff;
        engine.on_trial = true;
        engine.trial = None;
    }

    /// What follows a dispatch that did not answer: another one where that is allowed and of use.
    fn after_dispatch(&mut self, id: JobId, verdict: DispatchStatus) {
        let Some(held) = self.jobs.get(&id).filter(|held| !held.over) else { return };
        let useful = self.again(held) && self.now + TimeDelta::from_millis_f64(held.bare) < held.sla_ends;
        if verdict != DispatchStatus::Expired && useful { self.place(id) } else { self.give_up(id) }
    }

    /// A recall of a restartable job that is stuck, where a fresh dispatch would still meet its SLA time and
    /// this one would not. Meets bad plans, slow or silent engines and tables held by a load.
    fn reconsider(&mut self, id: JobId) {
        let held = &self.jobs[&id];
        let kind = &self.types[held.job.class];
        let Some(out) = held.out.as_ref().filter(|out| !held.over && !out.recalled) else { return };
        if kind.settings.effect != Effect::Restartable || !self.again(held) || self.running.len() < 2 {
            return;
        }
        let age = (self.now - out.sent).as_millis_f64();
        let fresh = kind.latency.unwrap_or(0.0) * held.cost / usual_work(kind).max(1.0);
        let notes = 2.0 * self.settings.progress_interval.unwrap_or_default().as_millis_f64();
        let silent = out.share == 0.0 && !out.waited && age < notes;
        let remaining = if out.share > 0.0 && !out.waited { age / out.share - age } else { f64::INFINITY };
        let time = (held.sla_ends - self.now).as_millis_f64();
        // Behind a load there is no use in going where other loads hold the same tables.
        let free = |e: &usize| *e != out.engine && !self.engines[e].held(held.job.table_group, self.now);
        let elsewhere = !out.waited || self.running.iter().any(free);
        if !silent && elsewhere && fresh < time && remaining > time.max(2.0 * fresh) {
            self.recall(id);
        }
    }

    /// A late job past an engine's knee that earns less for what is left than a usual one: it keeps the jam.
    fn is_hopeless(&self, held: &Held) -> bool {
        let kind = &self.types[held.job.class];
        let Some(out) = held.out.as_ref().filter(|out| !held.over && !out.recalled) else { return false };
        let late = kind.settings.effect == Effect::Restartable && self.now > held.sla_ends;
        let Some(engine) = self.engines.get(&out.engine).filter(|_| late) else { return false };
        let left = held.cost * (1.0 - out.share).max(0.05) / 1000.0;
        self.settings.capabilities.cancellation
            && engine.pace_at(self.now, self.pace_life(), PACE_PRIOR) > PACE_BAD
            && kind.settings.late_value_ratio * kind.settings.priority_weight / left.max(1e-3)
                < self.traffic.billed.mean_or(0.0)
    }

    /// Whether a job whose turn it is leaves it to those behind it: one after the other they can't all meet
    /// their SLA time, and it is one of those without which most of them do (Moore's algorithm).
    fn leaves_turn(&self, id: JobId) -> bool {
        let key = self.jobs[&id].job.key.filter(|_| self.jobs[&id].copies == 0 && self.may_go(id));
        let Some(turns) = key.and_then(|key| self.turns.get(&key)).filter(|turns| turns.len() > 1) else {
            return false;
        };
        let (mut ends, mut kept) = (self.now, Vec::new());
        for other in turns {
            let held = &self.jobs[other];
            let kind = &self.types[held.job.class];
            let usual = usual_work(kind) / kind.settings.threads;
            let takes = held.bare * kind.latency.map_or(1.0, |latency| latency / usual.max(1.0)).max(1.0);
            kept.push((
                takes / kind.settings.priority_weight.max(1e-9),
                *other,
                TimeDelta::from_millis_f64(takes),
            ));
            ends = ends + kept[kept.len() - 1].2;
            let dearest = (0..kept.len()).max_by(|a, b| kept[*a].0.total_cmp(&kept[*b].0));
            if let Some(dearest) = dearest.filter(|_| ends > held.sla_ends) {
                ends = ends - kept.swap_remove(dearest).2;
            }
        }
        kept.iter().all(|(_, other, _)| *other != id)
    }

    /// Held jobs go in the order of their billed value for their work; the late ones are given up.
    fn place_waiting(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        let waits = |id: &JobId| self.jobs.get(id).filter(|held| held.waits && !held.over);
        let waiting = waiting.into_iter().filter_map(|id| Some((id, waits(&id)?.value)));
        let mut waiting: Vec<(JobId, f64)> = waiting.collect();
        waiting.sort_by(|a, b| b.1.total_cmp(&a.1));
        // Where a job found no room anywhere, none of its type that needs as much will: spares long lines.
        let mut no_room = vec![f64::INFINITY; self.types.len()];
        for (id, _) in waiting {
            let held = &self.jobs[&id];
            let (kind, memory) = (held.job.class, held.memory);
            let alike = held.copies == 0 && !self.types[kind].settings.ordered_by_key;
            // Too late, or past the window in which what may have run may be repeated.
            let late = self.now + TimeDelta::from_millis_f64(held.bare) > held.sla_ends;
            if late || !self.again(held) || self.leaves_turn(id) {
                self.give_up(id);
            } else if alike && memory >= no_room[kind] {
                self.waiting.push(id);
            } else {
                self.jobs.entry(id).and_modify(|held| held.waits = false);
                self.place(id);
                if alike && self.no_room && self.waiting.last() == Some(&id) {
                    no_room[kind] = memory;
                }
            }
        }
    }

    fn beat(&mut self) {
        self.after(BEAT, Timer::Maintenance);
        self.step_gamma();
        self.step_bounds();
        self.watch_outs();
        self.probe();
        self.let_go();
        self.place_waiting();
    }

    /// Forgets what may be ever new: engines gone that no open job concerns, groups and keys not met of late.
    fn let_go(&mut self) {
        let now = self.now;
        let met: Vec<usize> = self.jobs.values().flat_map(Held::engines).collect();
        self.engines.retain(|id, engine| {
            engine.holds.retain(|_, until| *until > now);
            let keep = engine.listing.lifecycle != LifecycleState::Gone
                || now - engine.heard < FORGET
                || met.contains(id);
            self.decided.forgotten_engines.extend((!keep).then_some(EngineId(*id as u32)));
            keep
        });
        self.cold.retain(|id| self.engines.contains_key(id));
        self.traffic.groups.retain(|_, met| now - met.updated_at() < FORGET);
        self.orders.retain(|group, _| self.traffic.groups.contains_key(group));
        self.turns.retain(|_, turns| !turns.is_empty());
        self.rests.retain(|_, rest| *rest > now);
    }

    /// How much it remembers, for whoever watches that this does not grow.
    pub fn retained_entries(&self) -> usize {
        let groups = self.orders.len() + self.traffic.groups.len();
        self.engines.len() + self.jobs.len() + groups + self.turns.len() + self.rests.len()
    }

    /// An engine from which nothing is heard though notes are due is left alone.
    fn watch_outs(&mut self) {
        let every = self.settings.progress_interval;
        // A job out for long tells of its engine's pace before it is back: from a jam none comes back.
        let overdue = |(id, held): (&JobId, &Held)| {
            let out = held.out.as_ref().filter(|out| !out.waited && out.share <= LITTLE && !held.over)?;
            let took = (self.now - out.sent).as_millis_f64();
            // Of the pool it tells only where the engine speaks: silence is that engine's or the way's.
            let speaks = every.is_none() || out.noted > out.sent;
            (took > PACE_BAD * held.bare).then_some((*id, out.engine, took, speaks, out.spilled))
        };
        for (id, engine, took, speaks, spilled) in self.jobs.iter().filter_map(overdue).collect::<Vec<_>>() {
            self.see_pace(id, engine, took, 0.25, speaks, spilled);
        }
        let hopeless = |(id, held): (&JobId, &Held)| self.is_hopeless(held).then_some(*id);
        let hopeless: Vec<JobId> = self.jobs.iter().filter_map(hopeless).collect();
        hopeless.into_iter().for_each(|id| self.give_up(id));
        let due = every.map_or(TimeDelta(i64::MAX), |every| every.mul_f64(2.0) + BEAT.mul_f64(2.0));
        let heard = |e: usize| self.engines.get(&e).map_or(self.now, |engine| engine.heard);
        let quiet = |out: &&Out| self.now - out.noted > due && self.now - heard(out.engine) > due;
        let outs = self.jobs.iter().filter(|(_, held)| !held.over);
        let outs = outs.filter_map(|(id, held)| Some((*id, held.out.as_ref().filter(quiet)?.engine)));
        for (id, engine) in outs.collect::<Vec<(JobId, usize)>>() {
            self.shun(engine);
            self.reconsider(id);
        }
    }

    /// An engine's bound grows while it is used and its jobs keep their pace, and shrinks when they do not.
    /// Meets overload, slow machines and anything else that takes an engine past its knee.
    fn step_bounds(&mut self) {
        let (now, life, blind) = (self.now, self.pace_life(), self.blind());
        let pool = self.pace.update_mean(now, PACE_OVER, 1.0, PACE_PRIOR);
        // Likewise for what this gateway has out in all, for a jam of the whole pool where loads are unknown.
        if pool > PACE_BAD {
            let equal = BOUND_LEAST * THREADS_A_CORE * self.cores / self.gateways;
            let part = self.concurrency_limit.min(self.at_pace(PACE_GOOD)) * 0.93;
            self.concurrency_limit = part.max(equal).max(self.at_pace(PACE_LEAST));
        } else if self.threads_out() > 0.7 * self.concurrency_limit {
            self.concurrency_limit *= 1.05;
        }
        // Jobs that wait for their key's turn or for the budget are no line for room.
        let line = |id: &JobId| self.jobs.contains_key(id) && self.may_go(*id);
        self.tight = pool > PACE_TIGHT || (self.tight && self.waiting.iter().any(line));
        for at in 0..2 * self.types.len() {
            let (kind, way) = (&mut self.types[at / 2], at % 2);
            kind.pace[way].decay_to(now, CALM_OVER);
            let known = kind.pace[way].weight() > 5.0 * usual_work(kind) / kind.settings.threads;
            if known && (way > 0 || kind.true_cost.weight() == 0.0) {
                let pace = kind.pace[way].mean_or(1.0);
                let follow = |calm: f64| if pace < calm { calm + 0.05 * (pace - calm) } else { calm * 1.002 };
                kind.calm[way] = Some(kind.calm[way].map_or(pace, follow).clamp(0.3, CALM_MOST[way]));
            }
        }
        let fills: Vec<f64> = self.engines.values().map(|engine| self.fill(engine, 0.0, 0.0)).collect();
        for (engine, fill) in self.engines.values_mut().zip(fills) {
            // Where reports stand still past full, an engine little seen is presumed to keep the pool's pace.
            let presumed = if engine.whole && engine.jobs.is_none() { pool } else { 1.0 };
            let pace = engine.pace.update_mean(now, life, presumed, PACE_PRIOR);
            let least = BOUND_LEAST * engine.share * if blind { 1.0 } else { (pool / pace).min(1.0) };
            if pace > PACE_BAD && fill > 0.5 * engine.bound {
                engine.bound = (engine.bound * 0.93).max(least);
            } else if pace < PACE_GOOD && fill > 0.7 * engine.bound {
                engine.bound = (engine.bound * 1.05).min(BOUND_MOST);
            }
        }
    }

    /// Probes the engines on trial.
    fn probe(&mut self) {
        for e in self.running.clone() {
            let engine = &self.engines[&e];
            let due = engine.on_trial && engine.outs == 0 && self.now - engine.probed >= ASK_AFTER;
            if due && self.settings.capabilities.health_checks {
                self.ask(e);
            }
        }
    }

    /// Sends a probe if none is out; says whether it did.
    fn ask(&mut self, id: usize) -> bool {
        let engine = self.engines.get_mut(&id).filter(|engine| !engine.probe_out);
        engine.is_some_and(|engine| {
            (engine.probe_out, engine.probed) = (true, self.now);
            self.decided.health_checks.push(EngineId(id as u32));
            true
        })
    }
}
