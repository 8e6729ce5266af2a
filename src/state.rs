//! What the decision module remembers: plain state and arithmetic. Nothing here decides, and every tuned
//! value is handed in by `logic.rs`.

use crate::estimators::{DecayingAverage, SlidingWindow};
use crate::interface::*;
use crate::settings::*;
use crate::time::*;
use std::collections::BTreeMap;

/// The jobs taken of late. Threads, memory and billed value are weighed by how long the jobs run, so that
/// they are those of a job that is out somewhere.
#[derive(Default)]
pub struct Traffic {
    pub threads: DecayingAverage,
    pub memory: DecayingAverage,
    pub billed: DecayingAverage,
    /// Billed value of a job, whatever its work.
    pub dear: DecayingAverage,
    pub groups: BTreeMap<u64, DecayingAverage>,
    jobs: DecayingAverage,
}

impl Traffic {
    pub fn add(&mut self, now: Timestamp, life: TimeDelta, held: &Held, kind: &JobClass) {
        self.threads.add(now, life, kind.settings.threads, held.bare);
        self.memory.add(now, life, held.memory * kind.grant, held.bare);
        self.billed.add(now, life, kind.settings.priority_weight / (held.cost.max(1.0) / 1000.0), held.cost);
        self.dear.add(now, life, kind.settings.priority_weight, 1.0);
        self.groups.entry(held.job.table_group).or_default().add(now, life, 0.0, 1.0);
        self.jobs.add(now, life, 0.0, 1.0);
    }
    /// A table group's share of the other jobs, drawn towards none as if `more` had been seen.
    pub fn share_of(&self, group: u64, more: f64) -> f64 {
        self.groups.get(&group).map_or(0.0, |own| (own.weight() - 1.0).max(0.0)) / (self.jobs.weight() + more)
    }
}

/// A reservation type: what the settings say of it and what was learnt of its jobs.
#[derive(Default)]
pub struct JobClass {
    pub settings: ClassSettings,
    pub told_cost: DecayingAverage,
    pub true_cost: DecayingAverage,
    pub memory: DecayingAverage,
    pub latency: Option<f64>,
    /// Time over bare work of jobs that did not spill and of those that did, and the same in calm.
    pub pace: [DecayingAverage; 2],
    pub calm: [Option<f64>; 2],
    /// Memory granted over memory told.
    pub grant: f64,
    pub spills: f64,
}

impl JobClass {
    /// Adds what a job is told to cost and need, each as long as it is possible.
    pub fn tell(&mut self, now: Timestamp, life: TimeDelta, job: &Job, most: f64, largest: f64) {
        if let Some(told) = job.cost.map(TimeDelta::as_millis_f64).filter(|told| *told < most) {
            self.told_cost.add(now, life, told, 1.0);
        }
        if let Some(memory) = job.memory_mb.filter(|memory| *memory <= largest) {
            self.memory.add(now, life, memory, 1.0);
        }
    }
    /// How much longer jobs take in calm because some of them spill, as often as of late.
    pub fn spill_factor(&self) -> f64 {
        let ([dry, spilled], [calm, slow]) = (self.pace.map(|pace| pace.weight()), self.calm);
        let slow = slow.map_or(1.0, |slow| slow / calm.unwrap_or(1.0));
        if spilled > 0.0 { (dry + spilled * slow) / (dry + spilled) } else { 1.0 }
    }
}

#[derive(Default)]
pub struct Engine {
    pub listing: Endpoint,
    pub hash: u64,
    pub cores: f64,
    pub memory_mb: f64,
    /// The most that one job gets of it.
    pub most_mb: f64,
    pub latency: Vec<Option<f64>>,
    pub processor: Option<f64>,
    pub reported: Timestamp,
    pub memory: Option<f64>,
    /// Jobs in hand there, as told; and own threads sent since.
    pub jobs: Option<f64>,
    pub since: f64,
    pub threads: f64,
    pub memory_out: f64,
    pub outs: u32,
    /// Own load (see `load`) up to which the order takes it; follows its pace.
    pub bound: f64,
    /// This gateway's equal share of the bound, or 1 where that is too small to have a meaning.
    pub share: f64,
    pub whole: bool,
    pub full_until: Timestamp,
    /// Time that jobs took there over the time that their work alone would take.
    pub pace: DecayingAverage,
    /// Left alone until then, for `backoff`; after that on trial, one job at a time, until it answers.
    pub shunned_until: Timestamp,
    pub backoff: TimeDelta,
    pub on_trial: bool,
    /// The job that is out on trial.
    pub trial: Option<JobId>,
    /// Table groups of own loads that are out.
    pub loads: Vec<u64>,
    /// Refused and broken connections since the last answer.
    pub strikes: u32,
    pub heard: Timestamp,
    pub probe_out: bool,
    pub probed: Timestamp,
    /// How long the last probe took (ms), if the engine said that it was not busy.
    pub calm_probe: Option<f64>,
    /// Usual work sent of late, for the cold budget; and work sent, fading slowly.
    pub sent: SlidingWindow,
    pub work: DecayingAverage,
    /// Table groups known to be held by a load, and until when that is believed.
    pub holds: BTreeMap<u64, Timestamp>,
}

