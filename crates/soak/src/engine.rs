//! Engines: they read dispatches, record them in the history, work for a while and answer, unless a fault is injected.

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

/// Notes of progress come this often.
const NOTE_EVERY: Duration = Duration::from_millis(250);
/// A hung engine or cut link is looked at again this often.
const LOOK: Duration = Duration::from_millis(10);
/// Within this time all that had waited in the queue are accepted.
const QUEUE_EMPTIES: Duration = Duration::from_millis(100);
/// The port of a process that has ended is free after this time at the latest.
const PORT_FREE: Duration = Duration::from_secs(2);
/// Connections that wait to be accepted.
const QUEUE: u32 = 8;

pub struct Engine {
    pub index: usize,
    pub zone: usize,
    state: Mutex<State>,
    inflight: AtomicU32,
    /// Changed to end all that the present run has open.
    runs: watch::Sender<u32>,
}

#[derive(Clone, Copy)]
struct Misbehaviour {
    share: f64,
    until: Instant,
}

struct State {
    port: u16,
    alive: bool,
    hangs_until: Instant,
    /// Accepts nothing before this, if it ever was late.
    accepts_from: Option<Instant>,
    /// By gateway: nothing passes before this.
    cut: HashMap<usize, Instant>,
    fails: Misbehaviour,
    spoils: Misbehaviour,
}

impl Misbehaviour {
    fn strikes(self) -> bool {
        Instant::now() < self.until && rand::rng().random_bool(self.share.clamp(0.0, 1.0))
    }
}

impl Engine {
    pub fn new(index: usize, zone: usize) -> Engine {
        let never = Misbehaviour { share: 0.0, until: Instant::now() };
        let state = State {
            port: 0,
            alive: false,
            hangs_until: Instant::now(),
            accepts_from: None,
            cut: HashMap::new(),
            fails: never,
            spoils: never,
        };
        Engine {
            index,
            zone,
            state: Mutex::new(state),
            inflight: AtomicU32::new(0),
            runs: watch::Sender::new(0),
        }
    }

    pub fn name(&self) -> String {
        format!("e{}", self.index)
    }

    pub fn port(&self) -> u16 {
        locked(&self.state).port
    }

    pub fn run(&self) -> u32 {
        *self.runs.borrow()
    }

    pub fn hang(&self, time: Duration) {
        locked(&self.state).hangs_until = Instant::now() + time;
    }

    /// Waits until connections are accepted again; says whether this one may have waited in the queue meanwhile.
    async fn accepts_late(&self) -> bool {
        let Some(from) = locked(&self.state).accepts_from else { return false };
        tokio::time::sleep_until(from.into()).await;
        from.elapsed() < QUEUE_EMPTIES
    }

    pub fn accept_late(&self, time: Duration) {
        let mut state = locked(&self.state);
        state.accepts_from = state.accepts_from.max(Some(Instant::now() + time));
    }

    /// Listens where another engine did.
    pub fn take_port(&self, port: u16) {
        locked(&self.state).port = port;
    }

    pub fn cut(&self, gateways: &[usize], time: Duration) {
        let until = Instant::now() + time;
        locked(&self.state).cut.extend(gateways.iter().map(|gateway| (*gateway, until)));
    }

    pub fn fail(&self, share: f64, time: Duration) {
        locked(&self.state).fails = Misbehaviour { share, until: Instant::now() + time };
    }

    pub fn spoil(&self, share: f64, time: Duration) {
        locked(&self.state).spoils = Misbehaviour { share, until: Instant::now() + time };
    }

    /// Resets all connections; the process goes on.
    pub fn reset(&self) {
        self.runs.send_modify(|_| {});
    }

    /// The process ends: connections are reset and new ones refused.
    pub fn die(&self, testbed: &Testbed) {
        locked(&self.state).alive = false;
        testbed.history.record_event(Event::EngineDied { engine: self.index, run: self.run() });
        self.runs.send_modify(|run| *run += 1);
    }

