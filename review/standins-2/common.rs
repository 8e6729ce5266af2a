//! Stand-ins and helpers that the cases of the second review share: clients, engines and an event bus that follow the
//! operators' pages, the program as a separate process, and the record of a play. The standard library alone is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(millis(ms));
}

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

// --- The play: its arguments, its record, its end.

/// One play of a case. Its arguments are the file of the record, a temporary folder, and the `run` line of the deploy
/// file.
pub struct Play {
    pub started: Instant,
    /// Whether the disruption is played.
    pub trouble: bool,
    pub folder: String,
    pub run_line: String,
    record: Mutex<File>,
}

impl Play {
    pub fn begin() -> Arc<Play> {
        let arguments: Vec<String> = std::env::args().collect();
        if arguments.len() != 4 {
            eprintln!("usage: {} RECORD FOLDER RUN_LINE", arguments[0]);
            std::process::exit(2);
        }
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = File::create(&arguments[1]).unwrap_or_else(|e| cannot_run(&format!("record: {e}")));
        let play = Arc::new(Play {
            started: Instant::now(),
            trouble,
            folder: arguments[2].clone(),
            run_line: arguments[3].clone(),
            record: Mutex::new(record),
        });
        play.note(&format!("play begins, disruption: {}", if trouble { "yes" } else { "no" }));
        play
    }

    /// Milliseconds since the start of the play.
    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64() * 1000.0
    }

    /// Writes a line to the record, with the time of the call.
    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    /// Writes a line to the record, with this time.
    pub fn note_at(&self, at: Instant, text: &str) {
        let line = format!("{:10.1} ms  {text}\n", self.ms(at));
        let _ = lock(&self.record).write_all(line.as_bytes());
    }

    /// Records the verdict and ends the process: 1 if the rule was broken, 0 if it held.
    pub fn end(&self, broken: bool, why: &str) -> ! {
        self.note(&format!("verdict: {}: {why}", if broken { "BROKEN" } else { "held" }));
        println!("{}: {why}", if broken { "BROKEN" } else { "held" });
        std::process::exit(i32::from(broken));
    }
}

/// Ends the process because the case can't be played.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case can't run: {why}");
    std::process::exit(2);
}

// --- Timers.

type Task = Box<dyn FnOnce() + Send>;

/// Runs tasks at given times in one thread.
pub struct Timers {
    tasks: Mutex<BTreeMap<(Instant, u64), Task>>,
    changed: Condvar,
    next: AtomicU64,
}

impl Timers {
    pub fn start() -> Arc<Timers> {
        let timers = Arc::new(Timers {
            tasks: Mutex::default(),
            changed: Condvar::new(),
            next: AtomicU64::new(0),
        });
        let runner = timers.clone();
        std::thread::spawn(move || runner.run());
        timers
    }

    pub fn after(&self, delay: Duration, task: impl FnOnce() + Send + 'static) {
        let key = (Instant::now() + delay, self.next.fetch_add(1, SeqCst));
        lock(&self.tasks).insert(key, Box::new(task));
        self.changed.notify_one();
    }

    fn run(&self) {
        let mut tasks = lock(&self.tasks);
        loop {
            let now = Instant::now();
            let first = tasks.keys().next().copied();
            match first {
                Some(key) if key.0 <= now => {
                    let task = tasks.remove(&key).unwrap();
                    drop(tasks);
                    task();
                    tasks = lock(&self.tasks);
                }
                Some(key) => tasks = self.changed.wait_timeout(tasks, key.0 - now).unwrap().0,
                None => tasks = self.changed.wait(tasks).unwrap(),
            }
        }
    }
}

// --- The program.

/// A process of the program. It is killed when this is dropped.
pub struct Program {
    child: Child,
    pub address: SocketAddr,
    /// A file that exists while the process does. The script of the case kills what is left.
    mark: String,
}

/// A loopback address with a port that is free now.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).unwrap()
}

