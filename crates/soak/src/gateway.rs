//! The gateways, which are the processes under test, and their supervisor: it writes configurations and control files,
//! starts and signals the processes, and collects their logs.

use crate::history::{Event, GatewayRun};
use crate::schedule::{Schedule, StopSignal};
use crate::testbed::{Testbed, gateway_address, locked};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use pebblevane_syscall_faults::{FaultControl, FaultKind};
use serde_json::json;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncRead, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::Command;

/// Starts the program as the deploy file does. A SIGHUP that arrives before the program has installed its signal
/// handlers is ignored instead of ending the process. No change is missed, as the program reads its configuration after
/// that.
const START_SCRIPT: &str = "trap '' HUP; exec \"$0\"";
/// The maximum number of sockets that the configuration allows a gateway.
const SOCKET_LIMIT: usize = 320;
/// The same for a gateway with many more clients than the others.
const MANY_CLIENTS_SOCKET_LIMIT: usize = 1024;
/// How long a started gateway is checked for readiness. A start that takes longer has failed.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which waiting tasks check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a log that is kept (bytes). Further lines are only searched for errors.
const MAX_LOG_BYTES: usize = 4 * 1024 * 1024;

/// The state of a gateway's process as its supervisor sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Starting,
    /// Answered its first health check.
    Ready,
    /// Got SIGTERM or SIGINT at this time.
    Stopping(Instant),
    Down,
}

/// A gateway, across all runs of its process.
pub struct Gateway {
    pub index: usize,
    /// The port for clients.
    port: u16,
    run: AtomicU32,
    state: Mutex<State>,
}

struct State {
    phase: Phase,
    pid: Option<u32>,
}

impl Gateway {
    pub fn new(index: usize, port: u16) -> Gateway {
        let state = Mutex::new(State { phase: Phase::Down, pid: None });
        Gateway { index, port, run: AtomicU32::new(0), state }
    }

    /// The number of the current run of the process: 1 for the first, 0 before it.
    pub fn run(&self) -> u32 {
        self.run.load(SeqCst)
    }

    pub fn phase(&self) -> Phase {
        locked(&self.state).phase
    }

    /// Connects as a client.
    pub async fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect(gateway_address(self.index, self.port)).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn file(&self, testbed: &Testbed, ending: &str) -> PathBuf {
        testbed.folder.join(format!("g{}.{ending}", self.index))
    }

    /// The configuration file. If `is_outdated`, its list of engines is the first one that the event bus had.
    fn configuration(&self, testbed: &Testbed, run: GatewayRun, is_outdated: bool) -> String {
        let schedule = &testbed.schedule;
        json!({
            "name": format!("g{}", self.index), "listen": gateway_address(self.index, self.port).to_string(),
            "seed": format!("{:016x}", schedule.seed.wrapping_mul(1000) + self.index as u64),
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": self.socket_limit(schedule)},
            "bus": gateway_address(self.index, testbed.bus.port()).to_string(),
            "known": testbed.bus.initial_topology(testbed, run, is_outdated), "settings": schedule.settings(self.index),
        })
        .to_string()
    }

