//! Simulated engines: they read dispatches, record them in the history, wait for the duration of the work and answer,
//! unless a fault is injected.

use crate::answers::rows;
use crate::history::{Dispatch, DispatchEnd, Event};
use crate::testbed::{Testbed, gateway_of, locked};
use rand::Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Interval of the progress messages about a running job.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
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
                        tokio::spawn(engine.clone().serve(testbed.clone(), stream, gateway, run));
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

    /// Serves a connection from a gateway until it ends or `run_sender` changes.
    async fn serve(self: Arc<Self>, testbed: Arc<Testbed>, stream: TcpStream, gateway: usize, run: u32) {
        let from = testbed.run_of(gateway);
        let _ = stream.set_nodelay(true);
        let std = stream.into_std().and_then(|std| {
            // With a linger time of 0, dropping the connection resets it.
            socket2::SockRef::from(&std).set_linger(Some(Duration::ZERO))?;
            TcpStream::from_std(std)
        });
        let Ok(stream) = std else { return };
        let mut runs = self.run_sender.subscribe();
        let (mut reader, mut writer) = stream.into_split();
        let (answers, mut pending_answers) = mpsc::unbounded_channel::<Vec<u8>>();
        let engine = self.clone();
        let writing = tokio::spawn(async move {
            while let Some(bytes) = pending_answers.recv().await {
                engine.wait_until_unblocked(gateway).await;
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        let mut connection =
            Connection { engine: self.clone(), testbed, gateway, from, run, answers, open: HashMap::new() };
        let (mut bytes, mut buffer) = (Vec::new(), vec![0; 16 * 1024]);
        loop {
            tokio::select! {
                read = reader.read(&mut buffer) => match read {
                    Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
                    _ => break,
                },
                _ = runs.changed() => break,
            }
            let consumed = connection.handle_messages(&bytes);
            bytes.drain(..consumed);
        }
        for (_, job) in connection.open.drain() {
            job.cancelled.store(true, SeqCst);
            connection.testbed.history.record_dispatch_end(job.dispatch_index, DispatchEnd::Disconnected);
        }
        writing.abort();
    }
}

/// Listens with a short backlog, so that connecting takes long or fails while no connections are accepted.
fn listen(port: u16) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind((std::net::Ipv4Addr::UNSPECIFIED, port).into())?;
    socket.listen(LISTEN_BACKLOG)
}

/// One connection from a gateway.
struct Connection {
    engine: Arc<Engine>,
    testbed: Arc<Testbed>,
    gateway: usize,
    /// The gateway process that opened it.
    from: crate::history::GatewayRun,
    /// The engine's run that accepted it.
    run: u32,
    answers: mpsc::UnboundedSender<Vec<u8>>,
    /// Dispatches that the gateway has not ended, by request id.
    open: HashMap<String, OpenDispatch>,
}

struct OpenDispatch {
    /// Index of the dispatch in the history.
    dispatch_index: usize,
    cancelled: Arc<AtomicBool>,
}

impl Connection {
    /// Handles all complete messages and returns their length in bytes.
    fn handle_messages(&mut self, bytes: &[u8]) -> usize {
        let mut consumed = 0;
        while let Some(end) = bytes[consumed..].iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&bytes[consumed..consumed + end]).trim_end().to_string();
            let words: Vec<&str> = line.split(' ').collect();
            let mut message_bytes = end + 1;
            match words[..] {
                ["REQ", id, fields, length] => {
                    let length: usize = length.parse().unwrap_or(0);
                    if bytes.len() < consumed + message_bytes + length + 2 {
                        return consumed;
                    }
                    message_bytes += length + 2;
                    self.dispatch(id, fields);
                }
                ["STOP" | "END", id] => {
                    if let Some(job) = self.open.remove(id) {
                        job.cancelled.store(true, SeqCst);
                        self.testbed.history.record_dispatch_end(job.dispatch_index, DispatchEnd::Stopped);
                    }
                }
                ["FETCH", id, page] => self.fetch(id, page.parse().unwrap_or(0)),
                ["HELO" | "STAT", tag] => self.probe(tag),
                _ => {}
            }
            consumed += message_bytes;
        }
        consumed
    }

    fn dispatch(&mut self, id: &str, fields: &str) {
        let field = |name: &str| {
            let fields = fields.split(',').filter_map(|field| field.split_once('='));
            fields.into_iter().find(|(key, _)| *key == name).map_or("", |(_, value)| value)
        };
        let class = field("cls").to_string();
        let dispatch_index = self.testbed.history.record_dispatch(Dispatch {
            id: id.to_string(),
            class: class.clone(),
            from: self.from,
            engine: self.engine.index,
            engine_run: self.run,
            received_at: self.testbed.history.now(),
            limit_ms: field("limit").parse().unwrap_or(0),
            end: None,
        });
        let cancelled = Arc::new(AtomicBool::new(false));
        self.open.insert(id.to_string(), OpenDispatch { dispatch_index, cancelled: cancelled.clone() });
        let known_class = self.testbed.schedule.classes.iter().find(|known| known.name == class);
        let work = Duration::from_millis(known_class.map_or(20, |known| known.work_ms));
        let execution = Execution {
            engine: self.engine.clone(),
            testbed: self.testbed.clone(),
            gateway: self.gateway,
            engine_run: self.run,
            id: id.to_string(),
            dispatch_index,
            cancelled,
            answers: self.answers.clone(),
        };
        tokio::spawn(execution.run(work));
    }

    fn fetch(&self, id: &str, page: u32) {
        let rows = rows(id, self.engine.index, self.run);
        let answer = match rows.get(page as usize) {
            Some(row) => message(id, "PART", &format!("sheet={page}"), row),
            None => message(id, "FAULT", "-", ""),
        };
        let _ = self.answers.send(answer);
    }

    fn probe(&self, tag: &str) {
        let threads = 2.0 * self.testbed.schedule.cores;
        let used = f64::from(self.engine.inflight.load(SeqCst)) / threads;
        let _ = self.answers.send(message(tag, "PONG", &format!("meter=util:{:.2}", used.min(1.0)), ""));
    }
}