impl Program {
    /// Writes the configuration, starts the program as the deploy file says, and waits until it is well.
    pub fn start(play: &Play, name: &str, address: SocketAddr, configuration: &str) -> Program {
        let path = format!("{}/{name}.json", play.folder);
        std::fs::write(&path, configuration).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::create(format!("{}/{name}.log", play.folder)).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &play.run_line])
            .env("NODE_CONFIG", &path)
            .env("NODE_NAME", name)
            .env("NODE_LISTEN", address.to_string())
            .env("TMPDIR", &play.folder)
            .env("PEBBLEVANE_LOG", std::env::var("PEBBLEVANE_LOG").unwrap_or("info".into()))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mark = format!("{}/pid-{}", play.folder, child.id());
        std::fs::write(&mark, "").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let mut program = Program { child, address, mark };
        let deadline = Instant::now() + Duration::from_secs(20);
        while Instant::now() < deadline {
            if program.has_ended() {
                program.kill();
                cannot_run("the program has ended at its start");
            }
            if is_well(address) {
                play.note(&format!("program {name} is well at {address}"));
                return program;
            }
            sleep_ms(20);
        }
        drop(program);
        cannot_run("the program is not ready within 20 s");
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        if !status.is_ok_and(|status| status.success()) {
            cannot_run(&format!("signal {name} could not be sent"));
        }
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The most resident memory that the process has had so far (MB).
    pub fn peak_memory_mb(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap_or("");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
    }

    /// Kills the program and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.mark);
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

fn is_well(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, millis(300)) else { return false };
    let _ = stream.set_read_timeout(Some(millis(500)));
    if stream.write_all(b"\x94\x00\x01\xa6isWell\x91\x80").is_err() {
        return false;
    }
    let mut reader = BufReader::new(stream);
    match read_value(&mut reader) {
        Ok(Value::List(parts)) => matches!(&parts[3], Value::List(result) if result[0] == Value::Bool(true)),
        _ => false,
    }
}

// --- The configuration.

/// One engine as the event bus lists it.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub state: &'static str,
    pub started_at_ms: u64,
}

impl Listed {
    pub fn new(id: &str, address: SocketAddr) -> Listed {
        Listed {
            id: id.to_string(),
            address,
            zone: "hall-a".into(),
            kind: "std-8".into(),
            cell: 0,
            state: "in_service",
            started_at_ms: 0,
        }
    }

    pub fn with_state(&self, state: &'static str) -> Listed {
        Listed { state, ..self.clone() }
    }

    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"{}\",\"cell\":{},\
             \"lifecycle\":\"{}\",\"weight\":1,\"startedAtMs\":{}}}",
            self.id, self.address, self.zone, self.kind, self.cell, self.state, self.started_at_ms
        )
    }
}

/// An event of the bus, as one line of JSON without its line feed.
pub fn event_json(offset: u64, reset: bool, engines: &[Listed]) -> String {
    let engines: Vec<String> = engines.iter().map(Listed::json).collect();
    format!(
        "{{\"offset\":{offset},\"topology\":{{\"generation\":{offset},\"reset\":{reset},\"instances\":[{}]}}}}",
        engines.join(",")
    )
}

/// What differs between the configurations of the cases.
pub struct Settings {
    pub bus: SocketAddr,
    pub engines: Vec<Listed>,
    pub memory_mb: u32,
    pub sockets: u32,
    /// The job timeout of all classes (ms).
    pub give_up_ms: u32,
    pub aim_ms: u32,
    /// Further members of `Contract`, each with a comma before it.
    pub contract: String,
    pub dial_timeout_ms: u32,
    /// `pull`: reports of load within the results of probes alone; `piggyback`: also within answers.
    pub reports: &'static str,
    /// The number of gateways.
    pub gateways: u32,
    /// Cores of an engine.
    pub cores: u32,
    /// Whether a gateway may cancel a dispatch.
    pub cancelling: bool,
}

impl Settings {
    pub fn new(bus: SocketAddr, engines: Vec<Listed>) -> Settings {
        Settings {
            bus,
            engines,
            memory_mb: 192,
            sockets: 1024,
            give_up_ms: 20_000,
            aim_ms: 4_000,
            contract: String::new(),
            dial_timeout_ms: 250,
            reports: "pull",
            gateways: 1,
            cores: 8,
            cancelling: true,
        }
    }