    /// Writes the current configuration and has the program reload it. Before that, the program is made to reload an
    /// incomplete file.
    pub async fn reload(&self, testbed: &Testbed) {
        let text = self.configuration(testbed, testbed.run_of(self.index), false);
        let file = self.file(testbed, "json");
        let _ = tokio::fs::write(&file, &text.as_bytes()[..text.len() / 2]).await;
        self.signal(Signal::SIGHUP);
        tokio::time::sleep(Duration::from_millis(30)).await;
        let _ = tokio::fs::write(&file, &text).await;
        self.signal(Signal::SIGHUP);
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = locked(&self.state).pid {
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Sets the program's wall clock forward or backward from the system's by this offset.
    pub fn step_clock(&self, testbed: &Testbed, offset: Duration, backward: bool) {
        let offset_us = offset.as_micros() as i64 * if backward { -1 } else { 1 };
        let _ = self.fault_control(testbed).and_then(|control| control.set_wall_offset_us(offset_us));
    }

    /// Sets the share of system calls that fail in each of these ways.
    pub fn fail_calls(&self, testbed: &Testbed, rates: &[(FaultKind, f64)]) {
        let Ok(control) = self.fault_control(testbed) else { return };
        for (kind, share) in rates {
            let _ = control.set_rate(*kind, *share);
        }
    }

    fn fault_control(&self, testbed: &Testbed) -> std::io::Result<FaultControl> {
        FaultControl::open(&self.file(testbed, "control"))
    }

    /// Starts the process and returns before it is ready. For `is_outdated`, see [`Gateway::configuration`].
    pub fn start(&self, testbed: &Arc<Testbed>, is_outdated: bool) -> std::io::Result<()> {
        let run = GatewayRun { gateway: self.index, run: self.run.fetch_add(1, SeqCst) + 1 };
        let config = self.file(testbed, "json");
        std::fs::write(&config, self.configuration(testbed, run, is_outdated))?;
        let control = self.fault_control(testbed)?;
        let fault_seed = testbed.schedule.seed * 1009 + self.index as u64;
        let mut child = Command::new("/bin/sh")
            .args(["-c", START_SCRIPT])
            .arg(&testbed.program)
            .env_clear()
            .env("NODE_CONFIG", &config)
            .env("MALLOC_ARENA_MAX", "1")
            .env("PEBBLEVANE_LOG", "debug")
            .envs(control.environment(fault_seed))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        {
            let mut state = locked(&self.state);
            (state.phase, state.pid) = (Phase::Starting, child.id());
        }
        testbed.history.record_event(Event::GatewayStarted { run });
        let log = testbed.folder.join(format!("g{}-{}.log", run.gateway, run.run));
        if let Some(out) = child.stdout.take() {
            tokio::spawn(collect_log(testbed.clone(), run, out, Some(log)));
        }
        if let Some(err) = child.stderr.take() {
            tokio::spawn(collect_log(testbed.clone(), run, err, None));
        }
        let testbed = testbed.clone();
        tokio::spawn(async move {
            let gateway = &testbed.gateways[run.gateway];
            tokio::select! {
                ended = child.wait() => gateway.process_ended(&testbed, run, ended),
                () = gateway.wait_until_ready(&testbed, run) => {
                    let ended = child.wait().await;
                    gateway.process_ended(&testbed, run, ended);
                }
            }
        });
        Ok(())
    }

    /// Records the end of the process.
    fn process_ended(
        &self,
        testbed: &Testbed,
        run: GatewayRun,
        ended: std::io::Result<std::process::ExitStatus>,
    ) {
        let mut state = locked(&self.state);
        let was_stopping = matches!(state.phase, Phase::Stopping(_));
        (state.phase, state.pid) = (Phase::Down, None);
        drop(state);
        let status = ended.map_or_else(|e| e.to_string(), |status| status.to_string());
        let clean = was_stopping && status == "exit status: 0";
        testbed.history.record_event(Event::GatewayEnded { run, status, clean });
    }

    /// Waits until the process passes a health check. Returns also if it does not within `START_TIMEOUT`.
    async fn wait_until_ready(&self, testbed: &Testbed, run: GatewayRun) {
        let since = Instant::now();
        while since.elapsed() < START_TIMEOUT {
            if self.check_health().await.unwrap_or(false) {
                let mut state = locked(&self.state);
                if state.phase == Phase::Starting {
                    state.phase = Phase::Ready;
                    drop(state);
                    testbed.history.record_event(Event::GatewayReady { run });
                }
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends the protocol's health check.
    async fn check_health(&self) -> std::io::Result<bool> {
        let mut stream = self.connect().await?;
        stream.write_all(b"\x94\x00\x01\xa6isWell\x91\x80").await?;
        let mut answer = [0; 6];
        tokio::time::timeout(Duration::from_millis(500), stream.read_exact(&mut answer)).await??;
        Ok(answer[5] == 0xc3)
    }

    fn socket_limit(&self, schedule: &Schedule) -> usize {
        let has_many_clients = schedule.client_count(self.index) > schedule.clients_per_gateway;
        if has_many_clients { MANY_CLIENTS_SOCKET_LIMIT } else { SOCKET_LIMIT }
    }

    /// Whether this run of the process has not ended.
    fn is_running(&self, run: GatewayRun) -> bool {
        self.run() == run.run && self.phase() != Phase::Down
    }

    async fn wait_until_ended(&self, run: GatewayRun) {
        while self.is_running(run) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends the signals of the stop plan and waits until the current run of the process has ended. Kills it after
    /// `Schedule::kill_after`. If another stop of this run is under way, only waits.
    pub async fn stop(&self, testbed: &Testbed) {
        let run = testbed.run_of(self.index);
        let start = Instant::now();
        let mut stopped_at = None;
        let mut signals = testbed.schedule.stop.signals.iter().peekable();
        while self.is_running(run) {
            while let Some(due) = signals.next_if(|next| start.elapsed() >= Duration::from_millis(next.at_ms))
            {
                if due.signal != StopSignal::Reload && stopped_at.is_none() {
                    if !self.begin_stop(testbed, run) {
                        return self.wait_until_ended(run).await;
                    }
                    stopped_at = Some(Instant::now());
                }
                self.signal(match due.signal {
                    StopSignal::Reload => Signal::SIGHUP,
                    StopSignal::Terminate => Signal::SIGTERM,
                    StopSignal::Interrupt => Signal::SIGINT,
                });
            }
            if stopped_at.is_some_and(|at| at.elapsed() > testbed.schedule.kill_after()) {
                // As the supervisor of a real deployment would do. Requests that are open then get no answer.
                self.signal(Signal::SIGKILL);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Records the start of a stop. Returns false if the process is being stopped already or has ended.
    fn begin_stop(&self, testbed: &Testbed, run: GatewayRun) -> bool {
        let mut state = locked(&self.state);
        if state.pid.is_none() || matches!(state.phase, Phase::Stopping(_)) {
            return false;
        }
        state.phase = Phase::Stopping(Instant::now());
        drop(state);
        testbed.history.record_event(Event::GatewayStopping { run });
        true
    }

    /// Kills the process and waits until it has ended.
    pub async fn kill(&self, testbed: &Testbed) {
        testbed.history.record_event(Event::GatewayKilled { run: testbed.run_of(self.index) });
        self.signal(Signal::SIGKILL);
        while self.phase() != Phase::Down {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Suspends the process for this time.
    pub async fn freeze(&self, testbed: &Testbed, time: Duration) {
        let run = testbed.run_of(self.index);
        testbed.history.record_event(Event::GatewayFrozen { run });
        self.signal(Signal::SIGSTOP);
        tokio::time::sleep(time).await;
        self.signal(Signal::SIGCONT);
        testbed.history.record_event(Event::GatewayThawed { run });
    }
}

/// Reads one output stream of a process, records its error lines in the history, and writes it to `log`. Without `log`,
/// the stream is standard error.
async fn collect_log(
    testbed: Arc<Testbed>,
    run: GatewayRun,
    from: impl AsyncRead + Unpin,
    log: Option<PathBuf>,
) {
    let mut lines = BufReader::new(from).lines();
    let (mut kept_lines, mut kept_bytes) = (Vec::new(), 0);
    while let Ok(Some(line)) = lines.next_line().await {
        // The program writes to standard error only if it panics or cannot start.
        let is_error = log.is_none() || line.contains(" ERROR ") || line.contains("panicked");
        if is_error {
            testbed.history.record_event(Event::ErrorLogged { run, line: line.clone() });
        }
        if kept_bytes < MAX_LOG_BYTES {
            kept_bytes += line.len();
            kept_lines.push(format!("{} {line}", testbed.history.now()));
        }
    }
    if let Some(log) = log {
        let _ = tokio::fs::write(log, kept_lines.join("\n")).await;
    }
}
