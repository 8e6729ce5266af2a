//! Stand-ins for clients, engines, the event bus and the platform, written from the operators' pages. They use the
//! standard library alone.

#![allow(dead_code)]

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn variable(name: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| panic!("{name} is not set"))
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// A panic of any stand-in means that the case could not run.
pub fn exit_on_panic() {
    std::panic::set_hook(Box::new(|info| {
        eprintln!("could not run: {info}");
        exit(COULD_NOT_RUN);
    }));
}

// ---------------------------------------------------------------------------------------------------------------
// The record.

/// The file `record.txt`: what was sent, answered and run, with seconds since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create() -> Arc<Record> {
        let file = File::create(variable("RECORD")).expect("the record can be written");
        Arc::new(Record { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let mut file = lock(&self.file);
        let _ = writeln!(file, "{:9.3}  {text}", self.start.elapsed().as_secs_f64());
    }

    /// Writes the result to the record and to standard output.
    pub fn result(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---------------------------------------------------------------------------------------------------------------
// Signals and resets.

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;

/// Makes the next close of this socket reset the connection (SO_LINGER with time 0).
fn reset_on_close(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1i32, 0];
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}

// ---------------------------------------------------------------------------------------------------------------
// MessagePack.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(u64),
    Text(String),
    Bytes(Vec<u8>),
    List(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

fn put_text(to: &mut Vec<u8>, text: &str) {
    match text.len() {
        length @ 0..32 => to.push(0xa0 | length as u8),
        length => to.extend([0xd9, u8::try_from(length).expect("short texts alone")]),
    }
    to.extend(text.as_bytes());
}

fn put_int(to: &mut Vec<u8>, number: u32) {
    if number < 128 {
        to.push(number as u8);
    } else {
        to.push(0xce);
        to.extend(number.to_be_bytes());
    }
}

/// `[0, ID, CLASS, [FIELDS, BODY]]`
pub fn request(id: u32, class: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut to = vec![0x94, 0];
    put_int(&mut to, id);
    put_text(&mut to, class);
    to.extend([0x92, 0x80 | fields.len() as u8]);
    for (name, value) in fields {
        put_text(&mut to, name);
        put_text(&mut to, value);
    }
    to.push(0xc6);
    to.extend((body.len() as u32).to_be_bytes());
    to.extend(body);
    to
}

/// `[0, ID, "isWell", [{}]]`
fn health_request(id: u32) -> Vec<u8> {
    let mut to = vec![0x94, 0];
    put_int(&mut to, id);
    put_text(&mut to, "isWell");
    to.extend([0x91, 0x80]);
    to
}

/// Reads one value; `None` if it is not complete yet.
pub fn decode(bytes: &[u8]) -> Option<(Value, usize)> {
    let first = *bytes.first()?;
    let number = |from: usize, count: usize| -> Option<usize> {
        Some(bytes.get(from..from + count)?.iter().fold(0, |sum, byte| sum << 8 | usize::from(*byte)))
    };
    let blob =
        |header: usize, length: usize| Some((bytes.get(header..header + length)?.to_vec(), header + length));
    let text = |header: usize, length: usize| {
        let (text, end) = blob(header, length)?;
        Some((Value::Text(String::from_utf8_lossy(&text).into_owned()), end))
    };
    let list = |header: usize, count: usize| {
        let (mut values, mut end) = (Vec::new(), header);
        for _ in 0..count {
            let (value, length) = decode(bytes.get(end..)?)?;
            values.push(value);
            end += length;
        }
        Some((values, end))
    };
    let map = |header: usize, count: usize| {
        let (values, end) = list(header, 2 * count)?;
        let pairs = values.chunks(2).map(|pair| (pair[0].clone(), pair[1].clone())).collect();
        Some((Value::Map(pairs), end))
    };
    Some(match first {
        0..=0x7f => (Value::Int(u64::from(first)), 1),
        0x80..=0x8f => map(1, usize::from(first & 15))?,
        0x90..=0x9f => list(1, usize::from(first & 15)).map(|(values, end)| (Value::List(values), end))?,
        0xa0..=0xbf => text(1, usize::from(first & 31))?,
        0xc0 => (Value::Nil, 1),
        0xc2 => (Value::Bool(false), 1),
        0xc3 => (Value::Bool(true), 1),
        0xc4 => blob(2, number(1, 1)?).map(|(bytes, end)| (Value::Bytes(bytes), end))?,
        0xc5 => blob(3, number(1, 2)?).map(|(bytes, end)| (Value::Bytes(bytes), end))?,
        0xc6 => blob(5, number(1, 4)?).map(|(bytes, end)| (Value::Bytes(bytes), end))?,
        0xcc => (Value::Int(number(1, 1)? as u64), 2),
        0xcd => (Value::Int(number(1, 2)? as u64), 3),
        0xce => (Value::Int(number(1, 4)? as u64), 5),
        0xcf => (Value::Int(number(1, 8)? as u64), 9),
        0xd9 => text(2, number(1, 1)?)?,
        0xda => text(3, number(1, 2)?)?,
        0xdb => text(5, number(1, 4)?)?,
        _ => panic!("a workload manager sent an unknown MessagePack type {first:#x}"),
    })
}

// ---------------------------------------------------------------------------------------------------------------
// Clients.

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// No error: the whole result.
    Served(Vec<u8>),
    /// The error `Busy`.
    Refused,
    /// Any other error.
    Failed(String),
}

impl Answer {
    pub fn describe(&self) -> String {
        match self {
            Answer::Served(rows) => format!("served, {} bytes", rows.len()),
            Answer::Refused => "Busy".to_string(),
            Answer::Failed(error) => format!("failed: {error}"),
        }
    }
}

/// One request of a client.
#[derive(Clone, Debug)]
pub struct Sent {
    pub number: u32,
    pub job: String,
    /// How long the client waits.
    pub patience: Duration,
    /// When its last byte was written; `None` if that never happened.
    pub written_at: Option<Instant>,
    pub answers: Vec<(Instant, Answer)>,
}

#[derive(Default)]
pub struct ClientState {
    pub sent: Vec<Sent>,
    /// When and how the workload manager ended the connection.
    pub ended: Option<(Instant, String)>,
}

/// A connection of a client to a workload manager.
pub struct Client {
    pub name: String,
    stream: TcpStream,
    pub state: Arc<Mutex<ClientState>>,
    record: Arc<Record>,
}

impl Client {
    pub fn connect(name: &str, port: u16, record: &Arc<Record>) -> Client {
        let stream = TcpStream::connect(("127.0.0.1", port)).expect("the workload manager accepts clients");
        stream.set_nodelay(true).expect("options can be set");
        let state = Arc::new(Mutex::new(ClientState::default()));
        let reader = stream.try_clone().expect("a descriptor is left");
        let (reader_state, reader_record, reader_name) = (state.clone(), record.clone(), name.to_string());
        thread::spawn(move || read_answers(reader, &reader_state, &reader_record, &reader_name));
        Client { name: name.to_string(), stream, state, record: record.clone() }
    }

    /// Sends a request at once and returns its number on the connection, or `None` if the connection has ended.
    pub fn submit(&self, class: &str, job: &str, patience_ms: u64, body: &[u8]) -> Option<u32> {
        self.submit_in_pieces(class, job, patience_ms, body, usize::MAX, 0)
    }

    /// Sends a request in two pieces, the first one of `first` bytes, with a pause between them.
    pub fn submit_in_pieces(
        &self,
        class: &str,
        job: &str,
        patience_ms: u64,
        body: &[u8],
        first: usize,
        pause_ms: u64,
    ) -> Option<u32> {
        let number = {
            let mut state = lock(&self.state);
            let number = state.sent.len() as u32 + 1;
            let patience = Duration::from_millis(patience_ms);
            let sent = Sent { number, job: job.to_string(), patience, written_at: None, answers: Vec::new() };
            state.sent.push(sent);
            number
        };
        let fields = [("i", job.to_string()), ("d", patience_ms.to_string())];
        let bytes = request(number, class, &fields, body);
        let (head, tail) = bytes.split_at(first.min(bytes.len()));
        let what =
            format!("client {}: request {number}, {class}, job {job}, {} bytes", self.name, bytes.len());
        (&self.stream).write_all(head).ok()?;
        if !tail.is_empty() {
            self.record.line(&format!("{what}: the first {} bytes written", head.len()));
            sleep_ms(pause_ms);
            if lock(&self.state).ended.is_some() {
                self.record.line(&format!("{what}: the rest not written, the connection has ended"));
                return None;
            }
            (&self.stream).write_all(tail).ok()?;
        }
        lock(&self.state).sent[number as usize - 1].written_at = Some(Instant::now());
        self.record.line(&format!("{what}: written, waits {patience_ms} ms"));
        Some(number)
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn read_answers(mut stream: TcpStream, state: &Mutex<ClientState>, record: &Record, name: &str) {
    let (mut received, mut buffer) = (Vec::new(), vec![0; 64 * 1024]);
    let how = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break "end of the connection".to_string(),
            Ok(count) => received.extend(&buffer[..count]),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => break format!("error: {e}"),
        }
        while let Some((value, length)) = decode(&received) {
            received.drain(..length);
            let Some((number, answer)) = read_answer(&value) else { continue };
            record.line(&format!("client {name}: answer to request {number}: {}", answer.describe()));
            let mut state = lock(state);
            if let Some(sent) = state.sent.iter_mut().find(|sent| u64::from(sent.number) == number) {
                sent.answers.push((Instant::now(), answer));
            }
        }
    };
    record.line(&format!("client {name}: {how}"));
    lock(state).ended = Some((Instant::now(), how));
}

/// `[1, ID, nil, [BODY, FIELDS]]` or `[1, ID, [ERROR, FIELDS], nil]`
fn read_answer(value: &Value) -> Option<(u64, Answer)> {
    let Value::List(parts) = value else { return None };
    let [Value::Int(1), Value::Int(number), error, result] = &parts[..] else { return None };
    let answer = match (error, result) {
        (Value::Nil, Value::List(result)) => match result.first() {
            Some(Value::Bytes(rows)) => Answer::Served(rows.clone()),
            _ => return None,
        },
        (Value::List(error), _) => match error.first() {
            Some(Value::Text(name)) if name == "Busy" => Answer::Refused,
            name => Answer::Failed(format!("{name:?}")),
        },
        _ => return None,
    };
    Some((*number, answer))
}

/// 16 hexadecimal digits, new with every call.
pub fn new_job_id() -> String {
    static STATE: Mutex<u64> = Mutex::new(0);
    let mut state = lock(&STATE);
    if *state == 0 {
        *state = unix_ms() as u64 ^ u64::from(std::process::id()) << 40;
    }
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mut mixed = *state;
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    format!("{:016x}", mixed ^ mixed >> 31)
}

// ---------------------------------------------------------------------------------------------------------------
// Engines.

/// The engine's side of a connection.
#[derive(Clone)]
pub struct EngineConnection(Arc<TcpStream>, Arc<Mutex<()>>);

impl EngineConnection {
    /// Sends an answer: `ID WORD FIELDS LENGTH`, then the payload.
    pub fn answer(&self, id: &str, word: &str, fields: &str, payload: &[u8]) {
        let line = format!("{id} {word} {fields} {}\r\n", payload.len());
        let message = [line.as_bytes(), payload, b"\r\n"].concat();
        let _whole = lock(&self.1);
        // Fails if the workload manager has ended the connection.
        let _ = (&*self.0).write_all(&message);
    }

    /// Resets the connection once all threads have dropped their handles on it.
    pub fn reset(&self) {
        reset_on_close(&self.0);
        let _ = self.0.shutdown(Shutdown::Read);
    }
}

/// What an engine does with the commands that it reads, but for probes, which are answered with `PONG`.
pub trait Engine: Send + Sync + 'static {
    fn request(self: &Arc<Self>, connection: EngineConnection, id: &str, fields: &str, statement: &[u8]);
    fn fetch(self: &Arc<Self>, _connection: EngineConnection, _id: &str, _page: u32) {}
    fn stop(self: &Arc<Self>, _id: &str) {}
}

