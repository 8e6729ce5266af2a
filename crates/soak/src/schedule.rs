//! What one seed plays: the deployment, the settings and the faults with their times. Made before anything starts, so
//! that a seed can be played again and its schedule be printed beside a violation.

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value as Json, json};
use std::time::Duration;

/// Traffic begins this long after the programs were started.
pub const TRAFFIC_FROM: Duration = Duration::from_millis(1500);
/// How long after the end of the traffic, when all gateways stop, the last fault may begin (s).
const LAST_FAULT: f64 = 0.4;
/// Some plays are this much longer, so that connections rest until they are closed.
const LONGER: f64 = 1.7;
/// A stop counts the longest wait of a client as no longer than this, and allows this much more before the kill.
const LONGEST_PATIENCE_MS: u64 = 3000;
const KILL_MARGIN_MS: u64 = 700;

/// What the settings say of repeating a class's jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Semantics {
    Restartable,
    Keyed,
    RunOnce,
}

/// Where a keyed class's jobs may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Group {
    Zone,
    Cell,
    All,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Class {
    pub name: String,
    pub semantics: Semantics,
    /// How long its clients wait (ms): at least and at most.
    pub patience_ms: [u64; 2],
    /// Work of a job on an idle engine (ms).
    pub work_ms: u64,
    /// The only zone in which its jobs may run.
    pub zone: Option<usize>,
}

/// The figures of the settings that rules are checked by.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rules {
    pub dedup_window: Duration,
    pub budget_window: Duration,
    pub spare_attempts: f64,
    pub extra_ratio: f64,
    pub drain_grace: Duration,
    pub fall_multiple: f64,
    pub overload_for: Duration,
    pub start_capacity: f64,
    pub warm_after: Duration,
}

/// One disturbance. Indices are of gateways and engines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Fault {
    DrainEngines {
        engines: Vec<usize>,
    },
    /// Their processes die and new ones listen elsewhere, under new names, cold.
    ReplaceEngines {
        engines: Vec<usize>,
    },
    /// Their processes die, and new engines under new names listen at their addresses.
    TakeAddresses {
        engines: Vec<usize>,
    },
    /// Connections to them come up late, or not at all.
    SlowAccepts {
        engines: Vec<usize>,
        for_ms: u64,
    },
    /// Their processes die and listen again at the same addresses, cold.
    RestartEngines {
        engines: Vec<usize>,
        down_ms: u64,
    },
    /// They read and answer nothing for a while.
    HangEngines {
        engines: Vec<usize>,
        for_ms: u64,
    },
    /// Links from some gateways to some engines carry nothing for a while.
    CutLinks {
        gateways: Vec<usize>,
        engines: Vec<usize>,
        for_ms: u64,
    },
    /// Connections are reset, half of them under requests.
    ResetConnections {
        engines: Vec<usize>,
    },
    /// Answers are spoilt, late, twice or never end.
    SpoilAnswers {
        engines: Vec<usize>,
        share: f64,
        for_ms: u64,
    },
    /// Engines answer errors and refusals.
    FailJobs {
        engines: Vec<usize>,
        share: f64,
        for_ms: u64,
    },
    BusDown {
        for_ms: u64,
    },
    /// Open watches fall silent.
    BusSilent {
        for_ms: u64,
    },
    /// The bus moves; the gateways are told by a new configuration, which is written in halves.
    BusMoves {
        times: u32,
    },
    StopGateways {
        gateways: Vec<usize>,
    },
    KillGateways {
        gateways: Vec<usize>,
    },
    /// They get no processor for a while.
    FreezeGateways {
        gateways: Vec<usize>,
        for_ms: u64,
    },
    StepClocks {
        gateways: Vec<usize>,
        by_s: i64,
        engines_too: bool,
    },
    FailCalls {
        gateways: Vec<usize>,
        share: f64,
        for_ms: u64,
    },
    /// Calls on connections of clients fail, which stay open.
    FailClientCalls {
        gateways: Vec<usize>,
        share: f64,
        for_ms: u64,
    },
    ClientsLeave {
        gateways: Vec<usize>,
    },
    IdleFlood {
        gateways: Vec<usize>,
        connections: usize,
        for_ms: u64,
    },
    BadClients {
        gateways: Vec<usize>,
        for_ms: u64,
    },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScheduledFault {
    pub at_ms: u64,
    /// Files of schedules call it so.
    #[serde(rename = "trouble")]
    pub fault: Fault,
}

/// A signal that a gateway gets while it is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopSignal {
    Reload,
    Terminate,
    Interrupt,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScheduledSignal {
    /// After the first one.
    pub at_ms: u64,
    pub signal: StopSignal,
}

/// How gateways are stopped, and what their clients do meanwhile.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StopPlan {
    /// Clients go on to ask on open connections until the process has ended.
    pub steady_clients: bool,
    /// In the order of time. One of them terminates.
    pub signals: Vec<ScheduledSignal>,
}

