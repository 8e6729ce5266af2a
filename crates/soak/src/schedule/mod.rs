//! The schedule of a play: the deployment, the settings and the faults with their times. It is determined by the seed
//! before anything starts, so that a play can be repeated and its schedule can be printed with a violation.

mod random;
mod settings;

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// When the clients' traffic starts, counted from the start of the play.
pub const TRAFFIC_START: Duration = Duration::from_millis(1500);
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
}
