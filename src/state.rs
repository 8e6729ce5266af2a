//! What the decision module remembers: plain state and arithmetic. Nothing here decides, and every tuned
//! value is handed in by `logic.rs`.

use crate::controller::AdmissionController;
use crate::interface::*;
use crate::settings::*;
use crate::time::*;
use std::collections::{BTreeMap, VecDeque};

/// What a step of a job leaves behind: it is handed the step's result and says what comes next.
pub type Next = Box<dyn FnOnce(&mut AdmissionController, JobId, DispatchStatus)>;

/// A mean and a rate whose past fades; brought up to date when touched.
#[derive(Clone, Copy, Default)]
pub struct Fading {
    pub sum: f64,
    pub weight: f64,
    pub at: Timestamp,
}

impl Fading {
    pub fn touch(&mut self, now: Timestamp, life: TimeDelta) {
        let keep = (-((now - self.at).as_millis_f64() / life.as_millis_f64())).exp();
        (self.sum, self.weight, self.at) = (self.sum * keep, self.weight * keep, now);
    }
    pub fn add(&mut self, now: Timestamp, life: TimeDelta, x: f64, weight: f64) {
        self.touch(now, life);
        self.sum += x * weight;
        self.weight += weight;
    }
    /// The sum as it has faded by now.
    pub fn read(&self, now: Timestamp, life: TimeDelta) -> f64 {
        let mut faded = *self;
        faded.touch(now, life);
        faded.sum
    }
    /// The mean, drawn towards `prior` as if that had been seen with `weight`.
    pub fn mean_with(&self, prior: f64, weight: f64) -> f64 {
        (self.sum + prior * weight) / (self.weight + weight)
    }
    pub fn mean_now(&mut self, now: Timestamp, life: TimeDelta, prior: f64, weight: f64) -> f64 {
        self.touch(now, life);
        self.mean_with(prior, weight)
    }
    pub fn mean_or(&self, absent: f64) -> f64 {
        if self.weight > 1e-9 { self.sum / self.weight } else { absent }
    }
    pub fn per_second(&mut self, now: Timestamp, life: TimeDelta) -> f64 {
        self.touch(now, life);
        self.weight / (life.as_millis_f64() / 1000.0)
    }
}

/// A mean of how much something varies from one time to the next.
#[derive(Clone, Copy, Default)]
pub struct Scatter {
    pub mean: f64,
    /// Differences seen.
    pub count: u32,
}

impl Scatter {
    /// Adds a difference to the mean of about the last `over` of them.
    pub fn add(&mut self, difference: f64, over: f64) {
        self.count = self.count.saturating_add(1);
        self.mean += (difference - self.mean) / f64::from(self.count).min(over);
    }
}

/// What happened within some span: kept singly, for the rules that count in a sliding window.
#[derive(Default)]
pub struct Recent(VecDeque<(Timestamp, f64)>);

impl Recent {
    /// Adds `x` and forgets what is older than `life`.
    pub fn add(&mut self, now: Timestamp, life: TimeDelta, x: f64) {
        while self.0.front().is_some_and(|(when, _)| *when <= now - life) {
            self.0.pop_front();
        }
        self.0.push_back((now, x));
    }
    pub fn since(&self, then: Timestamp) -> f64 {
        self.0.iter().filter(|(when, _)| *when > then).map(|(_, x)| x).sum()
    }
}

/// The jobs taken of late. Threads, memory and billed value are weighed by how long the jobs run, so that
/// they are those of a job that is out somewhere.
#[derive(Default)]
pub struct Traffic {
    pub threads: Fading,
    pub memory: Fading,
    pub billed: Fading,
    /// Billed value of a job, whatever its work.
    pub dear: Fading,
    pub groups: BTreeMap<u64, Fading>,
    jobs: Fading,
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
        self.groups.get(&group).map_or(0.0, |own| (own.weight - 1.0).max(0.0)) / (self.jobs.weight + more)
    }
}

/// A permuted congruential generator (PCG-XSH-RR).
#[derive(Default)]
pub struct Chance(pub u64);

impl Chance {
    pub fn next(&mut self) -> f64 {
        let old = self.0;
        self.0 = old.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        let mixed = (((old >> 18) ^ old) >> 27) as u32;
        f64::from(mixed.rotate_right((old >> 59) as u32)) / 4294967296.0
    }
    pub fn normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.next()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.next()).cos()
    }
}

/// The linear posterior behind the Thompson draw: V = λI + Σ x·xᵀ and b = Σ x·(Δ − s).
#[derive(Default)]
pub struct Residual {
    pub v: [[f64; 3]; 3],
    pub b: [f64; 3],
}

