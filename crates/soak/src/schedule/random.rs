//! Draws schedules from seeds.

use super::{
    Class, DeduplicationScope, Fault, RetrySafety, RuleSettings, Schedule, ScheduledFault, ScheduledSignal,
    StopPlan, StopSignal, TRAFFIC_START,
};
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Maximum delay between the end of the traffic and the start of a fault (s). All gateways are being stopped then.
const MAX_FAULT_START_AFTER_TRAFFIC_S: f64 = 0.4;
/// A fifth of the plays take this many times as long, so that some connections stay idle until the gateway closes them.
const LONG_PLAY_FACTOR: f64 = 1.7;

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
}