    /// Starts the process, at its old port if it had one.
    pub async fn start(self: &Arc<Self>, testbed: &Arc<Testbed>) -> std::io::Result<()> {
        let port = if self.port() == 0 { testbed.new_port() } else { self.port() };
        let began = Instant::now();
        let listener = loop {
            match listen(port) {
                Ok(listener) => break listener,
                Err(_) if began.elapsed() < PORT_FREE => tokio::time::sleep(LOOK).await,
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
            let mut runs = engine.runs.subscribe();
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        if engine.accepts_late().await {
                            // It was let in while the queue filled: whatever came on it was never read.
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

    async fn passes(&self, gateway: usize) {
        loop {
            let until = {
                let state = locked(&self.state);
                state.cut.get(&gateway).copied().unwrap_or(state.hangs_until).max(state.hangs_until)
            };
            if Instant::now() >= until {
                return;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn serve(self: Arc<Self>, testbed: Arc<Testbed>, stream: TcpStream, gateway: usize, run: u32) {
        let from = testbed.run_of(gateway);
        let _ = stream.set_nodelay(true);
        let std = stream.into_std().and_then(|std| {
            socket2::SockRef::from(&std).set_linger(Some(Duration::ZERO))?;
            TcpStream::from_std(std)
        });
        let Ok(stream) = std else { return };
        let mut runs = self.runs.subscribe();
        let (mut reader, mut writer) = stream.into_split();
        let (answers, mut to_write) = mpsc::unbounded_channel::<Vec<u8>>();
        let engine = self.clone();
        let writing = tokio::spawn(async move {
            while let Some(bytes) = to_write.recv().await {
                engine.passes(gateway).await;
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        let mut link =
            Link { engine: self.clone(), testbed, gateway, from, run, answers, open: HashMap::new() };
        let (mut bytes, mut piece) = (Vec::new(), vec![0; 16 * 1024]);
        loop {
            tokio::select! {
                read = reader.read(&mut piece) => match read {
                    Ok(count) if count > 0 => bytes.extend_from_slice(&piece[..count]),
                    _ => break,
                },
                _ = runs.changed() => break,
            }
            let done = link.read(&bytes);
            bytes.drain(..done);
        }
        for (_, job) in link.open.drain() {
            job.given_up.store(true, SeqCst);
            link.testbed.history.record_dispatch_end(job.entry, DispatchEnd::Disconnected);
        }
        writing.abort();
    }
}

/// A listener with a short queue: connections come up late where they are not accepted at once.
fn listen(port: u16) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind((std::net::Ipv4Addr::UNSPECIFIED, port).into())?;
    socket.listen(QUEUE)
}

/// One connection from a gateway.
struct Link {
    engine: Arc<Engine>,
    testbed: Arc<Testbed>,
    gateway: usize,
    from: crate::history::GatewayRun,
    run: u32,
    answers: mpsc::UnboundedSender<Vec<u8>>,
    open: HashMap<String, OpenDispatch>,
}

struct OpenDispatch {
    entry: usize,
    given_up: Arc<AtomicBool>,
}

impl Link {
    /// Deals with the whole messages at hand; says how many bytes they take.
    fn read(&mut self, bytes: &[u8]) -> usize {
        let mut done = 0;
        while let Some(end) = bytes[done..].iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&bytes[done..done + end]).trim_end().to_string();
            let words: Vec<&str> = line.split(' ').collect();
            let mut taken = end + 1;
            match words[..] {
                ["REQ", id, fields, length] => {
                    let length: usize = length.parse().unwrap_or(0);
                    if bytes.len() < done + taken + length + 2 {
                        return done;
                    }
                    taken += length + 2;
                    self.dispatch(id, fields);
                }
                ["STOP" | "END", id] => {
                    if let Some(job) = self.open.remove(id) {
                        job.given_up.store(true, SeqCst);
                        self.testbed.history.record_dispatch_end(job.entry, DispatchEnd::Stopped);
                    }
                }
                ["FETCH", id, page] => self.fetch(id, page.parse().unwrap_or(0)),
                ["HELO" | "STAT", tag] => self.probe(tag),
                _ => {}
            }
            done += taken;
        }
        done
    }

    fn dispatch(&mut self, id: &str, fields: &str) {
        let field = |name: &str| {
            let fields = fields.split(',').filter_map(|field| field.split_once('='));
            fields.into_iter().find(|(told, _)| *told == name).map_or("", |(_, value)| value)
        };
        let class = field("cls").to_string();
        let entry = self.testbed.history.record_dispatch(Dispatch {
            id: id.to_string(),
            class: class.clone(),
            from: self.from,
            engine: self.engine.index,
            engine_run: self.run,
            received_at: self.testbed.history.now(),
            limit_ms: field("limit").parse().unwrap_or(0),
            end: None,
        });
        let given_up = Arc::new(AtomicBool::new(false));
        self.open.insert(id.to_string(), OpenDispatch { entry, given_up: given_up.clone() });
        let kind = self.testbed.schedule.classes.iter().find(|kind| kind.name == class);
        let work = Duration::from_millis(kind.map_or(20, |kind| kind.work_ms));
        let job = Work {
            engine: self.engine.clone(),
            testbed: self.testbed.clone(),
            gateway: self.gateway,
            run: self.run,
            id: id.to_string(),
            entry,
            given_up,
            answers: self.answers.clone(),
        };
        tokio::spawn(job.inject(work));
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

/// One dispatch as the engine carries it out.
struct Work {
    engine: Arc<Engine>,
    testbed: Arc<Testbed>,
    gateway: usize,
    run: u32,
    id: String,
    entry: usize,
    given_up: Arc<AtomicBool>,
    answers: mpsc::UnboundedSender<Vec<u8>>,
}

impl Work {
    async fn inject(self, work: Duration) {
        self.engine.passes(self.gateway).await;
        if self.is_over() {
            return;
        }
        if locked(&self.engine.state).fails.strikes() {
            return self.fail();
        }
        let before = self.engine.inflight.fetch_add(1, SeqCst);
        let crowd = f64::from(before + 1) / (2.0 * self.testbed.schedule.cores);
        let mut left = work.mul_f64(crowd.max(1.0) * rand::rng().random_range(0.5..1.6));
        let all = left;
        while left > NOTE_EVERY {
            tokio::time::sleep(NOTE_EVERY).await;
            left -= NOTE_EVERY;
            let share = 1.0 - left.as_secs_f64() / all.as_secs_f64();
            self.say(message(&self.id, "INFO", &format!("tell=advance,val={share:.2}"), ""));
        }
        tokio::time::sleep(left).await;
        self.engine.passes(self.gateway).await;
        self.engine.inflight.fetch_sub(1, SeqCst);
        if self.is_over() {
            return;
        }
        if locked(&self.engine.state).spoils.strikes() {
            return self.spoil().await;
        }
        self.finish();
    }

    fn is_over(&self) -> bool {
        self.given_up.load(SeqCst) || self.engine.run() != self.run
    }

    fn say(&self, bytes: Vec<u8>) {
        let _ = self.answers.send(bytes);
    }

    fn ended(&self, end: DispatchEnd) {
        self.testbed.history.record_dispatch_end(self.entry, end);
    }

    fn hit(&self) -> Vec<u8> {
        let rows = rows(&self.id, self.engine.index, self.run);
        let fields = format!("sheets={},toil=20.0,room=64,meter=util:0.3", rows.len());
        message(&self.id, "HIT", &fields, &rows[0])
    }

    fn finish(&self) {
        self.ended(DispatchEnd::Done);
        self.say(self.hit());
    }

    fn fail(&self) {
        let (word, end) = match rand::rng().random_range(0..4) {
            0 => ("SHED", DispatchEnd::Shed),
            1 => ("LATE", DispatchEnd::Late),
            _ => ("FAULT", DispatchEnd::Fault),
        };
        self.ended(end);
        self.say(message(&self.id, word, "-", ""));
    }

    async fn spoil(&self) {
        let id = &self.id;
        let sort = rand::rng().random_range(0..7);
        match sort {
            0 => self.say(b"what is this\r\n".to_vec()),
            1 => self.say(format!("{id} HIT sheets=1 40\r\nhalf a row").into_bytes()),
            2 => self.say(format!("{id} HIT sheets=1 999999\r\n").into_bytes()),
            3 => {
                self.finish();
                self.say(self.hit());
            }
            4 => {
                self.finish();
                tokio::time::sleep(Duration::from_millis(30)).await;
                self.say(self.hit());
            }
            // Progress, and then that it never ran.
            5 => {
                self.say(message(id, "INFO", "tell=advance,val=0.70", ""));
                self.ended(DispatchEnd::Fault);
                self.say(message(id, "LATE", "-", ""));
            }
            _ => {
                let hit = self.hit();
                for byte in hit {
                    self.say(vec![byte]);
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
                self.ended(DispatchEnd::Done);
            }
        }
    }
}

/// Where an engine is met by a gateway.
pub fn address(engine: &Engine, gateway: usize) -> SocketAddr {
    crate::testbed::link_address(gateway, engine.port())
}
