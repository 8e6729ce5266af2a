//! The schedule of a play: the deployment, the settings and the faults with their times. It is determined by the seed
//! before anything starts, so that a play can be repeated and its schedule can be printed with a violation.

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value as Json, json};
use std::time::Duration;

/// When the clients' traffic starts, counted from the start of the play.
pub const TRAFFIC_START: Duration = Duration::from_millis(1500);
/// Maximum delay between the end of the traffic and the start of a fault (s). All gateways are being stopped then.
const MAX_FAULT_START_AFTER_TRAFFIC_S: f64 = 0.4;
/// A fifth of the plays take this many times as long, so that some connections stay idle until the gateway closes them.
const LONG_PLAY_FACTOR: f64 = 1.7;
/// A stop waits for the longest client timeout of all classes, but no longer than this.
const MAX_STOP_WAIT_MS: u64 = 3000;
/// How much longer a stop waits before it kills the gateway.
const KILL_MARGIN_MS: u64 = 700;

/// Whether the settings allow a class's jobs to be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// Jobs may be run again at any time.
    Restartable,
    /// Jobs have an idempotency key: they may be run again within the deduplication scope and window.
    #[serde(rename = "Keyed")]
    IdempotencyKey,
    /// Jobs must not be run again once they may have run.
    RunOnce,
}

/// The engines among which a job with an idempotency key may be run again: those of the same zone or cell, or all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeduplicationScope {
    Zone,
    Cell,
    All,
}

/// A job class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Class {
    pub name: String,
    #[serde(rename = "semantics")]
    pub retry_safety: RetrySafety,
    /// Minimum and maximum timeout of its clients. The settings have the minimum as latency objective and the maximum
    /// as client timeout.
    #[serde(rename = "patience_ms")]
    pub timeout_ms: [u64; 2],
    /// Typical work of a job on an idle engine.
    pub work_ms: u64,
    /// The only zone in which its jobs may run.
    pub zone: Option<usize>,
}

/// The settings that the checker needs for its rules.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RuleSettings {
    /// How long after its first dispatch a job with an idempotency key may be run again.
    #[serde(rename = "dedup_window")]
    pub deduplication_window: Duration,
    /// Window in which retries are counted.
    #[serde(rename = "budget_window")]
    pub retry_budget_window: Duration,
    /// Retries that are allowed in each window, however few jobs there are.
    #[serde(rename = "spare_attempts")]
    pub min_retries: f64,
    /// Additional retries that are allowed for each job of the window.
    #[serde(rename = "extra_ratio")]
    pub retries_per_job: f64,
    /// How long a gateway may still send to an engine after it has been notified that the engine drains.
    pub drain_grace: Duration,
    /// Work that a warming engine may get in a window, as a multiple of the work that it can do in that time.
    #[serde(rename = "fall_multiple")]
    pub warm_up_overload_factor: f64,
    /// Window in which the work sent to a warming engine is counted.
    #[serde(rename = "overload_for")]
    pub warm_up_window: Duration,
    /// The fraction of its full capacity that an engine has when it starts.
    #[serde(rename = "start_capacity")]
    pub initial_capacity_fraction: f64,
    /// How long after its start an engine has its full capacity.
    #[serde(rename = "warm_after")]
    pub warm_up_time: Duration,
}