fn message(id: &str, word: &str, fields: &str, payload: &str) -> Vec<u8> {
    format!("{id} {word} {fields} {}\r\n{payload}\r\n", payload.len()).into_bytes()
}

/// The execution of one dispatch.
struct Execution {
    engine: Arc<Engine>,
    testbed: Arc<Testbed>,
    gateway: usize,
    /// The engine's run that got the dispatch.
    engine_run: u32,
    id: String,
    /// Index of the dispatch in the history.
    dispatch_index: usize,
    cancelled: Arc<AtomicBool>,
    answers: mpsc::UnboundedSender<Vec<u8>>,
}

impl Execution {
    /// Runs a job that typically takes this long on an idle engine. It takes longer if more jobs are in flight than the
    /// engine has threads, which are two for each core.
    async fn run(self, work: Duration) {
        self.engine.wait_until_unblocked(self.gateway).await;
        if self.is_cancelled() {
            return;
        }
        if locked(&self.engine.state).job_failures.occurs() {
            return self.answer_failure();
        }
        let before = self.engine.inflight.fetch_add(1, SeqCst);
        let load = f64::from(before + 1) / (2.0 * self.testbed.schedule.cores);
        let mut left = work.mul_f64(load.max(1.0) * rand::rng().random_range(0.5..1.6));
        let total = left;
        while left > PROGRESS_INTERVAL {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
            left -= PROGRESS_INTERVAL;
            let share = 1.0 - left.as_secs_f64() / total.as_secs_f64();
            self.send(message(&self.id, "INFO", &format!("tell=advance,val={share:.2}"), ""));
        }
        tokio::time::sleep(left).await;
        self.engine.wait_until_unblocked(self.gateway).await;
        self.engine.inflight.fetch_sub(1, SeqCst);
        if self.is_cancelled() {
            return;
        }
        if locked(&self.engine.state).answer_corruption.occurs() {
            return self.answer_corrupt().await;
        }
        self.answer_result();
    }

    fn is_cancelled(&self) -> bool {
        self.cancelled.load(SeqCst) || self.engine.run() != self.engine_run
    }

    fn send(&self, bytes: Vec<u8>) {
        let _ = self.answers.send(bytes);
    }

    fn record_end(&self, end: DispatchEnd) {
        self.testbed.history.record_dispatch_end(self.dispatch_index, end);
    }

    fn result_message(&self) -> Vec<u8> {
        let rows = rows(&self.id, self.engine.index, self.engine_run);
        let fields = format!("sheets={},toil=20.0,room=64,meter=util:0.3", rows.len());
        message(&self.id, "HIT", &fields, &rows[0])
    }

    fn answer_result(&self) {
        self.record_end(DispatchEnd::Done);
        self.send(self.result_message());
    }

    /// Answers that the job was rejected or failed.
    fn answer_failure(&self) {
        let (word, end) = match rand::rng().random_range(0..4) {
            0 => ("SHED", DispatchEnd::Shed),
            1 => ("LATE", DispatchEnd::Late),
            _ => ("FAULT", DispatchEnd::Fault),
        };
        self.record_end(end);
        self.send(message(&self.id, word, "-", ""));
    }

    /// Answers in one of several ways that break the protocol or are slow.
    async fn answer_corrupt(&self) {
        let id = &self.id;
        let variant = rand::rng().random_range(0..8);
        match variant {
            0 => self.send(b"what is this\r\n".to_vec()),
            1 => self.send(format!("{id} HIT sheets=1 40\r\nhalf a row").into_bytes()),
            2 => self.send(format!("{id} HIT sheets=1 999999\r\n").into_bytes()),
            3 => {
                self.answer_result();
                self.send(self.result_message());
            }
            4 => {
                self.answer_result();
                tokio::time::sleep(Duration::from_millis(30)).await;
                self.send(self.result_message());
            }
            // Noise in the name of the field for the number of pages.
            5 => {
                let rows = rows(id, self.engine.index, self.engine_run);
                self.send(message(id, "HIT", &format!("sheetp={}", rows.len()), &rows[0]));
            }
            // Contradictory: progress, then the answer that the job never ran.
            6 => {
                self.send(message(id, "INFO", "tell=advance,val=0.70", ""));
                self.record_end(DispatchEnd::Fault);
                self.send(message(id, "LATE", "-", ""));
            }
            _ => {
                for byte in self.result_message() {
                    self.send(vec![byte]);
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
                self.record_end(DispatchEnd::Done);
            }
        }
    }
}

/// The address under which a gateway reaches an engine.
pub fn address(engine: &Engine, gateway: usize) -> SocketAddr {
    crate::testbed::gateway_address(gateway, engine.port())
}
