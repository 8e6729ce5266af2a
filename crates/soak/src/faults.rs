//! Injects the faults of a schedule at their times.

use crate::bus::{Change, Lifecycle};
use crate::client::Client;
use crate::engine::Engine;
use crate::gateway::Phase;
use crate::schedule::{Fault, ScheduledFault};
use crate::testbed::Testbed;
use pebblevane_syscall_faults::FaultKind;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Gateways that are stopped by one fault are stopped one after another, at this interval.
const RESTART_INTERVAL: Duration = Duration::from_millis(40);
/// Pause after each move of the event bus.
const PAUSE_AFTER_MOVE: Duration = Duration::from_millis(250);
/// Pause between the connections of a misbehaving client.
const MISBEHAVIOR_PAUSE: Duration = Duration::from_millis(30);
/// How long misbehaving clients connect under `Fault::ClientsLeave`.
const CLIENTS_LEAVE_DURATION: Duration = Duration::from_millis(100);
/// Numbers of the additional clients of a gateway; its regular ones are numbered from 0. A client's number determines
/// its random choices.
const IDLE_CLIENT: usize = 900;
const MISBEHAVING_CLIENT: usize = 901;
/// How much later the end of an engine that died silently is listed than the start of the next one at its address.
const DEATH_NOTICE_DELAY: Duration = Duration::from_millis(800);
/// Of so many gateways, one is killed while the list contains two engines at an address.
const KILLED_GATEWAY_INTERVAL: usize = 4;

/// Spawns one task for each fault. It waits until the fault starts, and ends when the fault ends.
pub fn inject_all(testbed: &Arc<Testbed>) -> Vec<JoinHandle<()>> {
    let all = testbed.schedule.faults.clone().into_iter();
    all.map(|scheduled| tokio::spawn(inject(testbed.clone(), scheduled))).collect()
}

async fn inject(testbed: Arc<Testbed>, scheduled: ScheduledFault) {
    tokio::time::sleep_until((testbed.started + Duration::from_millis(scheduled.at_ms)).into()).await;
    let testbed = &testbed;
    let ms = Duration::from_millis;
    match scheduled.fault {
        Fault::DrainEngines { engines } => drain(testbed, &engines),
        Fault::ReplaceEngines { engines } => replace(testbed, &engines).await,
        Fault::RestartEngines { engines, down_ms } => restart_engines(testbed, &engines, ms(down_ms)).await,
        Fault::HangEngines { engines, for_ms } => {
            for_each_engine(testbed, &engines, |engine| engine.hang(ms(for_ms)));
        }
        Fault::CutLinks { gateways, engines, for_ms } => {
            for_each_engine(testbed, &engines, |engine| engine.block(&gateways, ms(for_ms)));
        }
        Fault::TakeAddresses { engines } => take_addresses(testbed, &engines).await,
        Fault::SlowAccepts { engines, for_ms } => {
            for_each_engine(testbed, &engines, |engine| engine.delay_accepts(ms(for_ms)));
        }
        Fault::ResetConnections { engines } => for_each_engine(testbed, &engines, Engine::reset_connections),
        Fault::CorruptAnswers { engines, share, for_ms } => {
            for_each_engine(testbed, &engines, |engine| engine.corrupt_answers(share, ms(for_ms)));
        }
        Fault::FailJobs { engines, share, for_ms } => {
            for_each_engine(testbed, &engines, |engine| engine.fail_jobs(share, ms(for_ms)));
        }
        Fault::BusDown { for_ms } => {
            testbed.bus.stop();
            tokio::time::sleep(ms(for_ms)).await;
            let _ = testbed.bus.start(testbed, true).await;
        }
        Fault::BusSilent { for_ms } => testbed.bus.silence_connections(ms(for_ms)),
        Fault::BusMoves { times } => move_bus(testbed, times).await,
        Fault::StopGateways { gateways } => restart_gateways(testbed, gateways, false).await,
        Fault::KillGateways { gateways } => restart_gateways(testbed, gateways, true).await,
        Fault::FreezeGateways { gateways, for_ms } => {
            let frozen = gateways.into_iter().map(|gateway| {
                let testbed = testbed.clone();
                tokio::spawn(async move { testbed.gateways[gateway].freeze(&testbed, ms(for_ms)).await })
            });
            wait_all(frozen.collect()).await;
        }
        Fault::StepClocks { gateways, by_s, engines_too } => {
            let offset = Duration::from_secs(by_s.unsigned_abs());
            for gateway in &gateways {
                testbed.gateways[*gateway].step_clock(testbed, offset, by_s < 0);
            }
            if engines_too {
                testbed.engine_clock_offset_us.store(by_s * 1_000_000, SeqCst);
            }
        }
        Fault::FailCalls { gateways, share, for_ms } => {
            fail_calls(testbed, &gateways, share, ms(for_ms)).await;
        }
        Fault::FailClientCalls { gateways, share, for_ms } => {
            let kinds = [FaultKind::AcceptedPeek, FaultKind::AcceptedRead, FaultKind::AcceptedWrite];
            fail_for(testbed, &gateways, &kinds.map(|kind| (kind, share)), ms(for_ms)).await;
        }
        Fault::ClientsLeave { gateways } | Fault::BadClients { gateways, for_ms: 0 } => {
            run_misbehaving_clients(testbed, &gateways, CLIENTS_LEAVE_DURATION).await;
        }
        Fault::BadClients { gateways, for_ms } => {
            run_misbehaving_clients(testbed, &gateways, ms(for_ms)).await;
        }
        Fault::IdleFlood { gateways, connections, for_ms } => {
            let clients = gateways.into_iter().map(|gateway| {
                let client = Client::new(testbed.clone(), gateway, IDLE_CLIENT);
                tokio::spawn(async move { client.hold_idle_connections(connections, ms(for_ms)).await })
            });
            wait_all(clients.collect()).await;
        }
    }
}

