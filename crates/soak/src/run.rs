//! Plays one seed from its start to its verdict.

use crate::bus::{Change, Lifecycle};
use crate::checker::{Verdict, check};
use crate::client::Client;
use crate::faults;
use crate::gateway::Phase;
use crate::history::{Event, Records};
use crate::schedule::{Schedule, TRAFFIC_START};
use crate::testbed::Testbed;
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
    pub schedule: Schedule,
    pub records: Records,
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

pub async fn play(schedule: Schedule, folder: &Path, program: &Path, port: u16) -> Result<Played, PlayError> {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder).map_err(|e| PlayError::Folder(folder.to_path_buf(), e))?;
    let until = Duration::from_millis(schedule.traffic_until_ms);
    let testbed = Arc::new(Testbed::new(schedule, folder.to_path_buf(), program.to_path_buf(), port));
    let lag = tokio::spawn(watch_lag(testbed.clone()));
    start_engines(&testbed).await?;
    testbed.bus.start(&testbed, false).await.map_err(PlayError::Listen)?;
    for gateway in &testbed.gateways {
        gateway.start(&testbed, false).map_err(|e| PlayError::Start(gateway.index, e))?;
    }
    tokio::time::sleep_until((testbed.began + TRAFFIC_START).into()).await;
    let clients = start_clients(&testbed);
    let faults = faults::inject_all(&testbed);
    tokio::time::sleep_until((testbed.began + until).into()).await;
    end(&testbed, clients, faults).await;
    lag.abort();
    let records = testbed.history.take_records();
    testbed.close();
    let verdict = check(&testbed.schedule, &records);
    Ok(Played { schedule: testbed.schedule.clone(), records, verdict })
}

async fn start_engines(testbed: &Arc<Testbed>) -> Result<(), PlayError> {
    let mut list = vec![];
    for _ in 0..testbed.schedule.engines {
        let engine = testbed.add_engine();
        engine.start(testbed).await.map_err(PlayError::Listen)?;
        list.push(Change::of(&engine, Lifecycle::InService, 0));
    }
    testbed.bus.publish(testbed, list);
    Ok(())
}

fn start_clients(testbed: &Arc<Testbed>) -> Vec<JoinHandle<()>> {
    let of = |gateway| (0..testbed.schedule.client_count(gateway)).map(move |number| (gateway, number));
    let all = (0..testbed.schedule.gateways).flat_map(of);
    all.map(|(gateway, number)| tokio::spawn(Client::new(testbed.clone(), gateway, number).run())).collect()
}

/// Stops all gateways under traffic, and waits for their ends and for what clients still wait for.
async fn end(testbed: &Arc<Testbed>, clients: Vec<JoinHandle<()>>, faults: Vec<JoinHandle<()>>) {
    testbed.stopping.store(true, SeqCst);
    let stops: Vec<JoinHandle<()>> = (0..testbed.schedule.gateways)
        .map(|gateway| {
            let testbed = testbed.clone();
            tokio::spawn(async move { testbed.gateways[gateway].stop(&testbed).await })
        })
        .collect();
    if !testbed.schedule.stop.steady_clients {
        tokio::time::sleep(AFTER_STOP).await;
        testbed.over.store(true, SeqCst);
    }
    for stop in stops {
        let _ = stop.await;
    }
    testbed.over.store(true, SeqCst);
    // A restart under way may have started one more process meanwhile.
    for fault in faults {
        let _ = tokio::time::timeout(CLIENTS_END, fault).await;
    }
    for gateway in &testbed.gateways {
        gateway.stop(testbed).await;
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
async fn watch_lag(testbed: Arc<Testbed>) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(LAG_LOOK).await;
        let late = before.elapsed().saturating_sub(LAG_LOOK);
        if late > LAG_TOLD {
            testbed.history.record_event(Event::Lagged { by_us: late.as_micros() as u64 });
        }
    }
}
