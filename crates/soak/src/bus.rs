//! The event bus: sends numbered changes of the list of engines to each gateway, on a connection that the gateway
//! opens.

use crate::engine::{self, Engine};
use crate::history::{Event, GatewayRun};
use crate::schedule::Schedule;
use crate::testbed::{Testbed, gateway_of, locked};
use rand::Rng;
use serde_json::{Value as Json, json};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Interval of the heartbeats on a connection without new events.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum wait for the port of a bus that was stopped.
const PORT_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which connections look for new events.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The state of an engine as the event bus lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    InService,
    Terminating,
    Terminated,
}

/// One change of one engine.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub engine: usize,
    pub run: u32,
    pub lifecycle: Lifecycle,
    /// Unix time (ms) of a start during the play; 0 for an earlier start, and for changes that are no start.
    pub started_at_ms: i64,
}

impl Change {
    /// A change of an engine's current run.
    pub fn of(engine: &Engine, lifecycle: Lifecycle, started_at_ms: i64) -> Change {
        Change { engine: engine.index, run: engine.run(), lifecycle, started_at_ms }
    }
}

/// The event bus of a play.
#[derive(Default)]
pub struct Bus {
    state: Mutex<State>,
    /// Increased when the bus is stopped, which ends all its connections.
    epochs: watch::Sender<u32>,
}

#[derive(Default)]
struct State {
    /// Event N is at position N - 1. The first one holds all engines of the start.
    events: Vec<Vec<Change>>,
    port: u16,
    /// Connections that were open at the first time get no messages until the second.
    silent: Option<(Instant, Instant)>,
}

impl Bus {
    pub fn port(&self) -> u16 {
        locked(&self.state).port
    }

    /// Adds an event with these changes.
    pub fn publish(&self, testbed: &Testbed, changes: Vec<Change>) {
        for change in &changes {
            let (engine, run) = (change.engine, change.run);
            testbed.history.record_event(match change.lifecycle {
                Lifecycle::InService => Event::ListedInService { engine, run },
                Lifecycle::Terminating | Lifecycle::Terminated => Event::Drained { engine, run },
            });
        }
        locked(&self.state).events.push(changes);
    }

    /// Makes the bus send nothing for this time on the connections that are open now.
    pub fn silence_connections(&self, time: Duration) {
        let now = Instant::now();
        locked(&self.state).silent = Some((now, now + time));
    }

    /// Ends all connections and refuses new ones.
    pub fn stop(&self) {
        self.epochs.send_modify(|epoch| *epoch += 1);
    }

    /// Starts to listen, on the previous port or on a new one.
    pub async fn start(&self, testbed: &Arc<Testbed>, same_port: bool) -> std::io::Result<()> {
        let port = if same_port { self.port() } else { testbed.new_port() };
        let start = Instant::now();
        let listener = loop {
            match TcpListener::bind(("0.0.0.0", port)).await {
                Ok(listener) => break listener,
                Err(_) if start.elapsed() < PORT_RELEASE_TIMEOUT => tokio::time::sleep(POLL_INTERVAL).await,
                Err(e) => return Err(e),
            }
        };
        locked(&self.state).port = listener.local_addr()?.port();
        let (testbed, mut epochs) = (testbed.clone(), self.epochs.subscribe());
        let epoch = *epochs.borrow_and_update();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        let Some(gateway) = stream.local_addr().ok().and_then(gateway_of) else { continue };
                        tokio::spawn(serve(testbed.clone(), stream, gateway, epoch));
                    }
                    _ = epochs.changed() => return,
                }
            }
        });
        Ok(())
    }

    /// The engines that are listed after the first `offset` events, with the latest change of each. A change that is no
    /// start keeps the time of the last one.
    fn list(&self, offset: usize) -> Vec<Change> {
        let mut all: BTreeMap<usize, Change> = BTreeMap::new();
        for change in locked(&self.state).events[..offset].iter().flatten() {
            let earlier = all.get(&change.engine).filter(|earlier| earlier.run == change.run);
            let earlier_start = earlier.map_or(0, |earlier| earlier.started_at_ms);
            let is_start = change.started_at_ms != 0;
            let started_at_ms = if is_start { change.started_at_ms } else { earlier_start };
            all.insert(change.engine, Change { started_at_ms, ..*change });
        }
        all.into_values().filter(|change| change.lifecycle != Lifecycle::Terminated).collect()
    }

    /// The list of engines in a gateway's configuration: the current one, or the first one if `is_outdated`. It is
    /// recorded as a notification of the gateway.
    pub fn initial_topology(&self, testbed: &Testbed, to: GatewayRun, is_outdated: bool) -> Json {
        let latest = locked(&self.state).events.len();
        let offset = if is_outdated { 1 } else { latest };
        let list = self.list(offset);
        record_notifications(testbed, to, &list);
        json!({"offset": offset, "batch": [render(testbed, to.gateway, offset, true, &list)]})
    }

    /// The events after the first `offset`, with their numbers.
    fn events_after(&self, offset: usize) -> Vec<(usize, Vec<Change>)> {
        let state = locked(&self.state);
        state.events.iter().enumerate().skip(offset).map(|(at, event)| (at + 1, event.clone())).collect()
    }

    fn is_silent(&self, opened: Instant) -> bool {
        locked(&self.state).silent.is_some_and(|(from, until)| opened < from && Instant::now() < until)
    }
}

