//! Stand-ins for what the program talks to: engines, the event bus and clients. They do only what a test
//! tells them to, and tests wait for what they see, never for a time to pass.

use rmp::{decode, encode};
use serde_json::{Value as Json, json};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::SeqCst};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longer than anything that comes at all.
const PATIENCE: Duration = Duration::from_secs(20);
/// Long enough for what should not come, on an idle machine; a busy one can only miss a failure.
const QUIET: Duration = Duration::from_millis(120);

/// A line that an engine has read, and the way to answer it.
pub struct Seen {
    pub engine: usize,
    pub line: String,
    pub body: Vec<u8>,
    from: SocketAddr,
    stream: TcpStream,
}

impl Seen {
    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or("")
    }
    /// Answers under the line's id, with a page of one row that begins with this text.
    pub fn says(&self, word: &str, fields: &str, row: &str) {
        self.says_to(self.word(1), word, fields, row);
    }
    pub fn says_to(&self, id: &str, word: &str, fields: &str, row: &str) {
        let page = if row.is_empty() { String::new() } else { format!("{row}\tb\tc\n") };
        let answer = format!("{id} {word} {fields} {}\r\n{page}\r\n", page.len());
        let _ = (&self.stream).write_all(answer.as_bytes());
    }
    pub fn raw(&self, bytes: &[u8]) {
        let _ = (&self.stream).write_all(bytes);
    }
    /// Whether both came on one connection.
    pub fn is_beside(&self, other: &Seen) -> bool {
        self.from == other.from
    }
    pub fn hang_up(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

pub struct Engines {
    pub addresses: Vec<String>,
    seen: Receiver<Seen>,
    tell: Sender<Seen>,
}

impl Engines {
    pub fn start(count: usize) -> Engines {
        let (tell, seen) = channel();
        let mut engines = Engines { addresses: vec![], seen, tell };
        (0..count).for_each(|_| engines.add("127.0.0.1:0"));
        engines
    }
    /// Starts one more engine.
    pub fn add(&mut self, address: &str) {
        let listener = TcpListener::bind(address).unwrap();
        let engine = self.addresses.len();
        self.addresses.push(listener.local_addr().unwrap().to_string());
        let tell = self.tell.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let tell = tell.clone();
                std::thread::spawn(move || read_lines(engine, &stream, &tell));
            }
        });
    }
    /// Lists an engine at an address where nobody listens.
    pub fn add_dead(&mut self) {
        self.addresses.push("127.0.0.1:1".to_string());
    }
    /// The next line that any engine reads, but for probes, which are answered.
    pub fn next(&self) -> Seen {
        self.within(PATIENCE).expect("no engine has read anything")
    }
    /// Answers the job of this number with no rows, whatever else is read before it.
    pub fn answer(&self, message: u32) {
        let mut seen = self.next();
        while (seen.word(0), seen.word(1)) != ("REQ", &id(message)) {
            seen = self.next();
        }
        seen.says("HIT", "-", "");
    }
    /// The next line, if one comes soon.
    pub fn soon(&self) -> Option<Seen> {
        self.within(QUIET)
    }
    pub fn nothing(&self) {
        if let Some(seen) = self.soon() {
            panic!("engine {} has read {}", seen.engine, seen.line);
        }
    }
    fn within(&self, time: Duration) -> Option<Seen> {
        loop {
            match self.seen.recv_timeout(time) {
                Ok(seen) if ["HELO", "STAT"].contains(&seen.word(0)) => {
                    seen.says("PONG", "meter=util:0.1", "");
                }
                Ok(seen) => return Some(seen),
                Err(RecvTimeoutError::Timeout) => return None,
                Err(e) => panic!("{e}"),
            }
        }
    }
}

fn read_lines(engine: usize, stream: &TcpStream, tell: &Sender<Seen>) {
    let Ok(peer) = stream.peer_addr() else { return };
    let mut from = BufReader::new(stream);
    let mut line = String::new();
    while from.read_line(&mut line).is_ok_and(|count| count > 0) {
        let words = line.trim_end().to_string();
        let mut body = vec![];
        if words.starts_with("REQ ") {
            let length: usize = words.rsplit(' ').next().unwrap().parse().unwrap();
            body.resize(length + 2, 0);
            from.read_exact(&mut body).unwrap();
            assert!(body.ends_with(b"\r\n"), "a body without its end");
            body.truncate(length);
        }
        line.clear();
        let _ =
            tell.send(Seen { engine, line: words, body, from: peer, stream: stream.try_clone().unwrap() });
    }
}