    /// The configuration of one gateway. The settings are those of the example in the operators' pages, with three
    /// classes: `lookup` and `report` may run again, `load` must never run twice.
    pub fn json(&self) -> String {
        let class = |name: &str, semantics: &str, worth: u32| {
            format!(
                "{{\"Name\":\"{name}\",\"Semantics\":\"{semantics}\",\"Group\":\"all\",\"DedupWindow\":5000.0,\
                 \"Aim\":{}.0,\"AimStretch\":2.5,\"GiveUp\":{}.0,\"LateValue\":0.4,\"Streamed\":false,\
                 \"Worth\":{worth}.0}}",
                self.aim_ms, self.give_up_ms
            )
        };
        let classes = [
            class("lookup", "read_like", 1),
            class("report", "read_like", 6),
            class("load", "non_idempotent", 12),
        ]
        .join(",");
        format!(
            "{{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"bus\":\"{}\",\
             \"known\":{{\"offset\":1,\"batch\":[{}]}},\
             \"settings\":{{\"Accounts\":[],\"Balancers\":{},\"Ordinal\":0,\"Tick\":5.0,\"Tier\":0,\"Zone\":0,\
             \"Zones\":[\"hall-a\",\"hall-b\"],\"Flavors\":[\"std-8\"],\"Stages\":[\"query-fleet\"],\
             \"MembershipMode\":\"push\",\"WeightSource\":\"nominal\",\"CountedBy\":\"request\",\
             \"Family\":\"queries\",\"Classes\":[{classes}],\"Clients\":{{\"MarksRetry\":true}},\
             \"Ceilings\":{{\"Cancelling\":{},\"ConnIdle\":15000.0,\"DialTimeout\":{}.0,\"MaxOpen\":20000,\
             \"MaxRetryAfter\":2000.0,\"PeerMessages\":false,\"Probes\":true,\"RetryAfter\":true,\
             \"SecondCopies\":false,\"StreamsPerConn\":32,\"TryLimit\":5}},\
             \"Contract\":{{\"AskEvery\":10000.0,\"DrainGrace\":1000.0,\"FallMultiple\":2.0,\
             \"GraceToAnswer\":20.0,\"OverloadFor\":2000.0,\"StartCapacity\":0.32,\"WarmAfter\":15000.0{}}},\
             \"Extra\":{{\"Bills\":true,\"ClassThreads\":[1,2,2],\"CpuOfKind\":[{}],\"GrantsCount\":false,\
             \"IsLoad\":[false,false,true],\"MemoryShort\":\"page\",\"MostGrant\":0.4,\"Progress\":500.0,\
             \"RamOfKindMb\":[16384.0],\"RanksHeeded\":true,\"WaitsForLoads\":[false,false,false]}},\
             \"Report\":{{\"How\":\"{}\",\"Names\":[\"depth\",\"load_share\"]}},\
             \"Deductions\":{{\"CrossZone\":0.0,\"Probe\":0.01,\"Waste\":0.08}}}}}}",
            self.memory_mb,
            self.sockets,
            self.bus,
            event_json(1, true, &self.engines),
            self.gateways,
            self.cancelling,
            self.dial_timeout_ms,
            self.contract,
            self.cores,
            self.reports,
        )
    }
}

// --- The event bus.

/// What the bus does with a new connection.
#[derive(Clone, Copy, PartialEq)]
pub enum BusMode {
    /// It answers at once.
    Prompt,
    /// It says the first line only after this time (ms).
    SlowToAnswer(u64),
}

struct BusState {
    events: Vec<(u64, String)>,
    mode: BusMode,
    /// Connections with a lower number are closed.
    open_from: u64,
    next_connection: u64,
}

/// The event bus: all events after the number that a gateway names, then a heartbeat each second.
pub struct Bus {
    pub address: SocketAddr,
    state: Arc<Mutex<BusState>>,
}

