//! The processes under test: their configurations, signals, logs and control files.

use crate::history::{Event, GatewayRun};
use crate::schedule::{Schedule, StopSignal};
use crate::testbed::{Testbed, link_address, locked};
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

/// How the deploy file starts the program: a SIGHUP that comes before the program listens to signals is ignored, as the
/// configuration is still to be read then; by itself it would end the process.
const RUN: &str = "trap '' HUP; exec \"$0\"";
/// Descriptors of a gateway, and of one with a crowd.
const DESCRIPTORS: usize = 320;
const DESCRIPTORS_OF_CROWD: usize = 1024;
/// A start that takes longer has failed.
const READY_WITHIN: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(20);
/// More of a log than this is not kept.
const LONGEST_LOG: usize = 4 * 1024 * 1024;

/// What the supervisor knows of a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    Starting,
    Ready,
    /// Told to stop at this time.
    Stopping(Instant),
    Down,
}

pub struct Gateway {
    pub index: usize,
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

    pub fn run(&self) -> u32 {
        self.run.load(SeqCst)
    }

    pub fn phase(&self) -> Phase {
        locked(&self.state).phase
    }

    pub async fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect(link_address(self.index, self.port)).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    fn file(&self, testbed: &Testbed, ending: &str) -> PathBuf {
        testbed.folder.join(format!("g{}.{ending}", self.index))
    }

    fn configuration(&self, testbed: &Testbed, run: GatewayRun, stale: bool) -> String {
        let schedule = &testbed.schedule;
        json!({
            "name": format!("g{}", self.index), "listen": link_address(self.index, self.port).to_string(),
            "seed": format!("{:016x}", schedule.seed.wrapping_mul(1000) + self.index as u64),
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": self.descriptors(schedule)},
            "bus": link_address(self.index, testbed.bus.port()).to_string(),
            "known": testbed.bus.known(testbed, run, stale), "settings": schedule.settings(self.index),
        })
        .to_string()
    }

