//! Executes a play: one schedule, from the start of its processes to its verdict.

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

/// How long clients continue after the start of the final stop, unless they are steady (see `StopPlan`).
const TRAFFIC_AFTER_STOP: Duration = Duration::from_millis(700);
/// Maximum wait for each fault to end, and then for all clients together.
const END_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval at which the soak measures how late its own timers are.
const LAG_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Timers that are late by more than this are recorded.
const MIN_RECORDED_LAG: Duration = Duration::from_millis(10);
/// Interval at which waiting tasks check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A play that has ended.
pub struct Played {
    pub schedule: Schedule,
    pub records: Records,
    pub verdict: Verdict,
}

/// Why a play could not start.
#[derive(Debug, thiserror::Error)]
pub enum PlayError {
    #[error("cannot prepare {0}: {1}")]
    Folder(PathBuf, std::io::Error),
    #[error("cannot listen: {0}")]
    Listen(std::io::Error),
    #[error("cannot start gateway {0}: {1}")]
    Start(usize, std::io::Error),
}

/// Plays a schedule: starts the engines, the event bus and the gateways, lets clients send requests while the faults
/// are injected, stops everything and checks the records. The play uses the ports from `port` on.
pub async fn play(schedule: Schedule, folder: &Path, program: &Path, port: u16) -> Result<Played, PlayError> {
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder).map_err(|e| PlayError::Folder(folder.to_path_buf(), e))?;
    let traffic_end = Duration::from_millis(schedule.traffic_until_ms);
    let testbed = Arc::new(Testbed::new(schedule, folder.to_path_buf(), program.to_path_buf(), port));
    let lag = tokio::spawn(watch_lag(testbed.clone()));
    start_engines(&testbed).await?;
    testbed.bus.start(&testbed, false).await.map_err(PlayError::Listen)?;
    for gateway in &testbed.gateways {
        gateway.start(&testbed, false).map_err(|e| PlayError::Start(gateway.index, e))?;
    }
    tokio::time::sleep_until((testbed.started + TRAFFIC_START).into()).await;
    let clients = start_clients(&testbed);
    let faults = faults::inject_all(&testbed);
    tokio::time::sleep_until((testbed.started + traffic_end).into()).await;
    end_play(&testbed, clients, faults).await;
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
    let numbers = |gateway| (0..testbed.schedule.client_count(gateway)).map(move |number| (gateway, number));
    let all = (0..testbed.schedule.gateways).flat_map(numbers);
    all.map(|(gateway, number)| tokio::spawn(Client::new(testbed.clone(), gateway, number).run())).collect()
}

/// Stops all gateways during traffic, and waits for the gateways, faults and clients to end.
async fn end_play(testbed: &Arc<Testbed>, clients: Vec<JoinHandle<()>>, faults: Vec<JoinHandle<()>>) {
    testbed.final_stop.store(true, SeqCst);
    let stops: Vec<JoinHandle<()>> = (0..testbed.schedule.gateways)
        .map(|gateway| {
            let testbed = testbed.clone();
            tokio::spawn(async move { testbed.gateways[gateway].stop(&testbed).await })
        })
        .collect();
    if !testbed.schedule.stop.steady_clients {
        tokio::time::sleep(TRAFFIC_AFTER_STOP).await;
        testbed.traffic_ended.store(true, SeqCst);
    }
    for stop in stops {
        let _ = stop.await;
    }
    testbed.traffic_ended.store(true, SeqCst);
    // A fault that restarts gateways may have started another process during the stop.
    for fault in faults {
        let _ = tokio::time::timeout(END_TIMEOUT, fault).await;
    }
    for gateway in &testbed.gateways {
        gateway.stop(testbed).await;
        while gateway.phase() != Phase::Down {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    let deadline = Instant::now() + END_TIMEOUT;
    for client in clients {
        let _ = tokio::time::timeout_at(deadline.into(), client).await;
    }
    // Leaves time to write the logs, which happens after the processes have ended.
    tokio::time::sleep(POLL_INTERVAL * 5).await;
}

/// Records when the soak's own timers are late, as recorded times are unreliable then.
async fn watch_lag(testbed: Arc<Testbed>) {
    loop {
        let before = Instant::now();
        tokio::time::sleep(LAG_CHECK_INTERVAL).await;
        let late = before.elapsed().saturating_sub(LAG_CHECK_INTERVAL);
        if late > MIN_RECORDED_LAG {
            testbed.history.record_event(Event::Lagged { by_us: late.as_micros() as u64 });
        }
    }
}