impl Bus {
    pub fn start(play: &Arc<Play>) -> Bus {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let state = BusState { events: vec![], mode: BusMode::Prompt, open_from: 0, next_connection: 0 };
        let state = Arc::new(Mutex::new(state));
        let (shared, play) = (state.clone(), play.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, play) = (shared.clone(), play.clone());
                std::thread::spawn(move || serve_bus_connection(&play, &state, stream));
            }
        });
        Bus { address, state }
    }

    /// Adds an event. It is in the bus when this returns.
    pub fn publish(&self, offset: u64, engines: &[Listed]) {
        lock(&self.state).events.push((offset, event_json(offset, false, engines)));
    }

    /// Sets what is done with new connections.
    pub fn set_mode(&self, mode: BusMode) {
        lock(&self.state).mode = mode;
    }

    /// Ends all connections that are open now.
    pub fn break_connections(&self) {
        let mut state = lock(&self.state);
        state.open_from = state.next_connection;
    }
}

fn serve_bus_connection(play: &Play, state: &Mutex<BusState>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let mut line = String::new();
    let Ok(copy) = stream.try_clone() else { return };
    if BufReader::new(copy).read_line(&mut line).unwrap_or(0) == 0 {
        return;
    }
    let Some(mut last) = line.trim().strip_prefix("from ").and_then(|n| n.parse::<u64>().ok()) else { return };
    let (number, mode) = {
        let mut state = lock(state);
        state.next_connection += 1;
        (state.next_connection - 1, state.mode)
    };
    play.note(&format!("bus: connection {number} asks: {}", line.trim()));
    if let BusMode::SlowToAnswer(ms) = mode {
        sleep_ms(ms);
    }
    let mut heartbeat_due = Instant::now();
    loop {
        let (is_open, events) = {
            let state = lock(state);
            let new: Vec<_> = state.events.iter().filter(|(offset, _)| *offset > last).cloned().collect();
            (number >= state.open_from, new)
        };
        if !is_open {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
        for (offset, event) in events {
            if stream.write_all(format!("{event}\n").as_bytes()).is_err() {
                play.note(&format!("bus: connection {number} was ended by the gateway"));
                return;
            }
            play.note(&format!("bus: event {offset} written on connection {number}"));
            last = offset;
        }
        if Instant::now() >= heartbeat_due {
            heartbeat_due = Instant::now() + Duration::from_secs(1);
            if stream.write_all(format!("{}\n", last.max(1)).as_bytes()).is_err() {
                play.note(&format!("bus: connection {number} was ended by the gateway"));
                return;
            }
        }
        sleep_ms(5);
    }
}

// --- Engines.

/// What an engine does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Service {
    /// Answers with one page of one row after this time (ms).
    Serve(u64),
    /// Answers that it is full; it does not run the request.
    Full,
    /// Runs the request for this time (ms); then its connection breaks off, and no answer comes.
    RunAndBreakOff(u64),
}

/// A request that has come whole to an engine.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub engine: String,
    pub id: String,
    pub class: String,
    pub limit_ms: u64,
    /// When its first bytes were read.
    pub first_byte: Instant,
    /// When it had come whole.
    pub whole: Instant,
}

type Policy = Box<dyn Fn(&Attempt) -> Service + Send + Sync>;

struct EngineShared {
    /// Set once the engine has ended: it accepts nothing more, and its connections are closed.
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    name: String,
    play: Arc<Play>,
    timers: Arc<Timers>,
    policy: Mutex<Policy>,
    attempts: Mutex<Vec<Attempt>>,
    notes_every_ms: u64,
    quiet: bool,
}

/// An engine that listens at a loopback address and follows the protocol.
#[derive(Clone)]
pub struct Engine {
    pub address: SocketAddr,
    shared: Arc<EngineShared>,
}

struct EngineConnection {
    stream: Mutex<TcpStream>,
    open: Mutex<HashSet<String>>,
}

impl Engine {
    pub fn start(play: &Arc<Play>, timers: &Arc<Timers>, name: &str) -> Engine {
        Engine::start_with(play, timers, name, false)
    }

    /// As [`Engine::start`]; a `quiet` engine does not write each request to the record.
    pub fn start_with(play: &Arc<Play>, timers: &Arc<Timers>, name: &str, quiet: bool) -> Engine {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let engine = Engine::start_at(play, timers, name, quiet, any);
        engine.unwrap_or_else(|e| cannot_run(&e.to_string()))
    }