/// The event bus. It beats on each connection until it is cut.
pub struct Bus {
    pub address: String,
    last: Arc<AtomicU64>,
    asked: Receiver<(String, TcpStream)>,
    open: Option<TcpStream>,
}

impl Bus {
    pub fn start() -> Bus {
        Bus::listen("127.0.0.1:0", 1)
    }
    pub fn listen(address: &str, last: u64) -> Bus {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let (last, (tell, asked)) = (Arc::new(AtomicU64::new(last)), channel());
        let beats = last.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mut line = String::new();
                let _ = BufReader::new(&stream).read_line(&mut line);
                let (mut to, beats) = (stream.try_clone().unwrap(), beats.clone());
                std::thread::spawn(move || {
                    while to.write_all(format!("{{\"offset\":{}}}\n", beats.load(SeqCst)).as_bytes()).is_ok()
                    {
                        std::thread::sleep(Duration::from_millis(300));
                    }
                });
                let _ = tell.send((line.trim_end().to_string(), stream));
            }
        });
        Bus { address, last, asked, open: None }
    }
    /// Waits for the program to connect; says what it asked for.
    pub fn asked(&mut self) -> String {
        let (line, stream) = self.asked.recv_timeout(PATIENCE).expect("nobody asked the bus");
        self.open = Some(stream);
        line
    }
    pub fn says(&mut self, line: &str) {
        if self.open.is_none() {
            self.asked();
        }
        self.says_raw(format!("{line}\n").as_bytes());
    }
    pub fn says_raw(&mut self, bytes: &[u8]) {
        self.open.as_ref().unwrap().write_all(bytes).unwrap();
    }
    pub fn event(&mut self, offset: u64, reset: bool, entries: Vec<Json>) {
        self.says(&event(offset, reset, entries).to_string());
        self.last.fetch_max(offset, SeqCst);
    }
    pub fn cut(&mut self) {
        let _ = self.open.take().expect("the bus has a connection").shutdown(Shutdown::Both);
    }
}

pub fn event(offset: u64, reset: bool, entries: Vec<Json>) -> Json {
    json!({"offset": offset, "topology": {"generation": offset, "reset": reset, "instances": entries}})
}

pub fn entry(name: &str, address: &str, state: &str) -> Json {
    json!({"instanceId": name, "hostPort": address, "zone": "east", "machineType": "std", "cell": 0,
        "lifecycle": state, "weight": 8, "startedAtMs": 0})
}

/// One engine, the bus, the program and a client.
pub fn one_engine() -> (Engines, Bus, Program, Client) {
    let (engines, bus) = (Engines::start(1), Bus::start());
    let program = Program::start(&engines, &bus);
    let client = program.client();
    (engines, bus, program, client)
}

/// The program with what it is told at its start. It is killed when the test ends.
pub struct Program {
    pub child: Child,
    /// Its configuration.
    pub file: String,
    pub address: String,
    log: Mutex<Receiver<String>>,
}

static STARTS: AtomicU32 = AtomicU32::new(0);

pub fn config(engines: &Engines, bus: &str) -> Json {
    let known = engines.addresses.iter().enumerate();
    let known = known.map(|(i, address)| entry(&format!("e{i}"), address, "in_service")).collect();
    let class = |name: &str, semantics: &str| {
        json!({"Name": name, "Semantics": semantics, "Aim": 20000.0, "GiveUp": 20000.0, "Worth": 1.0,
            "Group": "all", "DedupWindow": 5000.0})
    };
    json!({"name": "n0", "listen": "127.0.0.1:1", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bus": bus,
        "known": {"offset": 1, "batch": [event(1, true, known)]},
        "settings": {"Classes": [class("lookup", "read_like"), class("load", "non_idempotent")],
            "Balancers": 1, "Tick": 5.0, "Zones": ["east"], "Flavors": ["std"], "MembershipMode": "push",
            "Extra": {"CpuOfKind": [64], "ClassThreads": [1, 1], "RanksHeeded": true, "Progress": 1000.0},
            "Report": {"How": "pull", "Names": ["load_share"]},
            "Ceilings": {"Cancelling": true, "Probes": false, "TryLimit": 5, "StreamsPerConn": 32,
                "DialTimeout": 250.0, "ConnIdle": 15000.0}}})
}