impl Residual {
    /// Nothing learnt yet: V = λI.
    pub fn new(lambda: f64) -> Residual {
        let row = |i| [0, 1, 2].map(|j| if i == j { lambda } else { 0.0 });
        Residual { v: [0, 1, 2].map(row), b: [0.0; 3] }
    }
    pub fn learn(&mut self, x: [f64; 3], target: f64) {
        for i in 0..3 {
            (0..3).for_each(|j| self.v[i][j] += x[i] * x[j]);
            self.b[i] += x[i] * target;
        }
    }
    /// θ̃ ~ N(V⁻¹b, σ²V⁻¹) by way of the Cholesky factor V = L·Lᵀ: θ̃ = L⁻ᵀ(L⁻¹b + σε).
    pub fn draw(&self, sigma: f64, chance: &mut Chance) -> [f64; 3] {
        let mut l = [[0.0; 3]; 3];
        let mut y = [0.0; 3];
        for i in 0..3 {
            for j in 0..=i {
                let rest = self.v[i][j] - (0..j).map(|k| l[i][k] * l[j][k]).sum::<f64>();
                l[i][j] = if i == j { rest.max(1e-12).sqrt() } else { rest / l[j][j] };
            }
            y[i] = (self.b[i] - (0..i).map(|k| l[i][k] * y[k]).sum::<f64>()) / l[i][i];
        }
        let mut theta = y.map(|mean| mean + sigma * chance.normal());
        for i in (0..3).rev() {
            theta[i] = (theta[i] - (i + 1..3).map(|k| l[k][i] * theta[k]).sum::<f64>()) / l[i][i];
        }
        theta
    }
}

/// A reservation type: what the settings say of it and what was learnt of its jobs.
#[derive(Default)]
pub struct JobClass {
    pub settings: ClassSettings,
    pub told_cost: Fading,
    pub true_cost: Fading,
    pub memory: Fading,
    pub latency: Option<f64>,
    /// Time over bare work of jobs that did not spill and of those that did, and the same in calm.
    pub pace: [Fading; 2],
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
        let ([dry, spilled], [calm, slow]) = (self.pace.map(|pace| pace.weight), self.calm);
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
    pub pace: Fading,
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
    pub sent: Recent,
    pub work: Fading,
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
        pace.mean_now(now, life, 1.0, weight)
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

/// The last deviations of the balance score, with running sums of them and of their products.
#[derive(Default)]
pub struct Deviations {
    last: VecDeque<[f64; 2]>,
    sums: [f64; 5],
}

impl Deviations {
    pub fn push(&mut self, e: [f64; 2], most: usize) {
        self.add(e, 1.0);
        self.last.push_back(e);
        if self.last.len() > most
            && let Some(old) = self.last.pop_front()
        {
            self.add(old, -1.0);
        }
    }
    fn add(&mut self, [x, y]: [f64; 2], sign: f64) {
        for (sum, term) in self.sums.iter_mut().zip([x, y, x * x, x * y, y * y]) {
            *sum += sign * term;
        }
    }
    fn means(&self) -> [f64; 5] {
        self.sums.map(|sum| sum / self.last.len().max(1) as f64)
    }
    pub fn mean(&self) -> [f64; 2] {
        let [x, y, ..] = self.means();
        [x, y]
    }
    /// eᵀΣ⁻¹e, Σ the covariance with `ridge` on its diagonal.
    pub fn squared_length(&self, e: [f64; 2], ridge: f64) -> f64 {
        let [x, y, xx, xy, yy] = self.means();
        let (a, b, d) = (xx - x * x + ridge, xy - x * y, yy - y * y + ridge);
        (d * e[0] * e[0] - 2.0 * b * e[0] * e[1] + a * e[1] * e[1]) / (a * d - b * b)
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
    pub next: Next,
}

impl Out {
    pub fn new(
        engine: usize,
        copy: u32,
        sent: Timestamp,
        choice: Option<Choice>,
        memory: f64,
        next: Next,
    ) -> Out {
        let (share, noted) = (0.0, sent);
        let (recalled, waited, spilled) = (false, false, false);
        Out { engine, copy, sent, choice, share, noted, recalled, waited, spilled, memory, next }
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

/// Moves an average by part of the way from where it is, or from `absent`, to `x`.
pub fn step(average: &mut Option<f64>, absent: f64, part: f64, x: f64) {
    let before = average.unwrap_or(absent);
    *average = Some(before + part * (x - before));
}

pub fn sigmoid(x: f64) -> f64 {
    1.0 / (1.0 + (-x).exp())
}

pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58476d1ce4e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d049bb133111eb);
    x ^ (x >> 31)
}