    /// As [`Engine::start_with`], at this address.
    pub fn start_at(
        play: &Arc<Play>,
        timers: &Arc<Timers>,
        name: &str,
        quiet: bool,
        address: SocketAddr,
    ) -> std::io::Result<Engine> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(EngineShared {
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
            name: name.to_string(),
            play: play.clone(),
            timers: timers.clone(),
            policy: Mutex::new(Box::new(|_| Service::Serve(20))),
            attempts: Mutex::default(),
            notes_every_ms: 500,
            quiet,
        });
        let engine = Engine { address, shared: shared.clone() };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.ended.load(SeqCst) {
                    return;
                }
                lock(&shared.connections).extend(stream.try_clone());
                let shared = shared.clone();
                std::thread::spawn(move || serve_engine_connection(&shared, stream));
            }
        });
        Ok(engine)
    }

    pub fn set_policy(&self, policy: impl Fn(&Attempt) -> Service + Send + Sync + 'static) {
        *lock(&self.shared.policy) = Box::new(policy);
    }

    /// Ends the engine: its connections are closed, and new ones are refused.
    pub fn end(&self) {
        self.shared.ended.store(true, SeqCst);
        lock(&self.shared.connections).drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        // The thread that accepts notices the end with this connection, and closes the listener.
        let _ = TcpStream::connect_timeout(&self.address, millis(300));
    }

    /// All requests that have come whole.
    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.shared.attempts).clone()
    }
}

fn serve_engine_connection(shared: &Arc<EngineShared>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else { return };
    let connection =
        Arc::new(EngineConnection { stream: Mutex::new(writer), open: Mutex::default() });
    let mut reader = BufReader::new(stream);
    loop {
        match reader.fill_buf() {
            Ok(bytes) if !bytes.is_empty() => {}
            _ => break,
        }
        let first_byte = Instant::now();
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            break;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["REQ", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                if reader.read_exact(&mut body).is_err() {
                    break;
                }
                let field = |name: &str| {
                    let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
                    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_string())
                };
                let attempt = Attempt {
                    engine: shared.name.clone(),
                    id: id.to_string(),
                    class: field("cls").unwrap_or_default(),
                    limit_ms: field("limit").and_then(|limit| limit.parse().ok()).unwrap_or(0),
                    first_byte,
                    whole: Instant::now(),
                };
                take_request(shared, &connection, attempt);
            }
            ["STOP", id] | ["END", id] => {
                if lock(&connection.open).remove(id) && !shared.quiet {
                    shared.play.note(&format!("engine {}: {} {id}", shared.name, words[0]));
                }
            }
            ["HELO", tag] | ["STAT", tag] => {
                answer(&connection, &format!("{tag} PONG meter=depth:0;load_share:0.2 0\r\n\r\n"));
            }
            _ => {}
        }
    }
    lock(&connection.open).clear();
}

fn answer(connection: &EngineConnection, text: &str) {
    let _ = lock(&connection.stream).write_all(text.as_bytes());
}

fn take_request(shared: &Arc<EngineShared>, connection: &Arc<EngineConnection>, attempt: Attempt) {
    let service = (lock(&shared.policy))(&attempt);
    if !shared.quiet {
        let text = format!(
            "engine {}: REQ {} class {} limit {} ms -> {service:?}",
            shared.name, attempt.id, attempt.class, attempt.limit_ms
        );
        shared.play.note_at(attempt.whole, &text);
    }
    lock(&shared.attempts).push(attempt.clone());
    let id = attempt.id;
    match service {
        Service::Full => answer(connection, &format!("{id} SHED - 0\r\n\r\n")),
        Service::RunAndBreakOff(ms) => {
            lock(&connection.open).insert(id.clone());
            note_progress(shared, connection, &id, 0, ms);
            let connection = connection.clone();
            shared.timers.after(millis(ms), move || {
                let _ = lock(&connection.stream).shutdown(Shutdown::Both);
            });
        }
        Service::Serve(ms) => {
            lock(&connection.open).insert(id.clone());
            note_progress(shared, connection, &id, 0, ms);
            let (connection, done) = (connection.clone(), id);
            shared.timers.after(millis(ms), move || {
                if lock(&connection.open).remove(&done) {
                    let page = format!("{done}\tb\tc\n");
                    let text =
                        format!("{done} HIT sheets=1,toil={ms}.0,room=64.0,meter=depth:0;load_share:0.2 {}\r\n{page}\r\n", page.len());
                    answer(&connection, &text);
                }
            });
        }
    }
}