/// Listens as an engine on a free port, which is returned.
pub fn serve_engine<E: Engine>(engine: Arc<E>) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let port = listener.local_addr().expect("the listener has an address").port();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let engine = engine.clone();
            thread::spawn(move || serve_engine_connection(&engine, stream));
        }
    });
    port
}

fn serve_engine_connection<E: Engine>(engine: &Arc<E>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let stream = Arc::new(stream);
    let connection = EngineConnection(stream.clone(), Arc::default());
    let mut reader = BufReader::new(&*stream);
    let mut line = String::new();
    while let Ok(1..) = reader.read_line(&mut line) {
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["REQ", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().expect("a length") + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                body.truncate(body.len() - 2);
                engine.request(connection.clone(), id, fields, &body);
            }
            ["FETCH", id, page] => engine.fetch(connection.clone(), id, page.parse().expect("a page number")),
            ["STOP", id] => engine.stop(id),
            ["HELO" | "STAT", tag] => connection.answer(tag, "PONG", "meter=queue:0;util:0.1", b""),
            _ => {}
        }
        line.clear();
    }
}

// ---------------------------------------------------------------------------------------------------------------
// The event bus.

/// An entry of the list of engines.
pub fn entry(id: &str, port: u16, zone: &str, lifecycle: &str, started_at_ms: u128) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"127.0.0.1:{port}","zone":"{zone}","machineType":"std-8","cell":0,"lifecycle":"{lifecycle}","weight":1,"startedAtMs":{started_at_ms}}}"#
    )
}

