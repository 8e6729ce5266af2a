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

/// Gateways are restarted one after another, this far apart.
const BETWEEN_RESTARTS: Duration = Duration::from_millis(40);
const BETWEEN_MOVES: Duration = Duration::from_millis(250);
/// The old address of a bus that moves serves on for so long.
const BETWEEN_RUSHES: Duration = Duration::from_millis(30);

/// Starts everything at its time; what is returned ends when all is done.
pub fn inject_all(testbed: &Arc<Testbed>) -> Vec<JoinHandle<()>> {
    let all = testbed.schedule.faults.clone().into_iter();
    all.map(|scheduled| tokio::spawn(inject(testbed.clone(), scheduled))).collect()
}

async fn inject(testbed: Arc<Testbed>, scheduled: ScheduledFault) {
    tokio::time::sleep_until((testbed.began + Duration::from_millis(scheduled.at_ms)).into()).await;
    let testbed = &testbed;
    let ms = Duration::from_millis;
    match scheduled.fault {
        Fault::DrainEngines { engines } => drain(testbed, &engines),
        Fault::ReplaceEngines { engines } => replace(testbed, &engines).await,
        Fault::RestartEngines { engines, down_ms } => restart_engines(testbed, &engines, ms(down_ms)).await,
        Fault::HangEngines { engines, for_ms } => {
            each(testbed, &engines, |engine| engine.hang(ms(for_ms)));
        }
        Fault::CutLinks { gateways, engines, for_ms } => {
            each(testbed, &engines, |engine| engine.cut(&gateways, ms(for_ms)));
        }
        Fault::TakeAddresses { engines } => take_addresses(testbed, &engines).await,
        Fault::SlowAccepts { engines, for_ms } => {
            each(testbed, &engines, |engine| engine.accept_late(ms(for_ms)));
        }
        Fault::ResetConnections { engines } => each(testbed, &engines, Engine::reset),
        Fault::CorruptAnswers { engines, share, for_ms } => {
            each(testbed, &engines, |engine| engine.spoil(share, ms(for_ms)));
        }
        Fault::FailJobs { engines, share, for_ms } => {
            each(testbed, &engines, |engine| engine.fail(share, ms(for_ms)));
        }
        Fault::BusDown { for_ms } => {
            testbed.bus.stop();
            tokio::time::sleep(ms(for_ms)).await;
            let _ = testbed.bus.start(testbed, true).await;
        }
        Fault::BusSilent { for_ms } => testbed.bus.fall_silent(ms(for_ms)),
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
                testbed.stamp_offset_us.store(by_s * 1_000_000, SeqCst);
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
            rush(testbed, &gateways, ms(100)).await;
        }
        Fault::BadClients { gateways, for_ms } => rush(testbed, &gateways, ms(for_ms)).await,
        Fault::IdleFlood { gateways, connections, for_ms } => {
            let floods = gateways.into_iter().map(|gateway| {
                let client = Client::new(testbed.clone(), gateway, 900);
                tokio::spawn(async move { client.idle(connections, ms(for_ms)).await })
            });
            wait_all(floods.collect()).await;
        }
    }
}

async fn wait_all(tasks: Vec<JoinHandle<()>>) {
    for task in tasks {
        let _ = task.await;
    }
}

fn each(testbed: &Testbed, engines: &[usize], what: impl Fn(&Engine)) {
    engines.iter().filter_map(|engine| testbed.engine(*engine)).for_each(|engine| what(&engine));
}

fn drain(testbed: &Testbed, engines: &[usize]) {
    let changes = engines
        .iter()
        .filter_map(|engine| testbed.engine(*engine))
        .map(|engine| Change::of(&engine, Lifecycle::Terminating, 0));
    testbed.bus.publish(testbed, changes.collect());
}

