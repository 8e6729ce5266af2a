//! Plays one seed from its start to its verdict.

use crate::bus::{Change, Lifecycle};
use crate::client::Client;
use crate::gateway::Phase;
use crate::judge::{Verdict, judge};
use crate::ledger::{Books, Event};
use crate::plan::{Plan, TRAFFIC_FROM};
use crate::troubles;
use crate::world::World;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// Traffic goes on for so long after all gateways were told to stop.
const AFTER_STOP: Duration = Duration::from_millis(700);
const CLIENTS_END: Duration = Duration::from_secs(6);
const LAG_LOOK: Duration = Duration::from_millis(5);
const LAG_TOLD: Duration = Duration::from_millis(10);
const LOOK: Duration = Duration::from_millis(20);

pub struct Played {
    pub plan: Plan,
    pub books: Books,
    pub verdict: Verdict,
}

#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    #[error("cannot prepare {0}: {1}")]
    Folder(PathBuf, std::io::Error),
    #[error("cannot listen: {0}")]
    Listen(std::io::Error),
    #[error("cannot start gateway {0}: {1}")]
    Start(usize, std::io::Error),
}

pub async fn play(plan: Plan, folder: &Path, program: &Path, port: u16) -> Result<Played, PlayError> {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder).map_err(|e| PlayError::Folder(folder.to_path_buf(), e))?;
    let until = Duration::from_millis(plan.traffic_until_ms);
    let world = Arc::new(World::new(plan, folder.to_path_buf(), program.to_path_buf(), port));
    let lag = tokio::spawn(watch_lag(world.clone()));
    start_engines(&world).await?;
    world.bus.start(&world, false).await.map_err(PlayError::Listen)?;
    for gateway in &world.gateways {
        gateway.start(&world, false).map_err(|e| PlayError::Start(gateway.index, e))?;
    }
    tokio::time::sleep_until((world.began + TRAFFIC_FROM).into()).await;
    let clients = start_clients(&world);
    let troubles = troubles::schedule(&world);
    tokio::time::sleep_until((world.began + until).into()).await;
    end(&world, clients, troubles).await;
    lag.abort();
    let books = world.ledger.take();
    world.close();
    let verdict = judge(&world.plan, &books);
    Ok(Played { plan: world.plan.clone(), books, verdict })
}

async fn start_engines(world: &Arc<World>) -> Result<(), PlayError> {
    let mut list = vec![];
    for _ in 0..world.plan.engines {
        let engine = world.add_engine();
        engine.start(world).await.map_err(PlayError::Listen)?;
        list.push(Change::of(&engine, Lifecycle::InService, 0));
    }
    world.bus.publish(world, list);
    Ok(())
}

fn start_clients(world: &Arc<World>) -> Vec<JoinHandle<()>> {
    let of = |gateway| (0..world.plan.clients_per_gateway).map(move |number| (gateway, number));
    let all = (0..world.plan.gateways).flat_map(of);
    all.map(|(gateway, number)| tokio::spawn(Client::new(world.clone(), gateway, number).run())).collect()
}

/// Stops all gateways under traffic, and waits for their ends and for what clients still wait for.
async fn end(world: &Arc<World>, clients: Vec<JoinHandle<()>>, troubles: Vec<JoinHandle<()>>) {
    let stops: Vec<JoinHandle<()>> = (0..world.plan.gateways)
        .map(|gateway| {
            let world = world.clone();
            tokio::spawn(async move { world.gateways[gateway].stop(&world).await })
        })
        .collect();
    tokio::time::sleep(AFTER_STOP).await;
    world.over.store(true, SeqCst);
    for stop in stops {
        let _ = stop.await;
    }
    // A restart under way may have started one more process meanwhile.
    for trouble in troubles {
        let _ = tokio::time::timeout(CLIENTS_END, trouble).await;
    }
    for gateway in &world.gateways {
        gateway.stop(world).await;
        while gateway.phase() != Phase::Down {
            tokio::time::sleep(LOOK).await;
        }
    }
    let by = Instant::now() + CLIENTS_END;
    for client in clients {
        let _ = tokio::time::timeout_at(by.into(), client).await;
    }
    // Logs are written once they have ended.
    tokio::time::sleep(LOOK * 5).await;
}

/// Enters how late the test itself runs, as its times are worth no more than that.
async fn watch_lag(world: Arc<World>) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(LAG_LOOK).await;
        let late = before.elapsed().saturating_sub(LAG_LOOK);
        if late > LAG_TOLD {
            world.ledger.event(Event::Lagged { by_us: late.as_micros() as u64 });
        }
    }
}