async fn wait_all(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        let _ = task.await;
    }
}

fn for_each_engine(testbed: &Testbed, engines: &[usize], action: impl Fn(&Engine)) {
    engines.iter().filter_map(|engine| testbed.engine(*engine)).for_each(|engine| action(&engine));
}

fn drain(testbed: &Testbed, engines: &[usize]) {
    let changes = engines
        .iter()
        .filter_map(|engine| testbed.engine(*engine))
        .map(|engine| Change::of(&engine, Lifecycle::Terminating, 0));
    testbed.bus.publish(testbed, changes.collect());
}

/// Starts and lists new engines, then drains and ends the old ones.
async fn replace(testbed: &Arc<Testbed>, engines: &[usize]) {
    let mut changes = vec![];
    for _ in engines {
        let engine = testbed.add_engine();
        if engine.start(testbed).await.is_err() {
            return;
        }
        changes.push(Change::of(&engine, Lifecycle::InService, testbed.engine_clock_ms()));
    }
    testbed.bus.publish(testbed, changes);
    drain(testbed, engines);
    tokio::time::sleep(testbed.schedule.rules.drain_grace * 2).await;
    let terminated = engines.iter().filter_map(|engine| testbed.engine(*engine)).map(|engine| {
        engine.die(testbed);
        Change { engine: engine.index, run: engine.run(), lifecycle: Lifecycle::Terminated, started_at_ms: 0 }
    });
    let terminated = terminated.collect();
    testbed.bus.publish(testbed, terminated);
}

/// Ends engines and lists new ones with other names at the same addresses, before the old ones are listed as
/// terminated. In between, some gateways are killed and start with a list that contains both.
async fn take_addresses(testbed: &Arc<Testbed>, engines: &[usize]) {
    let old: Vec<_> = engines.iter().filter_map(|engine| testbed.engine(*engine)).collect();
    let mut changes = vec![];
    for old in &old {
        old.die(testbed);
        let engine = testbed.add_engine();
        engine.use_port(old.port());
        if engine.start(testbed).await.is_ok() {
            changes.push(Change::of(&engine, Lifecycle::InService, testbed.engine_clock_ms()));
        }
    }
    testbed.bus.publish(testbed, changes);
    let killed = (0..testbed.gateways.len()).step_by(KILLED_GATEWAY_INTERVAL).collect();
    restart_gateways(testbed, killed, true).await;
    tokio::time::sleep(DEATH_NOTICE_DELAY).await;
    let terminated = old.iter().map(|old| Change::of(old, Lifecycle::Terminated, 0));
    testbed.bus.publish(testbed, terminated.collect());
}

