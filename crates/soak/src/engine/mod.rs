//! Simulated engines: they read dispatches, record them in the history, wait for the duration of the work and answer,
//! unless a fault is injected.

mod connection;
mod execution;
mod message;

use crate::history::Event;
use crate::testbed::{Testbed, gateway_of, locked};
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Interval at which waiting tasks check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// When accepting resumes after a pause, connections accepted within this time may have been queued during the pause.
const BACKLOG_ACCEPT_TIME: Duration = Duration::from_millis(100);
/// Maximum wait for the port of a process that has ended.
const PORT_RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 8;

/// An engine, across all runs of its process.
pub struct Engine {
    pub index: usize,
    pub zone: usize,
    state: Mutex<State>,
    inflight: AtomicU32,
    /// The number of the current run. Each notification, even one that keeps the number, closes all connections.
    run_sender: watch::Sender<u32>,
}

/// A fault that affects a random share of the jobs until a certain time.
#[derive(Clone, Copy)]
struct RandomFault {
    share: f64,
    until: Instant,
}

struct State {
    port: u16,
    alive: bool,
    hangs_until: Instant,
    /// When accepting resumes after its last pause; `None` if there was no pause.
    accepts_from: Option<Instant>,
    /// By gateway: until when its jobs are neither run nor answered.
    blocked_until: HashMap<usize, Instant>,
    job_failures: RandomFault,
    answer_corruption: RandomFault,
}

impl RandomFault {
    fn occurs(self) -> bool {
        Instant::now() < self.until && rand::rng().random_bool(self.share.clamp(0.0, 1.0))
    }
}

impl Engine {
    pub fn new(index: usize, zone: usize) -> Engine {
        let never = RandomFault { share: 0.0, until: Instant::now() };
        let state = State {
            port: 0,
            alive: false,
            hangs_until: Instant::now(),
            accepts_from: None,
            blocked_until: HashMap::new(),
            job_failures: never,
            answer_corruption: never,
        };
        Engine {
            index,
            zone,
            state: Mutex::new(state),
            inflight: AtomicU32::new(0),
            run_sender: watch::Sender::new(0),
        }
    }

    pub fn name(&self) -> String {
        format!("e{}", self.index)
    }

    pub fn port(&self) -> u16 {
        locked(&self.state).port
    }

    /// The number of the current run of the process, from 0.
    pub fn run(&self) -> u32 {
        *self.run_sender.borrow()
    }

    /// Makes the engine neither run nor answer any jobs for this time.
    pub fn hang(&self, time: Duration) {
        locked(&self.state).hangs_until = Instant::now() + time;
    }

    /// Waits until connections are accepted. Returns whether the one just accepted may have been queued during a pause.
    async fn wait_until_accepting(&self) -> bool {
        let Some(from) = locked(&self.state).accepts_from else { return false };
        tokio::time::sleep_until(from.into()).await;
        from.elapsed() < BACKLOG_ACCEPT_TIME
    }

    /// Makes the engine accept no connections for this time.
    pub fn delay_accepts(&self, time: Duration) {
        let mut state = locked(&self.state);
        state.accepts_from = state.accepts_from.max(Some(Instant::now() + time));
    }

    /// Sets the port of an engine that has not started yet. Otherwise it gets an unused one at its start.
    pub fn use_port(&self, port: u16) {
        locked(&self.state).port = port;
    }

    /// Makes the engine neither run nor answer the jobs of these gateways for this time.
    pub fn block(&self, gateways: &[usize], time: Duration) {
        let until = Instant::now() + time;
        locked(&self.state).blocked_until.extend(gateways.iter().map(|gateway| (*gateway, until)));
    }

    /// Makes the engine fail or reject this share of the jobs for this time.
    pub fn fail_jobs(&self, share: f64, time: Duration) {
        locked(&self.state).job_failures = RandomFault { share, until: Instant::now() + time };
    }

    /// Makes the engine corrupt the answers to this share of the jobs for this time.
    pub fn corrupt_answers(&self, share: f64, time: Duration) {
        locked(&self.state).answer_corruption = RandomFault { share, until: Instant::now() + time };
    }

    /// Resets all connections without ending the process.
    pub fn reset_connections(&self) {
        self.run_sender.send_modify(|_| {});
    }

    /// Ends the process: connections are reset and new ones are refused.
    pub fn die(&self, testbed: &Testbed) {
        locked(&self.state).alive = false;
        testbed.history.record_event(Event::EngineDied { engine: self.index, run: self.run() });
        self.run_sender.send_modify(|run| *run += 1);
    }

    /// Starts the process, at its old port if it had one.
    pub async fn start(self: &Arc<Self>, testbed: &Arc<Testbed>) -> std::io::Result<()> {
        let port = if self.port() == 0 { testbed.new_port() } else { self.port() };
        let start = Instant::now();
        let listener = loop {
            match listen(port) {
                Ok(listener) => break listener,
                Err(_) if start.elapsed() < PORT_RELEASE_TIMEOUT => tokio::time::sleep(POLL_INTERVAL).await,
                Err(e) => return Err(e),
            }
        };
        {
            let mut state = locked(&self.state);
            (state.port, state.alive) = (listener.local_addr()?.port(), true);
        }
        testbed.history.record_event(Event::EngineStarted { engine: self.index, run: self.run() });
        let (engine, testbed, run) = (self.clone(), testbed.clone(), self.run());
        tokio::spawn(async move {
            let mut runs = engine.run_sender.subscribe();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        if engine.wait_until_accepting().await {
                            // The system may have completed this connection during the pause, and the gateway may have
                            // sent on it since. It is closed before any of that is read.
                            continue;
                        }
                        let Some(gateway) = stream.local_addr().ok().and_then(gateway_of) else { continue };
                        let serving = connection::serve(engine.clone(), testbed.clone(), stream, gateway, run);
                        tokio::spawn(serving);
                    }
                    _ = runs.changed() => if engine.run() != run { return },
                }
            }
        });
        Ok(())
    }

    /// Waits while the engine hangs or is blocked for this gateway.
    async fn wait_until_unblocked(&self, gateway: usize) {
        loop {
            let until = {
                let state = locked(&self.state);
                state.blocked_until.get(&gateway).copied().unwrap_or(state.hangs_until).max(state.hangs_until)
            };
            if Instant::now() >= until {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Listens with a short backlog, so that connecting takes long or fails while no connections are accepted.
fn listen(port: u16) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind((std::net::Ipv4Addr::UNSPECIFIED, port).into())?;
    socket.listen(LISTEN_BACKLOG)
}

/// The address under which a gateway reaches an engine.
pub fn address(engine: &Engine, gateway: usize) -> SocketAddr {
    crate::testbed::gateway_address(gateway, engine.port())
}