fn record_notifications(testbed: &Testbed, to: GatewayRun, changes: &[Change]) {
    for change in changes {
        let drained = change.lifecycle != Lifecycle::InService;
        testbed.history.record_event(Event::Notified { to, engine: change.engine, run: change.run, drained });
    }
}

/// An event as it is sent to a gateway.
fn render(testbed: &Testbed, gateway: usize, offset: usize, reset: bool, changes: &[Change]) -> Json {
    let entries: Vec<Json> = changes.iter().filter_map(|change| entry(testbed, gateway, change)).collect();
    json!({"offset": offset, "topology": {"generation": offset, "reset": reset, "instances": entries}})
}

/// One engine of an event.
fn entry(testbed: &Testbed, gateway: usize, change: &Change) -> Option<Json> {
    let engine: Arc<Engine> = testbed.engine(change.engine)?;
    let lifecycle = match change.lifecycle {
        Lifecycle::InService => "in_service",
        Lifecycle::Terminating => "terminating",
        Lifecycle::Terminated => "terminated",
    };
    Some(json!({"instanceId": engine.name(), "hostPort": engine::address(&engine, gateway).to_string(),
        "zone": Schedule::zone_name(engine.zone), "machineType": "std", "cell": testbed.schedule.cell_of(engine.index),
        "lifecycle": lifecycle, "weight": testbed.schedule.cores, "startedAtMs": change.started_at_ms}))
}

/// Serves one connection until it ends or the bus is stopped: reads the offset from which the gateway wants events,
/// then sends events and heartbeats.
async fn serve(testbed: Arc<Testbed>, stream: TcpStream, gateway: usize, epoch: u32) {
    let mut epochs = testbed.bus.epochs.subscribe();
    if *epochs.borrow_and_update() != epoch {
        return;
    }
    let to = testbed.run_of(gateway);
    let serving = async {
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let mut offset: usize = line.trim().strip_prefix("from ").and_then(|n| n.parse().ok()).unwrap_or(0);
        let (opened, mut last_sent) = (
            Instant::now(),
            // The first heartbeat is due at once.
            Instant::now()
                .checked_sub(HEARTBEAT_INTERVAL)
                .expect("the machine runs for longer than a heartbeat"),
        );
        loop {
            if testbed.bus.is_silent(opened) {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            for (number, changes) in testbed.bus.events_after(offset) {
                let line = format!("{}\n", render(&testbed, gateway, number, number == 1, &changes));
                // Some events are sent in two pieces.
                let split = if rand::rng().random_bool(0.2) { line.len() / 2 } else { 0 };
                stream.get_mut().write_all(&line.as_bytes()[..split]).await?;
                tokio::time::sleep(Duration::from_millis(if split > 0 { 5 } else { 0 })).await;
                stream.get_mut().write_all(&line.as_bytes()[split..]).await?;
                record_notifications(&testbed, to, &changes);
                (offset, last_sent) = (number, Instant::now());
            }
            if last_sent.elapsed() >= HEARTBEAT_INTERVAL {
                last_sent = Instant::now();
                stream.get_mut().write_all(format!("{{\"offset\":{offset}}}\n").as_bytes()).await?;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        #[allow(unreachable_code)] // names the type of the block's errors
        std::io::Result::Ok(())
    };
    tokio::select! {
        _ = serving => {}
        _ = epochs.changed() => {}
    }
}