/// A fault. `gateways` and `engines` are the indices of those affected, `for_ms` is how long the fault lasts, and
/// `share` is the probability with which it affects a call, job or answer. A cold engine is one that has just started
/// and is warming up.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Fault {
    /// The event bus lists the engines as terminating.
    DrainEngines { engines: Vec<usize> },
    /// The engines are drained and ended; cold engines with other names and addresses replace them.
    ReplaceEngines { engines: Vec<usize> },
    /// The engines' processes die, and cold engines with other names listen at the same addresses.
    TakeAddresses { engines: Vec<usize> },
    /// The engines accept no connections, so that connecting takes long or fails.
    SlowAccepts { engines: Vec<usize>, for_ms: u64 },
    /// The engines' processes die and start again, cold, at the same addresses.
    RestartEngines { engines: Vec<usize>, down_ms: u64 },
    /// The engines neither run jobs nor answer.
    HangEngines { engines: Vec<usize>, for_ms: u64 },
    /// The engines neither run the jobs of the gateways nor answer them.
    CutLinks { gateways: Vec<usize>, engines: Vec<usize>, for_ms: u64 },
    /// The engines' connections are reset, also with dispatches in flight.
    ResetConnections { engines: Vec<usize> },
    /// The engines' answers are malformed, incomplete, slow, contradictory or sent twice.
    #[serde(rename = "SpoilAnswers")]
    CorruptAnswers { engines: Vec<usize>, share: f64, for_ms: u64 },
    /// The engines answer jobs with an error or reject them.
    FailJobs { engines: Vec<usize>, share: f64, for_ms: u64 },
    /// The event bus ends its connections and refuses new ones.
    BusDown { for_ms: u64 },
    /// The event bus sends nothing on the connections that are open.
    BusSilent { for_ms: u64 },
    /// The event bus moves to another port. The gateways reload a configuration with its new address, and are also made
    /// to reload while the file is only half written.
    BusMoves { times: u32 },
    /// The gateways are stopped as the stop plan says, then started again.
    StopGateways { gateways: Vec<usize> },
    /// The gateways are killed, then started again.
    KillGateways { gateways: Vec<usize> },
    /// The gateways' processes are suspended.
    FreezeGateways { gateways: Vec<usize>, for_ms: u64 },
    /// The gateways' wall clocks are stepped.
    StepClocks {
        gateways: Vec<usize>,
        by_s: i64,
        /// Whether the clock that stamps the engines' starts is stepped, too.
        engines_too: bool,
    },
    /// System calls of the gateways fail.
    FailCalls { gateways: Vec<usize>, share: f64, for_ms: u64 },
    /// System calls of the gateways on client connections fail, while the connections stay open.
    FailClientCalls { gateways: Vec<usize>, share: f64, for_ms: u64 },
    /// The same as [`Fault::BadClients`], for 100 ms.
    ClientsLeave { gateways: Vec<usize> },
    /// A client opens this number of idle connections to each of the gateways.
    IdleFlood { gateways: Vec<usize>, connections: usize, for_ms: u64 },
    /// Additional clients of the gateways send malformed, incomplete or many requests and disconnect shortly after.
    BadClients { gateways: Vec<usize>, for_ms: u64 },
}

/// A fault and when it starts, in milliseconds from the start of the play.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScheduledFault {
    pub at_ms: u64,
    // The name in schedule files.
    #[serde(rename = "trouble")]
    pub fault: Fault,
}

/// A signal that a gateway gets during a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopSignal {
    Reload,
    Terminate,
    Interrupt,
}

/// One of the signals of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledSignal {
    /// Time after the start of the stop.
    pub at_ms: u64,
    pub signal: StopSignal,
}

/// How gateways are stopped, and what their clients do during the stop.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopPlan {
    /// Whether clients continue to send requests on open connections until the process has ended.
    pub steady_clients: bool,
    /// In the order of their times. At least one of them is `Terminate`.
    pub signals: Vec<ScheduledSignal>,
}

impl Default for StopPlan {
    fn default() -> StopPlan {
        let signals = vec![ScheduledSignal { at_ms: 0, signal: StopSignal::Terminate }];
        StopPlan { steady_clients: false, signals }
    }
}