impl Engine {
    /// Whether a load is known to hold these tables here.
    pub fn held(&self, group: u64, now: Timestamp) -> bool {
        self.loads.contains(&group) || self.holds.get(&group).is_some_and(|until| *until > now)
    }
    /// Its pace, drawn towards calm as if that had been seen with `weight`.
    pub fn pace_at(&self, now: Timestamp, life: TimeDelta, weight: f64) -> f64 {
        let mut pace = self.pace;
        pace.update_mean(now, life, 1.0, weight)
    }
    /// Counts a job that goes out to it, and one that comes back.
    pub fn leaves(&mut self, id: JobId, job: &Job, kind: &JobClass, memory: f64) {
        self.threads += kind.settings.threads;
        self.since += kind.settings.threads;
        self.memory_out += memory;
        self.outs += 1;
        self.loads.extend(kind.settings.locks_tables.then_some(job.table_group));
        self.trial = self.on_trial.then_some(id);
    }
    pub fn returns(&mut self, id: JobId, job: &Job, kind: &JobClass, memory: f64) {
        self.threads = (self.threads - kind.settings.threads).max(0.0);
        self.memory_out = (self.memory_out - memory).max(0.0);
        self.outs = self.outs.saturating_sub(1);
        self.trial = self.trial.filter(|job| *job != id);
        if let Some(at) =
            self.loads.iter().position(|group| kind.settings.locks_tables && *group == job.table_group)
        {
            self.loads.swap_remove(at);
        }
    }
    /// An engine as the list and the settings describe it; what is out at it is kept from `before`.
    pub fn read(settings: &ControllerSettings, listing: Endpoint, before: Engine, types: usize) -> Engine {
        let machine_type = settings.machine_types.get(&listing.machine).copied().unwrap_or_default();
        let memory_mb = machine_type.memory_mb;
        let Engine { threads, memory_out, outs, sent, work, loads, .. } = before;
        Engine {
            hash: listing.name.bytes().fold(0xcbf29ce484222325, |hash: u64, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x100000001b3)
            }),
            cores: machine_type.cores.unwrap_or(listing.capacity_hint).max(0.1),
            memory_mb: memory_mb.unwrap_or(f64::INFINITY),
            most_mb: memory_mb.unwrap_or(0.0) * settings.max_memory_fraction_per_job,
            latency: vec![None; types],
            threads,
            memory_out,
            outs,
            sent,
            work,
            loads,
            listing,
            ..Engine::default()
        }
    }
}

/// A dispatch that is out.
pub struct Out {
    pub engine: usize,
    pub copy: u32,
    pub sent: Timestamp,
    pub choice: Option<Choice>,
    pub share: f64,
    pub noted: Timestamp,
    pub recalled: bool,
    pub waited: bool,
    pub spilled: bool,
    pub memory: f64,
}

impl Out {
    pub fn new(engine: usize, copy: u32, sent: Timestamp, choice: Option<Choice>, memory: f64) -> Out {
        let (share, noted) = (0.0, sent);
        let (recalled, waited, spilled) = (false, false, false);
        Out { engine, copy, sent, choice, share, noted, recalled, waited, spilled, memory }
    }
}

impl Out {
    /// Keeps what a note says.
    pub fn hears(&mut self, now: Timestamp, note: ProgressUpdate) {
        self.noted = now;
        self.waited |= note == ProgressUpdate::WaitingForBulkLoad;
        self.spilled |= matches!(note, ProgressUpdate::SpillingToDisk(_));
        if let ProgressUpdate::CompletedFraction(share) = note {
            self.share = share;
        }
    }
}

/// What the mechanism knew when it chose within a pair.
#[derive(Clone, Copy)]
pub struct Choice {
    pub pair: [usize; 2],
    pub x: [f64; 3],
    pub s: f64,
}

#[derive(Default)]
pub struct Held {
    pub job: Job,
    pub taken: Timestamp,
    pub ends: Timestamp,
    pub sla_ends: Timestamp,
    /// Work in milliseconds on one thread, and the same spread over its threads.
    pub cost: f64,
    pub bare: f64,
    pub value: f64,
    pub memory: f64,
    pub copies: u32,
    pub out: Option<Out>,
    /// The first dispatch that may have run: its engine and when it was sent.
    pub may_have_run: Option<(usize, Timestamp)>,
    pub unsure_at: Option<Timestamp>,
    pub last: Option<usize>,
    pub over: bool,
    /// It is in the line at the gateway.
    pub waits: bool,
}

impl Held {
    /// The engines that its dispatches concern.
    pub fn engines(&self) -> impl Iterator<Item = usize> {
        self.out.iter().map(|out| out.engine).chain(self.may_have_run.map(|(engine, _)| engine))
    }
}