/// Ends engines, starts them again after `down` and lists them.
async fn restart_engines(testbed: &Arc<Testbed>, engines: &[usize], down: Duration) {
    let engines: Vec<_> = engines.iter().filter_map(|engine| testbed.engine(*engine)).collect();
    for engine in &engines {
        engine.die(testbed);
    }
    tokio::time::sleep(down).await;
    let mut changes = vec![];
    for engine in engines {
        if engine.start(testbed).await.is_ok() {
            changes.push(Change::of(&engine, Lifecycle::InService, testbed.engine_clock_ms()));
        }
    }
    testbed.bus.publish(testbed, changes);
}

/// Moves the event bus to a new port, and has the running gateways reload their configurations.
async fn move_bus(testbed: &Arc<Testbed>, times: u32) {
    for _ in 0..times {
        testbed.bus.stop();
        if testbed.bus.start(testbed, false).await.is_err() {
            return;
        }
        for gateway in &testbed.gateways {
            if matches!(gateway.phase(), Phase::Ready | Phase::Stopping(_)) {
                gateway.reload(testbed).await;
            }
        }
        tokio::time::sleep(PAUSE_AFTER_MOVE).await;
    }
}

/// Stops or kills the gateways that are ready and starts them again. Every second one starts with an outdated list of
/// engines.
async fn restart_gateways(testbed: &Arc<Testbed>, gateways: Vec<usize>, kill: bool) {
    let mut restarts = vec![];
    for (position, gateway) in gateways.into_iter().enumerate() {
        let testbed = testbed.clone();
        restarts.push(tokio::spawn(async move {
            if testbed.is_ending() || testbed.gateways[gateway].phase() != Phase::Ready {
                return;
            }
            if kill {
                testbed.gateways[gateway].kill(&testbed).await;
            } else {
                testbed.gateways[gateway].stop(&testbed).await;
            }
            if !testbed.is_ending() {
                let _ = testbed.gateways[gateway].start(&testbed, position % 2 == 1);
            }
        }));
        if !kill {
            tokio::time::sleep(RESTART_INTERVAL).await;
        }
    }
    wait_all(restarts).await;
}

async fn fail_calls(testbed: &Arc<Testbed>, gateways: &[usize], share: f64, time: Duration) {
    // Two kinds have lower rates: a broken connection ends all dispatches in flight on it, and thread creations fail
    // together.
    let rates = [
        (FaultKind::Accept, share),
        (FaultKind::Socket, share),
        (FaultKind::Connect, share),
        (FaultKind::InterruptPoll, share),
        (FaultKind::ShortTransfer, share),
        (FaultKind::BreakConnection, share / 20.0),
        (FaultKind::CreateThread, share / 2.0),
        (FaultKind::InterruptTcp, share),
        (FaultKind::InterruptNonTcp, share),
    ];
    fail_for(testbed, gateways, &rates, time).await;
}

/// Makes system calls of the gateways fail at these rates for this time.
async fn fail_for(testbed: &Arc<Testbed>, gateways: &[usize], rates: &[(FaultKind, f64)], time: Duration) {
    let zero_rates: Vec<(FaultKind, f64)> = rates.iter().map(|(kind, _)| (*kind, 0.0)).collect();
    for gateway in gateways {
        testbed.gateways[*gateway].fail_calls(testbed, rates);
    }
    tokio::time::sleep(time).await;
    for gateway in gateways {
        testbed.gateways[*gateway].fail_calls(testbed, &zero_rates);
    }
}

/// Lets misbehaving clients connect to each gateway, one after another, for this time.
async fn run_misbehaving_clients(testbed: &Arc<Testbed>, gateways: &[usize], time: Duration) {
    let end = std::time::Instant::now() + time;
    let clients = gateways.iter().map(|gateway| {
        let (testbed, gateway) = (testbed.clone(), *gateway);
        tokio::spawn(async move {
            let mut client = Client::new(testbed.clone(), gateway, MISBEHAVING_CLIENT);
            while std::time::Instant::now() < end && !testbed.has_traffic_ended() {
                let _ = client.misbehave().await;
                tokio::time::sleep(MISBEHAVIOR_PAUSE).await;
            }
        })
    });
    wait_all(clients.collect()).await;
}