impl Default for StopPlan {
    fn default() -> StopPlan {
        let signals = vec![ScheduledSignal { at_ms: 0, signal: StopSignal::Terminate }];
        StopPlan { steady_clients: false, signals }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Schedule {
    pub seed: u64,
    pub gateways: usize,
    pub engines: usize,
    pub cores: f64,
    pub zones: usize,
    /// The group of keyed classes.
    pub group: Group,
    pub classes: Vec<Class>,
    pub rules: Rules,
    /// Traffic ends, and all gateways are told to stop, this long after the programs were started.
    pub traffic_until_ms: u64,
    /// Pause between the jobs of one client (ms).
    pub think_ms: u64,
    pub clients_per_gateway: usize,
    /// Clients of the first gateway, where that has a crowd.
    #[serde(default)]
    pub crowd: Option<usize>,
    #[serde(default)]
    pub stop: StopPlan,
    /// Files of schedules call them so.
    #[serde(rename = "schedule")]
    pub faults: Vec<ScheduledFault>,
}

impl Schedule {
    pub fn draw(seed: u64, gateways: usize, seconds: f64) -> Schedule {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let seconds = if chance.random_bool(0.2) { seconds * LONGER } else { seconds };
        // Some fleets have next to no engines, so that a cold one has to be held back to stay up.
        let few = chance.random_bool(0.3);
        let engines = if few { chance.random_range(3..=5) } else { chance.random_range(6..=14) };
        let zones = chance.random_range(1..=2);
        let mut class = |name: &str, semantics, work_ms, zone| {
            let least = chance.random_range(2..=6) * 150;
            Class { name: name.to_string(), semantics, patience_ms: [least, least * 3], work_ms, zone }
        };
        let classes = vec![
            class("lookup", Semantics::Restartable, 20, None),
            class("load", Semantics::RunOnce, 60, None),
            class("post", Semantics::Keyed, 40, None),
            class("local", Semantics::Restartable, 30, (zones > 1).then_some(1)),
        ];
        let rules = Rules {
            dedup_window: Duration::from_millis(chance.random_range(1..=10) * 100),
            budget_window: Duration::from_millis(chance.random_range(10..=40) * 100),
            spare_attempts: f64::from(chance.random_range(2..=6)),
            extra_ratio: f64::from(chance.random_range(5..=30)) / 100.0,
            drain_grace: Duration::from_secs(1),
            fall_multiple: 2.0,
            overload_for: Duration::from_millis([500, 1000, 2000][chance.random_range(0..3)]),
            start_capacity: f64::from(chance.random_range(15..=50)) / 100.0,
            warm_after: Duration::from_millis(chance.random_range(4..=10) * 1000),
        };
        let mut schedule = Schedule {
            seed,
            gateways,
            engines,
            cores: if few { 2.0 } else { [4.0, 8.0, 16.0][chance.random_range(0..3)] },
            zones,
            group: [Group::Zone, Group::Cell, Group::All][chance.random_range(0..3)],
            classes,
            rules,
            traffic_until_ms: (seconds * 1000.0) as u64,
            think_ms: if few { chance.random_range(60..=150) } else { chance.random_range(150..=500) },
            clients_per_gateway: chance.random_range(2..=4),
            crowd: chance.random_bool(0.15).then(|| chance.random_range(150..=300)),
            stop: Schedule::draw_stop(&mut chance),
            faults: vec![],
        };
        let count = chance.random_range(3..=8);
        // Faults that overlap: most begin within a second of one another.
        let last = seconds + LAST_FAULT;
        let first = TRAFFIC_FROM.as_secs_f64() + 0.5;
        // In a third of the plays they gather round the stop of all gateways.
        let heart = if chance.random_bool(0.33) { seconds } else { chance.random_range(first..last) };
        for _ in 0..count {
            let at = if chance.random_bool(0.7) {
                (heart + chance.random_range(-0.7..0.7)).clamp(first, last)
            } else {
                chance.random_range(first..last)
            };
            let fault = schedule.draw_fault(&mut chance);
            schedule.faults.push(ScheduledFault { at_ms: (at * 1000.0) as u64, fault });
        }
        schedule.faults.sort_by_key(|scheduled| scheduled.at_ms);
        schedule
    }

    fn draw_stop(chance: &mut ChaCha8Rng) -> StopPlan {
        let mut signals = vec![];
        let terminate_at = if chance.random_bool(0.4) {
            signals.push(ScheduledSignal { at_ms: 0, signal: StopSignal::Reload });
            chance.random_range(0..=60)
        } else {
            0
        };
        signals.push(ScheduledSignal { at_ms: terminate_at, signal: StopSignal::Terminate });
        for _ in 0..chance.random_range(0..=4) {
            let all = [StopSignal::Reload, StopSignal::Terminate, StopSignal::Interrupt];
            let at_ms = terminate_at + chance.random_range(0..=2500);
            signals.push(ScheduledSignal { at_ms, signal: all[chance.random_range(0..all.len())] });
        }
        signals.sort_by_key(|scheduled| scheduled.at_ms);
        StopPlan { steady_clients: chance.random_bool(0.6), signals }
    }

    /// Clients of a gateway.
    pub fn clients_of(&self, gateway: usize) -> usize {
        self.crowd.filter(|_| gateway == 0).unwrap_or(self.clients_per_gateway)
    }

    /// Pause between the jobs of one client of a gateway (ms): a crowd asks about twice as much as the clients elsewhere.
    pub fn think_ms_of(&self, gateway: usize) -> u64 {
        let factor = self.clients_of(gateway) / self.clients_per_gateway;
        self.think_ms * (factor as u64 / 2).max(1)
    }

    /// When a gateway that has not ended is killed, after the signal that terminates it: the earliest that is allowed.
    pub fn kill_after(&self) -> Duration {
        let longest_ms = self.classes.iter().map(|class| class.patience_ms[1]).max().unwrap_or(0);
        Duration::from_millis(longest_ms.min(LONGEST_PATIENCE_MS) + KILL_MARGIN_MS)
    }

    fn draw_fault(&self, chance: &mut ChaCha8Rng) -> Fault {
        let engines = Schedule::some(chance, self.engines, 0.1, 0.45);
        let gateways = Schedule::some(chance, self.gateways, 0.1, 0.6);
        let for_ms = chance.random_range(3..=30) * 100;
        match chance.random_range(0..24) {
            0 => Fault::DrainEngines { engines },
            1 => Fault::ReplaceEngines { engines },
            2 => Fault::RestartEngines { engines, down_ms: chance.random_range(0..=800) },
            3 | 4 => Fault::HangEngines { engines, for_ms },
            5 => Fault::CutLinks { gateways, engines, for_ms },
            6 => Fault::ResetConnections { engines },
            7 => Fault::SpoilAnswers { engines, share: chance.random_range(0.1..0.6), for_ms },
            8 => Fault::FailJobs { engines, share: chance.random_range(0.1..0.7), for_ms },
            9 => Fault::BusDown { for_ms: for_ms * 2 },
            10 => Fault::BusSilent { for_ms },
            11 => Fault::BusMoves { times: chance.random_range(1..=3) },
            12 | 13 => Fault::StopGateways { gateways },
            14 => Fault::KillGateways { gateways },
            15 => Fault::FreezeGateways { gateways, for_ms: chance.random_range(50..=350) },
            16 => Fault::StepClocks {
                gateways,
                by_s: *[-3600, -5, 5, 3600].choose(chance).unwrap_or(&5),
                engines_too: chance.random_bool(0.5),
            },
            17 => Fault::FailCalls { gateways, share: chance.random_range(0.01..0.2), for_ms },
            18 => Fault::ClientsLeave { gateways },
            19 => Fault::TakeAddresses { engines },
            20 => Fault::SlowAccepts { engines, for_ms },
            21 | 22 => Fault::FailClientCalls { gateways, share: chance.random_range(0.002..0.03), for_ms },
            _ if chance.random_bool(0.5) => {
                Fault::IdleFlood { gateways, connections: chance.random_range(5..=120), for_ms }
            }
            _ => Fault::BadClients { gateways, for_ms },
        }
    }

    fn some(chance: &mut ChaCha8Rng, of: usize, least: f64, most: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (0..of).collect();
        all.shuffle(chance);
        let share = chance.random_range(least..most);
        all.truncate(((of as f64 * share).round() as usize).max(1));
        all.sort_unstable();
        all
    }

    pub fn zone_of(&self, engine: usize) -> usize {
        engine % self.zones
    }

    /// Engines of one zone are spread over two cells.
    pub fn cell_of(&self, engine: usize) -> usize {
        engine % (2 * self.zones)
    }

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
            "Contract": {"FallMultiple": rules.fall_multiple, "OverloadFor": ms(rules.overload_for),
                "StartCapacity": rules.start_capacity, "WarmAfter": ms(rules.warm_after),
                "BudgetWindow": ms(rules.budget_window), "SpareAttempts": rules.spare_attempts,
                "ExtraRatio": rules.extra_ratio, "DrainGrace": ms(rules.drain_grace)},
        })
    }

    fn class_settings(&self, class: &Class) -> Json {
        let semantics = match class.semantics {
            Semantics::Restartable => "read_like",
            Semantics::Keyed => "idempotency_key",
            Semantics::RunOnce => "non_idempotent",
        };
        let group = match self.group {
            Group::Zone => "zone",
            Group::Cell => "cell",
            Group::All => "all",
        };
        let mut settings = json!({"Name": class.name, "Semantics": semantics, "Aim": class.patience_ms[0],
            "GiveUp": class.patience_ms[1], "Worth": 1.0, "Group": group,
            "DedupWindow": self.rules.dedup_window.as_millis() as f64});
        if let Some(zone) = class.zone {
            settings["ConfinedTo"] = json!([zone]);
        }
        settings
    }
}