impl Program {
    pub fn command(config: &Json) -> (Command, String) {
        let number = STARTS.fetch_add(1, SeqCst);
        let file = format!("{}/config-{}-{number}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        std::fs::write(&file, config.to_string()).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_pebblevane"));
        command.env("NODE_CONFIG", &file).env_remove("NODE_NAME").env_remove("NODE_LISTEN");
        (command, file)
    }
    /// Starts the program and waits until it is well.
    pub fn start(engines: &Engines, bus: &Bus) -> Program {
        Program::with(config(engines, &bus.address))
    }
    pub fn with(config: Json) -> Program {
        Program::with_descriptors(config, 1024)
    }
    /// Starts it where the system gives so many descriptors.
    pub fn with_descriptors(mut config: Json, most: u32) -> Program {
        config["listen"] = json!("127.0.0.1:0");
        let (plain, file) = Program::command(&config);
        let mut command = Command::new("sh");
        command.args(["-c", &format!("ulimit -n {most} && exec \"$0\"")]).arg(plain.get_program());
        command.env("NODE_CONFIG", &file).env_remove("NODE_NAME").env_remove("NODE_LISTEN");
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let log = BufReader::new(child.stdout.take().unwrap());
        let mut lines = log.lines().map_while(Result::ok);
        let told = lines.find_map(|line| {
            Some(line.split_once("listening for clients ")?.1.split_once("address=")?.1.to_string())
        });
        // The rest of the log is read so that the program never waits for it.
        let (tell, log) = channel();
        std::thread::spawn(move || lines.for_each(|line| drop(tell.send(line))));
        let program = Program { child, file, address: told.expect("the program has ended"), log: log.into() };
        let mut client = program.client();
        client.is_well(1);
        assert_eq!(client.next(), "1: well true");
        program
    }
    pub fn client(&self) -> Client {
        Client::over(TcpStream::connect(&self.address).unwrap())
    }
    /// A client of which the system takes little that it has not read.
    pub fn small_client(&self) -> Client {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        // The system sizes the other side's buffer by this.
        socket.set_tcp_mss(536).unwrap();
        socket.connect(&self.address.parse::<SocketAddr>().unwrap().into()).unwrap();
        Client::over(socket.into())
    }
    /// Waits for a line of the log that holds this.
    pub fn logged(&self, what: &str) -> String {
        let log = self.log.lock().unwrap();
        loop {
            let line = log.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("no log line with {what}"));
            if line.contains(what) {
                return line;
            }
        }
    }
    /// Holds the program still while something is done, so that it then finds all of it at once.
    pub fn held<T>(&self, what: impl FnOnce() -> T) -> T {
        self.signal("STOP");
        let done = what();
        self.signal("CONT");
        done
    }
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([&format!("-{name}"), &pid]).status().unwrap().success());
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Client {
    fn over(stream: TcpStream) -> Client {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { from: BufReader::new(stream) }
    }
}

pub struct Client {
    from: BufReader<TcpStream>,
}

/// One request as bytes.
pub fn job(message: u32, class: &str, fields: &[(&str, &str)], statement: &str) -> Vec<u8> {
    let mut bytes = vec![0x94, 0];
    encode::write_uint(&mut bytes, message.into()).unwrap();
    encode::write_str(&mut bytes, class).unwrap();
    encode::write_array_len(&mut bytes, 2).unwrap();
    encode::write_map_len(&mut bytes, fields.len() as u32).unwrap();
    for part in fields.iter().flat_map(|(name, value)| [name, value]) {
        encode::write_str(&mut bytes, part).unwrap();
    }
    encode::write_bin(&mut bytes, statement.as_bytes()).unwrap();
    bytes
}