/// Sends a note at each interval while the request is open.
fn note_progress(
    shared: &Arc<EngineShared>,
    connection: &Arc<EngineConnection>,
    id: &str,
    elapsed_ms: u64,
    total_ms: u64,
) {
    let elapsed_ms = elapsed_ms + shared.notes_every_ms;
    if elapsed_ms >= total_ms {
        return;
    }
    let (again, connection, id) = (shared.clone(), connection.clone(), id.to_string());
    shared.timers.after(millis(shared.notes_every_ms), move || {
        if lock(&connection.open).contains(&id) {
            let share = elapsed_ms as f64 / total_ms as f64;
            answer(&connection, &format!("{id} INFO tell=advance,val={share:.2} 0\r\n\r\n"));
            note_progress(&again, &connection, &id, elapsed_ms, total_ms);
        }
    });
}

// --- MessagePack.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Text(String),
    Bytes(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

fn read_uint(reader: &mut impl Read, bytes: usize) -> std::io::Result<u64> {
    let mut buffer = [0; 8];
    reader.read_exact(&mut buffer[8 - bytes..])?;
    Ok(u64::from_be_bytes(buffer))
}

/// Reads one MessagePack value.
pub fn read_value(reader: &mut impl Read) -> std::io::Result<Value> {
    let first = read_uint(reader, 1)? as u8;
    let text = |reader: &mut dyn Read, length: u64| -> std::io::Result<Vec<u8>> {
        let mut bytes = vec![0; length as usize];
        reader.read_exact(&mut bytes)?;
        Ok(bytes)
    };
    let as_text = |bytes: Vec<u8>| Value::Text(String::from_utf8_lossy(&bytes).into_owned());
    Ok(match first {
        0x00..=0x7f => Value::Int(first.into()),
        0xe0..=0xff => Value::Int((first as i8).into()),
        0xc0 => Value::Nil,
        0xc2 | 0xc3 => Value::Bool(first == 0xc3),
        0xcc..=0xcf => Value::Int(read_uint(reader, 1 << (first - 0xcc))? as i64),
        0xa0..=0xbf => as_text(text(reader, u64::from(first & 0x1f))?),
        0xd9..=0xdb => {
            let length = read_uint(reader, 1 << (first - 0xd9))?;
            as_text(text(reader, length)?)
        }
        0xc4..=0xc6 => {
            let length = read_uint(reader, 1 << (first - 0xc4))?;
            Value::Bytes(text(reader, length)?)
        }
        0x90..=0x9f => read_list(reader, u64::from(first & 0x0f))?,
        0xdc => {
            let length = read_uint(reader, 2)?;
            read_list(reader, length)?
        }
        0x80..=0x8f => {
            let mut entries = Vec::new();
            for _ in 0..first & 0x0f {
                entries.push((read_value(reader)?, read_value(reader)?));
            }
            Value::Map(entries)
        }
        _ => return Err(std::io::Error::other("unexpected MessagePack type")),
    })
}

fn read_list(reader: &mut impl Read, length: u64) -> std::io::Result<Value> {
    (0..length).map(|_| read_value(reader)).collect::<Result<Vec<Value>, _>>().map(Value::List)
}

fn write_text(to: &mut Vec<u8>, text: &str) {
    match text.len() {
        length @ 0..=31 => to.push(0xa0 | length as u8),
        length => to.extend([0xd9, length as u8]),
    }
    to.extend(text.as_bytes());
}

fn write_uint(to: &mut Vec<u8>, number: u32) {
    match number {
        0..=0x7f => to.push(number as u8),
        _ => {
            to.push(0xce);
            to.extend(number.to_be_bytes());
        }
    }
}

/// A request: `[0, message, class, [FIELDS, BODY]]`.
pub fn encode_request(message: u32, class: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0x94, 0x00];
    write_uint(&mut bytes, message);
    write_text(&mut bytes, class);
    bytes.push(0x92);
    bytes.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        write_text(&mut bytes, name);
        write_text(&mut bytes, value);
    }
    bytes.push(0xc6);
    bytes.extend((body.len() as u32).to_be_bytes());
    bytes.extend(body);
    bytes
}