/// New engines start and are listed; the old ones drain, then end.
async fn replace(testbed: &Arc<Testbed>, engines: &[usize]) {
    let mut changes = vec![];
    for _ in engines {
        let engine = testbed.add_engine();
        if engine.start(testbed).await.is_err() {
            return;
        }
        changes.push(Change::of(&engine, Lifecycle::InService, testbed.stamp_ms()));
    }
    testbed.bus.publish(testbed, changes);
    drain(testbed, engines);
    tokio::time::sleep(testbed.schedule.rules.drain_grace * 2).await;
    let ended = engines.iter().filter_map(|engine| testbed.engine(*engine)).map(|engine| {
        engine.die(testbed);
        Change { engine: engine.index, run: engine.run(), lifecycle: Lifecycle::Terminated, started_at_ms: 0 }
    });
    let ended = ended.collect();
    testbed.bus.publish(testbed, ended);
}

/// Engines die, and new ones under new names are listed at their addresses before the old ones are told to have gone.
async fn take_addresses(testbed: &Arc<Testbed>, engines: &[usize]) {
    let old: Vec<_> = engines.iter().filter_map(|engine| testbed.engine(*engine)).collect();
    let mut changes = vec![];
    for old in &old {
        old.die(testbed);
        let engine = testbed.add_engine();
        engine.take_port(old.port());
        if engine.start(testbed).await.is_ok() {
            changes.push(Change::of(&engine, Lifecycle::InService, testbed.stamp_ms()));
        }
    }
    testbed.bus.publish(testbed, changes);
    let gone = old.iter().map(|old| Change::of(old, Lifecycle::Terminated, 0));
    testbed.bus.publish(testbed, gone.collect());
}

async fn restart_engines(testbed: &Arc<Testbed>, engines: &[usize], down: Duration) {
    let engines: Vec<_> = engines.iter().filter_map(|engine| testbed.engine(*engine)).collect();
    for engine in &engines {
        engine.die(testbed);
    }
    tokio::time::sleep(down).await;
    let mut changes = vec![];
    for engine in engines {
        if engine.start(testbed).await.is_ok() {
            changes.push(Change::of(&engine, Lifecycle::InService, testbed.stamp_ms()));
        }
    }
    testbed.bus.publish(testbed, changes);
}

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
        tokio::time::sleep(BETWEEN_MOVES).await;
    }
}

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
            tokio::time::sleep(BETWEEN_RESTARTS).await;
        }
    }
    wait_all(restarts).await;
}

async fn fail_calls(testbed: &Arc<Testbed>, gateways: &[usize], share: f64, time: Duration) {
    // A broken connection ends all that is out on it, and threads fail together.
    let rates = [
        (FaultKind::Accept, share),
        (FaultKind::Socket, share),
        (FaultKind::Connect, share),
        (FaultKind::Wait, share),
        (FaultKind::Short, share),
        (FaultKind::Break, share / 20.0),
        (FaultKind::Thread, share / 2.0),
        (FaultKind::InterruptTcp, share),
        (FaultKind::InterruptNonTcp, share),
    ];
    fail_for(testbed, gateways, &rates, time).await;
}

/// Lets calls fail for a time.
async fn fail_for(testbed: &Arc<Testbed>, gateways: &[usize], rates: &[(FaultKind, f64)], time: Duration) {
    let none: Vec<(FaultKind, f64)> = rates.iter().map(|(kind, _)| (*kind, 0.0)).collect();
    for gateway in gateways {
        testbed.gateways[*gateway].fail_calls(testbed, rates);
    }
    tokio::time::sleep(time).await;
    for gateway in gateways {
        testbed.gateways[*gateway].fail_calls(testbed, &none);
    }
}

/// Clients that send much and go, one after another at each gateway.
async fn rush(testbed: &Arc<Testbed>, gateways: &[usize], time: Duration) {
    let until = std::time::Instant::now() + time;
    let rushes = gateways.iter().map(|gateway| {
        let (testbed, gateway) = (testbed.clone(), *gateway);
        tokio::spawn(async move {
            let mut client = Client::new(testbed.clone(), gateway, 901);
            while std::time::Instant::now() < until && !testbed.is_over() {
                let _ = client.rush().await;
                tokio::time::sleep(BETWEEN_RUSHES).await;
            }
        })
    });
    wait_all(rushes.collect()).await;
}