/// Everything that determines a play.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Schedule {
    pub seed: u64,
    /// Number of gateway processes, which are the program under test.
    pub gateways: usize,
    /// Number of engines at the start.
    pub engines: usize,
    /// Cores of each engine.
    pub cores: f64,
    /// Number of zones, which are the locations of gateways and engines.
    pub zones: usize,
    /// The scope for the classes with idempotency keys.
    #[serde(rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    pub classes: Vec<Class>,
    pub rules: RuleSettings,
    /// When traffic ends and all gateways are stopped, counted from the start of the play.
    pub traffic_until_ms: u64,
    /// Typical pause between the requests of one client.
    pub think_ms: u64,
    pub clients_per_gateway: usize,
    /// Number of clients of the first gateway, if it has many more than the others.
    #[serde(default, rename = "crowd")]
    pub first_gateway_clients: Option<usize>,
    #[serde(default)]
    pub stop: StopPlan,
    // The name in schedule files.
    #[serde(rename = "schedule")]
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    /// Creates the schedule for a seed, with this number of gateways and seconds of traffic.
    pub fn from_seed(seed: u64, gateways: usize, seconds: f64) -> Schedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let seconds = if rng.random_bool(0.2) { seconds * LONG_PLAY_FACTOR } else { seconds };
        // Some plays have so few engines that a cold one is overloaded unless slow start limits its load.
        let has_few_engines = rng.random_bool(0.3);
        let engines = if has_few_engines { rng.random_range(3..=5) } else { rng.random_range(6..=14) };
        let zones = rng.random_range(1..=2);
        let mut class = |name: &str, retry_safety, work_ms, zone| {
            let min_ms = rng.random_range(2..=6) * 150;
            Class { name: name.to_string(), retry_safety, timeout_ms: [min_ms, min_ms * 3], work_ms, zone }
        };
        let classes = vec![
            class("lookup", RetrySafety::Restartable, 20, None),
            class("load", RetrySafety::RunOnce, 60, None),
            class("post", RetrySafety::IdempotencyKey, 40, None),
            class("local", RetrySafety::Restartable, 30, (zones > 1).then_some(1)),
        ];
        let rules = RuleSettings {
            deduplication_window: Duration::from_millis(rng.random_range(1..=10) * 100),
            retry_budget_window: Duration::from_millis(rng.random_range(10..=40) * 100),
            min_retries: f64::from(rng.random_range(2..=6)),
            retries_per_job: f64::from(rng.random_range(5..=30)) / 100.0,
            drain_grace: Duration::from_secs(1),
            warm_up_overload_factor: 2.0,
            warm_up_window: Duration::from_millis([500, 1000, 2000][rng.random_range(0..3)]),
            initial_capacity_fraction: f64::from(rng.random_range(15..=50)) / 100.0,
            warm_up_time: Duration::from_millis(rng.random_range(4..=10) * 1000),
        };
        let mut schedule = Schedule {
            seed,
            gateways,
            engines,
            cores: if has_few_engines { 2.0 } else { [4.0, 8.0, 16.0][rng.random_range(0..3)] },
            zones,
            deduplication_scope: [
                DeduplicationScope::Zone,
                DeduplicationScope::Cell,
                DeduplicationScope::All,
            ][rng.random_range(0..3)],
            classes,
            rules,
            traffic_until_ms: (seconds * 1000.0) as u64,
            think_ms: if has_few_engines { rng.random_range(60..=150) } else { rng.random_range(150..=500) },
            clients_per_gateway: rng.random_range(2..=4),
            first_gateway_clients: rng.random_bool(0.15).then(|| rng.random_range(150..=300)),
            stop: Schedule::random_stop_plan(&mut rng),
            faults: vec![],
        };
        let count = rng.random_range(3..=8);
        let last_start = seconds + MAX_FAULT_START_AFTER_TRAFFIC_S;
        let first_start = TRAFFIC_START.as_secs_f64() + 0.5;
        // Most faults start within 0.7 s of a common time, so that they overlap. In a third of the plays that time is
        // the stop of all gateways.
        let fault_center =
            if rng.random_bool(0.33) { seconds } else { rng.random_range(first_start..last_start) };
        for _ in 0..count {
            let at = if rng.random_bool(0.7) {
                (fault_center + rng.random_range(-0.7..0.7)).clamp(first_start, last_start)
            } else {
                rng.random_range(first_start..last_start)
            };
            let fault = schedule.random_fault(&mut rng);
            schedule.faults.push(ScheduledFault { at_ms: (at * 1000.0) as u64, fault });
        }
        schedule.faults.sort_by_key(|scheduled| scheduled.at_ms);
        schedule
    }

    fn random_stop_plan(rng: &mut ChaCha8Rng) -> StopPlan {
        let mut signals = vec![];
        let terminate_at = if rng.random_bool(0.4) {
            signals.push(ScheduledSignal { at_ms: 0, signal: StopSignal::Reload });
            rng.random_range(0..=60)
        } else {
            0
        };
        signals.push(ScheduledSignal { at_ms: terminate_at, signal: StopSignal::Terminate });
        for _ in 0..rng.random_range(0..=4) {
            let all = [StopSignal::Reload, StopSignal::Terminate, StopSignal::Interrupt];
            let at_ms = terminate_at + rng.random_range(0..=2500);
            signals.push(ScheduledSignal { at_ms, signal: all[rng.random_range(0..all.len())] });
        }
        signals.sort_by_key(|scheduled| scheduled.at_ms);
        StopPlan { steady_clients: rng.random_bool(0.6), signals }
    }

    /// Number of clients of a gateway.
    pub fn client_count(&self, gateway: usize) -> usize {
        self.first_gateway_clients.filter(|_| gateway == 0).unwrap_or(self.clients_per_gateway)
    }

    /// Typical pause (ms) between the requests of one client of a gateway. With many clients it is longer, so that they
    /// send about twice as many requests together as the clients of another gateway.
    pub fn think_time_ms(&self, gateway: usize) -> u64 {
        let factor = self.client_count(gateway) / self.clients_per_gateway;
        self.think_ms * (factor as u64 / 2).max(1)
    }

    /// How long after SIGTERM a gateway that has not ended is killed: the shortest time that the protocol allows.
    pub fn kill_after(&self) -> Duration {
        let max_timeout_ms = self.classes.iter().map(|class| class.timeout_ms[1]).max().unwrap_or(0);
        Duration::from_millis(max_timeout_ms.min(MAX_STOP_WAIT_MS) + KILL_MARGIN_MS)
    }

    fn random_fault(&self, rng: &mut ChaCha8Rng) -> Fault {
        let engines = Schedule::random_subset(rng, self.engines, 0.1, 0.45);
        let gateways = Schedule::random_subset(rng, self.gateways, 0.1, 0.6);
        let for_ms = rng.random_range(3..=30) * 100;
        match rng.random_range(0..24) {
            0 => Fault::DrainEngines { engines },
            1 => Fault::ReplaceEngines { engines },
            2 => Fault::RestartEngines { engines, down_ms: rng.random_range(0..=800) },
            3 | 4 => Fault::HangEngines { engines, for_ms },
            5 => Fault::CutLinks { gateways, engines, for_ms },
            6 => Fault::ResetConnections { engines },
            7 => Fault::CorruptAnswers { engines, share: rng.random_range(0.1..0.6), for_ms },
            8 => Fault::FailJobs { engines, share: rng.random_range(0.1..0.7), for_ms },
            9 => Fault::BusDown { for_ms: for_ms * 2 },
            10 => Fault::BusSilent { for_ms },
            11 => Fault::BusMoves { times: rng.random_range(1..=3) },
            12 | 13 => Fault::StopGateways { gateways },
            14 => Fault::KillGateways { gateways },
            15 => Fault::FreezeGateways { gateways, for_ms: rng.random_range(50..=350) },
            16 => Fault::StepClocks {
                gateways,
                by_s: *[-3600, -5, 5, 3600].choose(rng).unwrap_or(&5),
                engines_too: rng.random_bool(0.5),
            },
            17 => Fault::FailCalls { gateways, share: rng.random_range(0.01..0.2), for_ms },
            18 => Fault::ClientsLeave { gateways },
            19 => Fault::TakeAddresses { engines },
            20 => Fault::SlowAccepts { engines, for_ms },
            21 | 22 => Fault::FailClientCalls { gateways, share: rng.random_range(0.002..0.03), for_ms },
            _ if rng.random_bool(0.5) => {
                Fault::IdleFlood { gateways, connections: rng.random_range(5..=120), for_ms }
            }
            _ => Fault::BadClients { gateways, for_ms },
        }
    }

    /// A share between `min` and `max` of the indices below `count`, but at least one, in ascending order.
    fn random_subset(rng: &mut ChaCha8Rng, count: usize, min: f64, max: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..count).collect();
        all.shuffle(rng);
        let share = rng.random_range(min..max);
        all.truncate(((count as f64 * share).round() as usize).max(1));
        all.sort_unstable();
        all
    }

    /// Engines are assigned to the zones in turn.
    pub fn zone_of(&self, engine: usize) -> usize {
        engine % self.zones
    }

    /// Each zone has two cells, to which its engines are assigned in turn.
    pub fn cell_of(&self, engine: usize) -> usize {
        engine % (2 * self.zones)
    }

    /// The name of a zone in settings and events.
    pub fn zone_name(zone: usize) -> String {
        format!("zone-{zone}")
    }

    /// The settings that a gateway is started with.
    pub fn settings(&self, gateway: usize) -> Json {
        let classes: Vec<Json> = self.classes.iter().map(|class| self.class_settings(class)).collect();
        let zones: Vec<String> = (0..self.zones).map(Schedule::zone_name).collect();
        let rules = &self.rules;
        let ms = |span: Duration| span.as_millis() as f64;
        json!({
            "Classes": classes, "Balancers": self.gateways, "Ordinal": gateway, "Tick": 5.0,
            "Zones": zones, "Zone": gateway % self.zones, "Flavors": ["std"], "MembershipMode": "push",
            "Extra": {"CpuOfKind": [self.cores], "ClassThreads": [1, 1, 1, 1], "RanksHeeded": true,
                "Progress": 300.0},
            "Report": {"How": "pull", "Names": ["load_share"]},
            "Deductions": {"Probe": 0.02, "CrossZone": 0.02},
            "Ceilings": {"Cancelling": true, "Probes": true, "TryLimit": 5, "StreamsPerConn": 32,
                "DialTimeout": 250.0, "ConnIdle": 5000.0},
            "Contract": {"FallMultiple": rules.warm_up_overload_factor, "OverloadFor": ms(rules.warm_up_window),
                "StartCapacity": rules.initial_capacity_fraction, "WarmAfter": ms(rules.warm_up_time),
                "BudgetWindow": ms(rules.retry_budget_window), "SpareAttempts": rules.min_retries,
                "ExtraRatio": rules.retries_per_job, "DrainGrace": ms(rules.drain_grace)},
        })
    }

    fn class_settings(&self, class: &Class) -> Json {
        let semantics = match class.retry_safety {
            RetrySafety::Restartable => "read_like",
            RetrySafety::IdempotencyKey => "idempotency_key",
            RetrySafety::RunOnce => "non_idempotent",
        };
        let group = match self.deduplication_scope {
            DeduplicationScope::Zone => "zone",
            DeduplicationScope::Cell => "cell",
            DeduplicationScope::All => "all",
        };
        let mut settings = json!({"Name": class.name, "Semantics": semantics, "Aim": class.timeout_ms[0],
            "GiveUp": class.timeout_ms[1], "Worth": 1.0, "Group": group,
            "DedupWindow": self.rules.deduplication_window.as_millis() as f64});
        if let Some(zone) = class.zone {
            settings["ConfinedTo"] = json!([zone]);
        }
        settings
    }
}