/// A cancellation: `[2, "forget", [message]]`.
pub fn encode_forget(message: u32) -> Vec<u8> {
    let mut bytes = b"\x93\x02\xa6forget\x91".to_vec();
    write_uint(&mut bytes, message);
    bytes
}

// --- Clients.

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// 16 hex digits, new with every request.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, SeqCst) + (u64::from(std::process::id()) << 32))
}

/// An answer as the client has read it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    /// `Busy`.
    Refused,
    /// Any other error.
    Failed(String),
}

/// What a connection brings to its client.
#[derive(Clone, Debug)]
pub enum Arrival {
    Answer { message: u32, answer: Answer, at: Instant },
    /// The gateway has ended the connection.
    Ended { at: Instant, how: String },
}

/// A client's connection. A thread reads all that comes.
pub struct Connection {
    stream: TcpStream,
    pub arrivals: Receiver<Arrival>,
    next_message: u32,
    closed_here: Arc<AtomicBool>,
}

/// A request that was written whole.
#[derive(Clone, Debug)]
pub struct Sent {
    pub message: u32,
    pub id: String,
    pub at: Instant,
}

pub const STATEMENT: &[u8] = b"select * from sales_17.orders";

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, millis(1000)).ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, arrivals) = channel();
        let reader = BufReader::new(stream.try_clone().ok()?);
        std::thread::spawn(move || read_answers(reader, &sender));
        Some(Connection { stream, arrivals, next_message: 1, closed_here: Arc::default() })
    }

    /// Sends a request and returns it, or `None` if the connection has failed.
    pub fn request(&mut self, class: &str, timeout_ms: u32, work_ms: u32) -> Option<Sent> {
        self.request_with(class, timeout_ms, work_ms, STATEMENT)
    }

    pub fn request_with(
        &mut self,
        class: &str,
        timeout_ms: u32,
        work_ms: u32,
        body: &[u8],
    ) -> Option<Sent> {
        let (message, id) = (self.next_message, new_id());
        self.next_message += 1;
        let (timeout, work) = (timeout_ms.to_string(), format!("{work_ms}.0"));
        let fields = [("i", id.as_str()), ("d", &timeout), ("h", &work), ("mem", "64")];
        self.send_raw(&encode_request(message, class, &fields, body))
            .then(|| Sent { message, id: id.clone(), at: Instant::now() })
    }

    pub fn forget(&mut self, message: u32) -> bool {
        self.send_raw(&encode_forget(message))
    }

    pub fn send_raw(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.closed_here.store(true, SeqCst);
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn read_answers(mut reader: BufReader<TcpStream>, arrivals: &Sender<Arrival>) {
    loop {
        let arrival = match read_value(&mut reader) {
            Ok(value) => match decode_answer(&value) {
                Some((message, answer)) => Arrival::Answer { message, answer, at: Instant::now() },
                None => Arrival::Ended { at: Instant::now(), how: format!("unreadable: {value:?}") },
            },
            Err(e) => Arrival::Ended { at: Instant::now(), how: e.to_string() },
        };
        let is_end = matches!(arrival, Arrival::Ended { .. });
        if arrivals.send(arrival).is_err() || is_end {
            return;
        }
    }
}

fn decode_answer(value: &Value) -> Option<(u32, Answer)> {
    let Value::List(parts) = value else { return None };
    let [Value::Int(1), Value::Int(message), error, result] = &parts[..] else { return None };
    let answer = match (error, result) {
        (Value::Nil, Value::List(result)) => match result.first()? {
            Value::Bytes(rows) => Answer::Served(rows.clone()),
            _ => return None,
        },
        (Value::List(error), Value::Nil) => match error.first()? {
            Value::Text(name) if name == "Busy" => Answer::Refused,
            Value::Text(name) => Answer::Failed(format!("{name} {:?}", error.get(1))),
            _ => return None,
        },
        _ => return None,
    };
    Some((*message as u32, answer))
}

/// Requests by message number that wait for an answer.
pub type OpenRequests = HashMap<u32, Sent>;