pub struct Bus {
    pub port: u16,
    events: Mutex<Vec<String>>,
    record: Arc<Record>,
}

impl Bus {
    /// Listens on a free port. Event 1 holds the whole list.
    pub fn start(entries: &[String], record: &Arc<Record>) -> Arc<Bus> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let port = listener.local_addr().expect("the listener has an address").port();
        let bus = Arc::new(Bus { port, events: Mutex::default(), record: record.clone() });
        bus.publish(entries);
        let serving = bus.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let bus = serving.clone();
                thread::spawn(move || bus.serve(&stream));
            }
        });
        bus
    }

    /// Adds an event with these entries.
    pub fn publish(&self, entries: &[String]) {
        let mut events = lock(&self.events);
        let (offset, reset) = (events.len() + 1, events.is_empty());
        let entries = entries.join(",");
        let event = format!(
            r#"{{"offset":{offset},"topology":{{"generation":{offset},"reset":{reset},"instances":[{entries}]}}}}"#
        );
        self.record.line(&format!("event bus: {event}"));
        events.push(event);
    }

    /// The event bus's events up to now, as `known` of a configuration.
    pub fn known(&self) -> String {
        let events = lock(&self.events);
        format!(r#"{{"offset":{},"batch":[{}]}}"#, events.len(), events.join(","))
    }

    fn serve(&self, mut stream: &TcpStream) {
        let mut line = String::new();
        if BufReader::new(stream).read_line(&mut line).is_err() {
            return;
        }
        let Some(mut sent) =
            line.trim_end().strip_prefix("from ").and_then(|last| last.parse::<usize>().ok())
        else {
            return;
        };
        let mut next_heartbeat = Instant::now();
        loop {
            let events = lock(&self.events).clone();
            let mut text: String = events.iter().skip(sent).map(|event| format!("{event}\n")).collect();
            sent = events.len().max(sent);
            if Instant::now() >= next_heartbeat {
                text += &format!("{sent}\n");
                next_heartbeat += Duration::from_secs(1);
            }
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            sleep_ms(20);
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------
// The platform.

/// How many workload managers the settings tell of.
pub const MANAGERS: usize = 3;

/// The settings of `ban-saeng-music` as the wire page prints them; `load` is the class `load`.
pub fn settings(ordinal: usize, load: &str) -> String {
    format!(
        r#"{{"Accounts":[],"Balancers":{MANAGERS},
"Ceilings":{{"Cancelling":true,"ConnIdle":15000.0,"CpuUsPerRequest":0.0,"CpuUsPerS":100000,"DialTimeout":250.0,"MaxOpen":20000,"MaxRetryAfter":2000.0,"PeerMessages":false,"Probes":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":32,"TryLimit":5}},
"Classes":[
{{"Aim":750.0,"AimStretch":1.5,"DedupWindow":5000.0,"GiveUp":4000.0,"Group":"all","LateValue":0.1,"Name":"lookup","Semantics":"read_like","Streamed":false,"Worth":1.0}},
{{"Aim":1500.0,"AimStretch":2.5,"DedupWindow":5000.0,"GiveUp":20000.0,"Group":"all","LateValue":0.4,"Name":"report","Semantics":"read_like","Streamed":false,"Worth":6.0}},
{load}],
"Clients":{{"MarksRetry":true}},
"Contract":{{"AskEvery":10000.0,"DrainGrace":1000.0,"FallMultiple":2.0,"GraceToAnswer":20.0,"OverloadFor":2000.0,"StartCapacity":0.32,"WarmAfter":15000.0}},
"CountedBy":"request",
"Deductions":{{"Connection":0.0,"CrossZone":0.044,"Handshake":0.0,"LateFail":0.037,"MembershipMode":0.0,"Moves":0.0,"Origin":0.0,"Peer":0.0,"Probe":0.01,"Waste":0.08}},
"Extra":{{"Bills":true,"ClassThreads":[1,4,2],"CpuOfKind":[8],"GrantsCount":false,"IsLoad":[false,false,true],"MemoryShort":"page","MostGrant":0.4,"Notes":"","Progress":1000.0,"RamOfKindMb":[16384.0],"RanksHeeded":true,"ReportX0":"","ReportX1":"","WaitsForLoads":[true,true,false]}},
"Family":"queries","Flavors":["std-8"],"Goal":{{"Whole":0.45,"WorstClass":0.2,"WorstTenant":0.0,"WorstWindow":0.35}},
"MembershipMode":"push","Ordinal":{ordinal},"OverShareWorth":0.1,"Report":{{"How":"pull","Names":["depth","load_share"]}},
"Stages":["query-fleet"],"Tick":5.0,"Tier":0,"WeightSource":"nominal","Zone":0,"Zones":["hall-a","hall-b"]}}"#
    )
}

/// The class `load` as the wire page prints it.
pub const RUN_ONCE_LOAD: &str = r#"{"Aim":4000.0,"AimStretch":2.5,"DedupWindow":5000.0,"GiveUp":20000.0,"Group":"all","LateValue":0.5,"Name":"load","Semantics":"non_idempotent","Streamed":false,"Worth":12.0}"#;

/// The limits that the configuration tells.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: usize,
    pub sockets: usize,
}

/// A workload manager: its configuration and its process.
pub struct Manager {
    pub name: String,
    pub port: u16,
    ordinal: usize,
    limits: Limits,
    load: String,
    record: Arc<Record>,
    child: Option<Child>,
}

impl Manager {
    pub fn new(ordinal: usize, limits: Limits, load: &str, record: &Arc<Record>) -> Manager {
        // The port is free again when the listener is dropped here.
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let port = listener.local_addr().expect("the listener has an address").port();
        let (name, load) = (format!("n{ordinal}"), load.to_string());
        Manager { name, port, ordinal, limits, load, record: record.clone(), child: None }
    }

    fn file(&self, ending: &str) -> PathBuf {
        PathBuf::from(variable("FOLDER")).join(format!("{}.{ending}", self.name))
    }

    /// Starts the process with the `run` line of the deploy file, and waits until it is well.
    pub fn start(&mut self, bus: &Bus) {
        let Limits { memory_mb, sockets } = self.limits;
        let configuration = format!(
            r#"{{"name":"{}","listen":"127.0.0.1:{}","seed":"8c1f30d27a5be96{}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"bus":"127.0.0.1:{}","known":{},"settings":{}}}"#,
            self.name,
            self.port,
            self.ordinal,
            bus.port,
            bus.known(),
            settings(self.ordinal, &self.load)
        );
        std::fs::write(self.file("json"), configuration).expect("the configuration can be written");
        let log =
            File::options().create(true).append(true).open(self.file("log")).expect("a log can be written");
        let child = Command::new("/bin/sh")
            .args(["-c", &variable("RUN")])
            .current_dir(variable("ROOT"))
            .env_clear()
            .env("NODE_CONFIG", self.file("json"))
            .env("NODE_NAME", &self.name)
            .env("NODE_LISTEN", format!("127.0.0.1:{}", self.port))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor is left"))
            .stderr(log)
            .spawn()
            .expect("the workload manager can be started");
        let mut pids = File::options()
            .create(true)
            .append(true)
            .open(variable("PIDS"))
            .expect("the pids can be written");
        writeln!(pids, "{}", child.id()).expect("the pids can be written");
        self.record.line(&format!("platform: {} started", self.name));
        self.child = Some(child);
        let since = Instant::now();
        while !self.is_well() {
            assert!(since.elapsed() < Duration::from_secs(10), "{} is not well within 10 s", self.name);
            sleep_ms(20);
        }
        self.record.line(&format!("platform: {} is well", self.name));
    }

    fn is_well(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(("127.0.0.1", self.port)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut answer = [0; 64];
        let asked = stream.write_all(&health_request(1)).and_then(|()| stream.read(&mut answer));
        let Some((Value::List(parts), _)) = asked.ok().and_then(|count| decode(&answer[..count])) else {
            return false;
        };
        matches!(&parts[..], [_, _, Value::Nil, Value::List(result)] if result.first() == Some(&Value::Bool(true)))
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process outright, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            unsafe { kill(child.id() as i32, SIGKILL) };
            let _ = child.wait();
            self.record.line(&format!("platform: {} killed", self.name));
        }
    }
}

impl Drop for Manager {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts all workload managers of the deployment.
pub fn start_managers(limits: Limits, load: &str, bus: &Bus, record: &Arc<Record>) -> Vec<Manager> {
    let mut managers: Vec<Manager> =
        (0..MANAGERS).map(|ordinal| Manager::new(ordinal, limits, load, record)).collect();
    managers.iter_mut().for_each(|manager| manager.start(bus));
    managers
}