    /// Writes the configuration anew, a half first, and tells the program.
    pub async fn reload(&self, testbed: &Testbed) {
        let text = self.configuration(testbed, testbed.run_of(self.index), false);
        let file = self.file(testbed, "json");
        let _ = tokio::fs::write(&file, &text.as_bytes()[..text.len() / 2]).await;
        self.signal(Signal::SIGHUP);
        tokio::time::sleep(Duration::from_millis(30)).await;
        let _ = tokio::fs::write(&file, &text).await;
        self.signal(Signal::SIGHUP);
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = locked(&self.state).pid {
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Steps the program's wall clock.
    pub fn step_clock(&self, testbed: &Testbed, offset: Duration, back: bool) {
        let offset_us = offset.as_micros() as i64 * if back { -1 } else { 1 };
        let _ = self.fault_control(testbed).and_then(|control| control.set_wall_offset_us(offset_us));
    }

    /// Sets how often system calls of these kinds fail.
    pub fn fail_calls(&self, testbed: &Testbed, rates: &[(FaultKind, f64)]) {
        let Ok(control) = self.fault_control(testbed) else { return };
        for (kind, share) in rates {
            let _ = control.set_rate(*kind, *share);
        }
    }

    fn fault_control(&self, testbed: &Testbed) -> std::io::Result<FaultControl> {
        FaultControl::open(&self.file(testbed, "control"))
    }

    /// Starts the process and returns at once; it is ready later.
    pub fn start(&self, testbed: &Arc<Testbed>, stale: bool) -> std::io::Result<()> {
        let run = GatewayRun { gateway: self.index, run: self.run.fetch_add(1, SeqCst) + 1 };
        let config = self.file(testbed, "json");
        std::fs::write(&config, self.configuration(testbed, run, stale))?;
        let control = self.fault_control(testbed)?;
        let fault_seed = testbed.schedule.seed * 1009 + self.index as u64;
        let mut child = Command::new("/bin/sh")
            .args(["-c", RUN])
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
            tokio::spawn(watch(testbed.clone(), run, out, Some(log)));
        }
        if let Some(err) = child.stderr.take() {
            tokio::spawn(watch(testbed.clone(), run, err, None));
        }
        let testbed = testbed.clone();
        tokio::spawn(async move {
            let gateway = &testbed.gateways[run.gateway];
            tokio::select! {
                ended = child.wait() => gateway.ended(&testbed, run, ended),
                () = gateway.becomes_ready(&testbed, run) => {
                    let ended = child.wait().await;
                    gateway.ended(&testbed, run, ended);
                }
            }
        });
        Ok(())
    }

    fn ended(&self, testbed: &Testbed, run: GatewayRun, ended: std::io::Result<std::process::ExitStatus>) {
        let mut state = locked(&self.state);
        let told = matches!(state.phase, Phase::Stopping(_));
        (state.phase, state.pid) = (Phase::Down, None);
        drop(state);
        let status = ended.map_or_else(|e| e.to_string(), |status| status.to_string());
        let clean = told && status == "exit status: 0";
        testbed.history.record_event(Event::GatewayEnded { run, status, clean });
    }

    async fn becomes_ready(&self, testbed: &Testbed, run: GatewayRun) {
        let since = Instant::now();
        while since.elapsed() < READY_WITHIN {
            if self.is_well().await.unwrap_or(false) {
                let mut state = locked(&self.state);
                if state.phase == Phase::Starting {
                    state.phase = Phase::Ready;
                    drop(state);
                    testbed.history.record_event(Event::GatewayReady { run });
                }
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn is_well(&self) -> std::io::Result<bool> {
        let mut stream = self.connect().await?;
        stream.write_all(b"\x94\x00\x01\xa6isWell\x91\x80").await?;
        let mut answer = [0; 6];
        tokio::time::timeout(Duration::from_millis(500), stream.read_exact(&mut answer)).await??;
        Ok(answer[5] == 0xc3)
    }

    fn descriptors(&self, schedule: &Schedule) -> usize {
        let is_crowded = schedule.client_count(self.index) > schedule.clients_per_gateway;
        if is_crowded { DESCRIPTORS_OF_CROWD } else { DESCRIPTORS }
    }

    /// A planned stop; returns when the process has ended, which is forced in the end.
    pub async fn stop(&self, testbed: &Testbed) {
        let run = testbed.run_of(self.index);
        let begun = Instant::now();
        let mut told = None;
        let mut signals = testbed.schedule.stop.signals.iter().peekable();
        while self.phase() != Phase::Down {
            while let Some(due) = signals.next_if(|next| begun.elapsed() >= Duration::from_millis(next.at_ms))
            {
                if due.signal != StopSignal::Reload && told.is_none() {
                    if !self.begin_stop(testbed, run) {
                        return;
                    }
                    told = Some(Instant::now());
                }
                self.signal(match due.signal {
                    StopSignal::Reload => Signal::SIGHUP,
                    StopSignal::Terminate => Signal::SIGTERM,
                    StopSignal::Interrupt => Signal::SIGINT,
                });
            }
            if told.is_some_and(|told| told.elapsed() > testbed.schedule.kill_after()) {
                // The supervisor of a real fleet would do the same; whatever is unanswered then is lost.
                self.signal(Signal::SIGKILL);
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Enters that the process is told to stop; false if it has been told before, or has ended.
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

    pub async fn kill(&self, testbed: &Testbed) {
        testbed.history.record_event(Event::GatewayKilled { run: testbed.run_of(self.index) });
        self.signal(Signal::SIGKILL);
        while self.phase() != Phase::Down {
            tokio::time::sleep(LOOK).await;
        }
    }

    pub async fn freeze(&self, testbed: &Testbed, time: Duration) {
        let run = testbed.run_of(self.index);
        testbed.history.record_event(Event::GatewayFrozen { run });
        self.signal(Signal::SIGSTOP);
        tokio::time::sleep(time).await;
        self.signal(Signal::SIGCONT);
        testbed.history.record_event(Event::GatewayThawed { run });
    }
}

/// Keeps a log and looks for what must not be in it.
async fn watch(testbed: Arc<Testbed>, run: GatewayRun, from: impl AsyncRead + Unpin, log: Option<PathBuf>) {
    let mut lines = BufReader::new(from).lines();
    let (mut kept, mut bytes) = (Vec::new(), 0);
    while let Ok(Some(line)) = lines.next_line().await {
        // Whatever comes on standard error is a panic or the reason of a failed start.
        let odd = log.is_none() || line.contains(" ERROR ") || line.contains("panicked");
        if odd {
            testbed.history.record_event(Event::ErrorLogged { run, line: line.clone() });
        }
        if bytes < LONGEST_LOG {
            bytes += line.len();
            kept.push(format!("{} {line}", testbed.history.now()));
        }
    }
    if let Some(log) = log {
        let _ = tokio::fs::write(log, kept.join("\n")).await;
    }
}
