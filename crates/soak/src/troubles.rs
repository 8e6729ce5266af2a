//! Carries out the schedule of a plan.

use crate::bus::{Change, Lifecycle};
use crate::client::Client;
use crate::gateway::{FAULT_BREAK, FAULT_THREAD, FAULTS, Phase};
use crate::plan::{Scheduled, Trouble};
use crate::world::World;
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
pub fn schedule(world: &Arc<World>) -> Vec<JoinHandle<()>> {
    let all = world.plan.schedule.clone().into_iter();
    all.map(|scheduled| tokio::spawn(carry_out(world.clone(), scheduled))).collect()
}

async fn carry_out(world: Arc<World>, scheduled: Scheduled) {
    tokio::time::sleep_until((world.began + Duration::from_millis(scheduled.at_ms)).into()).await;
    let world = &world;
    let ms = Duration::from_millis;
    match scheduled.trouble {
        Trouble::DrainEngines { engines } => drain(world, &engines),
        Trouble::ReplaceEngines { engines } => replace(world, &engines).await,
        Trouble::RestartEngines { engines, down_ms } => restart_engines(world, &engines, ms(down_ms)).await,
        Trouble::HangEngines { engines, for_ms } => {
            each(world, &engines, |engine| engine.hang(ms(for_ms)));
        }
        Trouble::CutLinks { gateways, engines, for_ms } => {
            each(world, &engines, |engine| engine.cut(&gateways, ms(for_ms)));
        }
        Trouble::TakeAddresses { engines } => take_addresses(world, &engines).await,
        Trouble::SlowAccepts { engines, for_ms } => {
            each(world, &engines, |engine| engine.accept_late(ms(for_ms)));
        }
        Trouble::ResetConnections { engines } => each(world, &engines, |engine| engine.reset()),
        Trouble::SpoilAnswers { engines, share, for_ms } => {
            each(world, &engines, |engine| engine.spoil(share, ms(for_ms)));
        }
        Trouble::FailJobs { engines, share, for_ms } => {
            each(world, &engines, |engine| engine.fail(share, ms(for_ms)));
        }
        Trouble::BusDown { for_ms } => {
            world.bus.stop();
            tokio::time::sleep(ms(for_ms)).await;
            let _ = world.bus.start(world, true).await;
        }
        Trouble::BusSilent { for_ms } => world.bus.fall_silent(ms(for_ms)),
        Trouble::BusMoves { times } => move_bus(world, times).await,
        Trouble::StopGateways { gateways } => restart_gateways(world, gateways, false).await,
        Trouble::KillGateways { gateways } => restart_gateways(world, gateways, true).await,
        Trouble::FreezeGateways { gateways, for_ms } => {
            let frozen = gateways.into_iter().map(|gateway| {
                let world = world.clone();
                tokio::spawn(async move { world.gateways[gateway].freeze(&world, ms(for_ms)).await })
            });
            wait_all(frozen.collect()).await;
        }
        Trouble::StepClocks { gateways, by_s, engines_too } => {
            let offset = Duration::from_secs(by_s.unsigned_abs());
            gateways.iter().for_each(|gateway| world.gateways[*gateway].step_clock(world, offset, by_s < 0));
            if engines_too {
                world.stamp_offset_us.store(by_s * 1_000_000, SeqCst);
            }
        }
        Trouble::FailCalls { gateways, share, for_ms } => {
            fail_calls(world, &gateways, share, ms(for_ms)).await
        }
        Trouble::ClientsLeave { gateways } | Trouble::BadClients { gateways, for_ms: 0 } => {
            rush(world, &gateways, ms(100)).await;
        }
        Trouble::BadClients { gateways, for_ms } => rush(world, &gateways, ms(for_ms)).await,
        Trouble::IdleFlood { gateways, connections, for_ms } => {
            let floods = gateways.into_iter().map(|gateway| {
                let client = Client::new(world.clone(), gateway, 900);
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

fn each(world: &World, engines: &[usize], what: impl Fn(&crate::engine::Engine)) {
    engines.iter().filter_map(|engine| world.engine(*engine)).for_each(|engine| what(&engine));
}

fn drain(world: &World, engines: &[usize]) {
    let changes = engines
        .iter()
        .filter_map(|engine| world.engine(*engine))
        .map(|engine| Change::of(&engine, Lifecycle::Terminating, 0));
    world.bus.publish(world, changes.collect());
}

/// New engines start and are listed; the old ones drain, then end.
async fn replace(world: &Arc<World>, engines: &[usize]) {
    let mut changes = vec![];
    for _ in engines {
        let engine = world.add_engine();
        if engine.start(world).await.is_err() {
            return;
        }
        changes.push(Change::of(&engine, Lifecycle::InService, world.stamp_ms()));
    }
    world.bus.publish(world, changes);
    drain(world, engines);
    tokio::time::sleep(world.plan.rules.drain_grace * 2).await;
    let ended = engines.iter().filter_map(|engine| world.engine(*engine)).map(|engine| {
        engine.die(world);
        Change { engine: engine.index, run: engine.run(), lifecycle: Lifecycle::Terminated, started_at_ms: 0 }
    });
    let ended = ended.collect();
    world.bus.publish(world, ended);
}

/// Engines die, and new ones under new names are listed at their addresses before the old ones are told to have gone.
async fn take_addresses(world: &Arc<World>, engines: &[usize]) {
    let old: Vec<_> = engines.iter().filter_map(|engine| world.engine(*engine)).collect();
    let mut changes = vec![];
    for old in &old {
        old.die(world);
        let engine = world.add_engine();
        engine.take_port(old.port());
        if engine.start(world).await.is_ok() {
            changes.push(Change::of(&engine, Lifecycle::InService, world.stamp_ms()));
        }
    }
    world.bus.publish(world, changes);
    let gone = old.iter().map(|old| Change::of(old, Lifecycle::Terminated, 0));
    world.bus.publish(world, gone.collect());
}

async fn restart_engines(world: &Arc<World>, engines: &[usize], down: Duration) {
    let engines: Vec<_> = engines.iter().filter_map(|engine| world.engine(*engine)).collect();
    engines.iter().for_each(|engine| engine.die(world));
    tokio::time::sleep(down).await;
    let mut changes = vec![];
    for engine in engines {
        if engine.start(world).await.is_ok() {
            changes.push(Change::of(&engine, Lifecycle::InService, world.stamp_ms()));
        }
    }
    world.bus.publish(world, changes);
}

async fn move_bus(world: &Arc<World>, times: u32) {
    for _ in 0..times {
        world.bus.stop();
        if world.bus.start(world, false).await.is_err() {
            return;
        }
        for gateway in &world.gateways {
            if matches!(gateway.phase(), Phase::Ready | Phase::Stopping(_)) {
                gateway.reload(world).await;
            }
        }
        tokio::time::sleep(BETWEEN_MOVES).await;
    }
}

async fn restart_gateways(world: &Arc<World>, gateways: Vec<usize>, kill: bool) {
    let mut restarts = vec![];
    for (position, gateway) in gateways.into_iter().enumerate() {
        let world = world.clone();
        restarts.push(tokio::spawn(async move {
            if world.is_over() || world.gateways[gateway].phase() != Phase::Ready {
                return;
            }
            if kill {
                world.gateways[gateway].kill(&world).await;
            } else {
                world.gateways[gateway].stop(&world).await;
            }
            if !world.is_over() {
                let _ = world.gateways[gateway].start(&world, position % 2 == 1);
            }
        }));
        if !kill {
            tokio::time::sleep(BETWEEN_RESTARTS).await;
        }
    }
    wait_all(restarts).await;
}

async fn fail_calls(world: &Arc<World>, gateways: &[usize], share: f64, time: Duration) {
    let mut shares = [share; FAULTS];
    // A broken connection ends all that is out on it, and threads fail together.
    (shares[FAULT_BREAK], shares[FAULT_THREAD]) = (share / 20.0, share / 2.0);
    gateways.iter().for_each(|gateway| world.gateways[*gateway].fail_calls(world, shares));
    tokio::time::sleep(time).await;
    gateways.iter().for_each(|gateway| world.gateways[*gateway].fail_calls(world, [0.0; FAULTS]));
}

/// Clients that send much and go, one after another at each gateway.
async fn rush(world: &Arc<World>, gateways: &[usize], time: Duration) {
    let until = std::time::Instant::now() + time;
    let rushes = gateways.iter().map(|gateway| {
        let (world, gateway) = (world.clone(), *gateway);
        tokio::spawn(async move {
            let mut client = Client::new(world.clone(), gateway, 901);
            while std::time::Instant::now() < until && !world.is_over() {
                let _ = client.rush().await;
                tokio::time::sleep(BETWEEN_RUSHES).await;
            }
        })
    });
    wait_all(rushes.collect()).await;
}
