//! The event bus: numbered changes of the list of engines, told to each gateway on its own connection.

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

const HEARTBEAT: Duration = Duration::from_secs(1);
/// The port of a bus that went down is free after this time at the latest.
const PORT_FREE: Duration = Duration::from_secs(2);
/// A new event is looked for this often.
const LOOK: Duration = Duration::from_millis(20);

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
    /// Unix milliseconds of a late start, or 0.
    pub started_at_ms: i64,
}

impl Change {
    /// A change of an engine's present run.
    pub fn of(engine: &Engine, lifecycle: Lifecycle, started_at_ms: i64) -> Change {
        Change { engine: engine.index, run: engine.run(), lifecycle, started_at_ms }
    }
}

#[derive(Default)]
pub struct Bus {
    state: Mutex<State>,
    /// Changed when the bus goes down or moves: all its connections end.
    epochs: watch::Sender<u32>,
}

#[derive(Default)]
struct State {
    /// Event N is at position N - 1; the first holds the whole list.
    events: Vec<Vec<Change>>,
    port: u16,
    /// Watches that were open at the first time say nothing until the second.
    silent: Option<(Instant, Instant)>,
}

impl Bus {
    pub fn port(&self) -> u16 {
        locked(&self.state).port
    }

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

    /// Open watches say nothing for a while.
    pub fn fall_silent(&self, time: Duration) {
        let now = Instant::now();
        locked(&self.state).silent = Some((now, now + time));
    }

    /// Ends all connections and refuses new ones.
    pub fn stop(&self) {
        self.epochs.send_modify(|epoch| *epoch += 1);
    }

    /// Listens, at the old port or a new one.
    pub async fn start(&self, testbed: &Arc<Testbed>, same_port: bool) -> std::io::Result<()> {
        let port = if same_port { self.port() } else { testbed.new_port() };
        let began = Instant::now();
        let listener = loop {
            match TcpListener::bind(("0.0.0.0", port)).await {
                Ok(listener) => break listener,
                Err(_) if began.elapsed() < PORT_FREE => tokio::time::sleep(LOOK).await,
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
                        tokio::spawn(feed(testbed.clone(), stream, gateway, epoch));
                    }
                    _ = epochs.changed() => return,
                }
            }
        });
        Ok(())
    }

    /// The list after the first `offset` events.
    fn list(&self, offset: usize) -> Vec<Change> {
        let mut all: BTreeMap<usize, Change> = BTreeMap::new();
        for change in locked(&self.state).events[..offset].iter().flatten() {
            all.insert(change.engine, *change);
        }
        all.into_values().filter(|change| change.lifecycle != Lifecycle::Terminated).collect()
    }

    /// What a gateway is told at its start: the list as it is, or as it was at the beginning.
    pub fn known(&self, testbed: &Testbed, to: GatewayRun, stale: bool) -> Json {
        let all = locked(&self.state).events.len();
        let offset = if stale { 1 } else { all };
        let list = self.list(offset);
        tell(testbed, to, &list);
        json!({"offset": offset, "batch": [render(testbed, to.gateway, offset, true, &list)]})
    }

    fn after(&self, offset: usize) -> Vec<(usize, Vec<Change>)> {
        let state = locked(&self.state);
        state.events.iter().enumerate().skip(offset).map(|(at, event)| (at + 1, event.clone())).collect()
    }

    fn is_silent(&self, opened: Instant) -> bool {
        locked(&self.state).silent.is_some_and(|(from, until)| opened < from && Instant::now() < until)
    }
}

fn tell(testbed: &Testbed, to: GatewayRun, changes: &[Change]) {
    for change in changes {
        let drained = change.lifecycle != Lifecycle::InService;
        testbed.history.record_event(Event::Notified { to, engine: change.engine, run: change.run, drained });
    }
}

fn render(testbed: &Testbed, gateway: usize, offset: usize, reset: bool, changes: &[Change]) -> Json {
    let entries: Vec<Json> = changes.iter().filter_map(|change| entry(testbed, gateway, change)).collect();
    json!({"offset": offset, "topology": {"generation": offset, "reset": reset, "instances": entries}})
}

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

/// Tells one gateway what it asks for, until the bus goes down.
async fn feed(testbed: Arc<Testbed>, stream: TcpStream, gateway: usize, epoch: u32) {
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
        let (opened, mut beaten) = (
            Instant::now(),
            Instant::now().checked_sub(HEARTBEAT).expect("the machine runs for longer than a heartbeat"),
        );
        loop {
            if testbed.bus.is_silent(opened) {
                tokio::time::sleep(LOOK).await;
                continue;
            }
            for (number, changes) in testbed.bus.after(offset) {
                let line = format!("{}\n", render(&testbed, gateway, number, number == 1, &changes));
                // Some events come in two pieces.
                let cut = if rand::rng().random_bool(0.2) { line.len() / 2 } else { 0 };
                stream.get_mut().write_all(&line.as_bytes()[..cut]).await?;
                tokio::time::sleep(Duration::from_millis(if cut > 0 { 5 } else { 0 })).await;
                stream.get_mut().write_all(&line.as_bytes()[cut..]).await?;
                tell(&testbed, to, &changes);
                (offset, beaten) = (number, Instant::now());
            }
            if beaten.elapsed() >= HEARTBEAT {
                beaten = Instant::now();
                stream.get_mut().write_all(format!("{{\"offset\":{offset}}}\n").as_bytes()).await?;
            }
            tokio::time::sleep(LOOK).await;
        }
        #[allow(unreachable_code)] // names the type of the block's errors
        std::io::Result::Ok(())
    };
    tokio::select! {
        _ = serving => {}
        _ = epochs.changed() => {}
    }
}