pub fn id(message: u32) -> String {
    format!("{message:016x}")
}

impl Client {
    pub fn write(&mut self, bytes: &[u8]) {
        self.from.get_ref().write_all(bytes).unwrap();
    }
    /// Asks for a job with this much time left.
    pub fn ask(&mut self, message: u32, class: &str, left_ms: u32) {
        assert!(self.try_ask(message, class, left_ms), "the connection is gone");
    }
    pub fn try_ask(&mut self, message: u32, class: &str, left_ms: u32) -> bool {
        let (id, left) = (id(message), left_ms.to_string());
        let fields = [("i", id.as_str()), ("d", &left), ("h", "100.0"), ("mem", "96")];
        self.from.get_ref().write_all(&job(message, class, &fields, SELECT)).is_ok()
    }
    pub fn is_well(&mut self, message: u32) {
        let mut bytes = vec![0x94, 0];
        encode::write_uint(&mut bytes, message.into()).unwrap();
        bytes.extend(b"\xa6isWell\x91\x80");
        self.write(&bytes);
    }
    pub fn forget(&mut self, message: u32) {
        let mut bytes = b"\x93\x02\xa6forget\x91".to_vec();
        encode::write_uint(&mut bytes, message.into()).unwrap();
        self.write(&bytes);
    }
    pub fn leave(&self) {
        let _ = self.from.get_ref().shutdown(Shutdown::Both);
    }
    /// Reads to the connection's end, which has to come in order: a reset is an error.
    pub fn ends(&mut self) -> std::io::Result<usize> {
        self.from.read_to_end(&mut Vec::new())
    }
    /// The next answer in words, or `closed`.
    pub fn next(&mut self) -> String {
        let from = &mut self.from;
        let Ok(4) = decode::read_array_len(from) else { return "closed".to_string() };
        assert_eq!(decode::read_int::<u8, _>(from).unwrap(), 1);
        let message: u32 = decode::read_int(from).unwrap();
        let no_error = from.fill_buf().unwrap()[0] == 0xc0;
        if no_error {
            decode::read_nil(from).unwrap();
        }
        assert_eq!(decode::read_array_len(from).unwrap(), 2);
        let what = match from.fill_buf().unwrap()[0] {
            0xc2 | 0xc3 => format!("well {}", decode::read_bool(from).unwrap()),
            0xc4..=0xc6 => {
                let length = decode::read_bin_len(from).unwrap();
                format!("done {}", take(from, length))
            }
            _ => text(from),
        };
        let fields =
            (0..decode::read_map_len(from).unwrap()).map(|_| format!(" {}={}", text(from), text(from)));
        let fields: String = fields.collect();
        if !no_error {
            decode::read_nil(from).unwrap();
        }
        format!("{message}: {}{fields}", what.escape_debug())
    }
}

pub const SELECT: &str = "select * from sales_17.orders";

fn text(from: &mut BufReader<TcpStream>) -> String {
    let length = decode::read_str_len(from).unwrap();
    take(from, length)
}

fn take(from: &mut BufReader<TcpStream>, length: u32) -> String {
    let mut bytes = vec![0; length as usize];
    from.read_exact(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap()
}

/// An engine that accepts no connection until it is told to: one of ours fills its queue, so that the next ones come up
/// only when they are tried again.
pub struct Crowded {
    pub address: String,
    listener: TcpListener,
    filling: TcpStream,
}

impl Crowded {
    pub fn start() -> Crowded {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let filling = TcpStream::connect(address).unwrap();
        Crowded { address: address.to_string(), listener, filling }
    }
    /// The first connection that is not ours.
    pub fn accept(&self) -> TcpStream {
        let due = Instant::now() + PATIENCE;
        while Instant::now() < due {
            match self.listener.accept() {
                Ok((stream, from)) if from != self.filling.local_addr().unwrap() => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(PATIENCE)).unwrap();
                    return stream;
                }
                _ => std::thread::sleep(Duration::from_millis(5)),
            }
        }
        panic!("no connection has come up");
    }
}
