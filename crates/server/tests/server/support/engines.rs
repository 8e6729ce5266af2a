//! Stand-ins for engines: they pass each line that they receive to the test, which decides the answer.

use super::RECEIVE_TIMEOUT;
use super::client::wire_id;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

/// How long to wait for a line that is not expected, or not certain. A line that a busy machine delays for longer is
/// not noticed, so a test may miss a failure then, but it does not fail without one.
const UNEXPECTED_LINE_TIMEOUT: Duration = Duration::from_millis(120);
/// The pause between two attempts to accept a connection.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A line that an engine has received, and the connection on which to answer it.
pub struct ReceivedLine {
    /// The engine's index in [`EngineStandIns::addresses`].
    pub engine: usize,
    pub line: String,
    /// The statement, if the line is a request; otherwise empty.
    pub body: Vec<u8>,
    from: SocketAddr,
    stream: TcpStream,
}

impl ReceivedLine {
    /// A field of the line, or an empty string if the line has fewer fields.
    pub fn field(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }
    /// Answers with the line's id, and with a page of one row that begins with `row`, or no rows if `row` is empty.
    pub fn reply(&self, kind: &str, fields: &str, row: &str) {
        self.reply_as(self.field(1), kind, fields, row);
    }
    /// As [`ReceivedLine::reply`], but with this id.
    pub fn reply_as(&self, id: &str, kind: &str, fields: &str, row: &str) {
        let page = if row.is_empty() { String::new() } else { format!("{row}\tb\tc\n") };
        let answer = format!("{id} {kind} {fields} {}\r\n{page}\r\n", page.len());
        let _ = (&self.stream).write_all(answer.as_bytes());
    }
    /// Writes bytes to the connection on which the line was received.
    pub fn send_raw(&self, bytes: &[u8]) {
        let _ = (&self.stream).write_all(bytes);
    }
    /// Whether both lines were received on the same connection.
    pub fn shares_connection_with(&self, other: &ReceivedLine) -> bool {
        self.from == other.from
    }
    /// Closes the connection on which the line was received.
    pub fn close_connection(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Engines that listen on loopback addresses. The lines that they receive are in one queue.
pub struct EngineStandIns {
    pub addresses: Vec<String>,
    received: Receiver<ReceivedLine>,
    sender: Sender<ReceivedLine>,
}

impl EngineStandIns {
    pub fn start(count: usize) -> EngineStandIns {
        let (sender, received) = channel();
        let mut engines = EngineStandIns { addresses: vec![], received, sender };
        (0..count).for_each(|_| engines.add("127.0.0.1:0"));
        engines
    }
    /// Starts a further engine that listens at this address.
    pub fn add(&mut self, address: &str) {
        let listener = TcpListener::bind(address).unwrap();
        let engine = self.addresses.len();
        self.addresses.push(listener.local_addr().unwrap().to_string());
        let sender = self.sender.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                std::thread::spawn(move || read_lines(engine, &stream, &sender));
            }
        });
    }
    /// Adds an engine with an address that refuses connections.
    pub fn add_unreachable(&mut self) {
        self.addresses.push("127.0.0.1:1".to_string());
    }
    /// The next line that any engine receives. Health checks are answered and not returned.
    pub fn next_line(&self) -> ReceivedLine {
        self.next_line_within(RECEIVE_TIMEOUT).expect("no engine has received a line")
    }
    /// Completes the job with this message number, without rows. Lines received before its request are dropped.
    pub fn complete(&self, message: u32) {
        let mut received = self.next_line();
        while (received.field(0), received.field(1)) != ("REQ", &wire_id(message)) {
            received = self.next_line();
        }
        received.reply("HIT", "sheets=1", "");
    }
    /// The next line, if one is received within [`UNEXPECTED_LINE_TIMEOUT`].
    pub fn next_line_if_soon(&self) -> Option<ReceivedLine> {
        self.next_line_within(UNEXPECTED_LINE_TIMEOUT)
    }
    /// Panics if an engine receives a line within [`UNEXPECTED_LINE_TIMEOUT`].
    pub fn expect_no_line(&self) {
        if let Some(received) = self.next_line_if_soon() {
            panic!("engine {} has received {}", received.engine, received.line);
        }
    }
    fn next_line_within(&self, timeout: Duration) -> Option<ReceivedLine> {
        loop {
            match self.received.recv_timeout(timeout) {
                Ok(received) if ["HELO", "STAT"].contains(&received.field(0)) => {
                    received.reply("PONG", "meter=util:0.1", "");
                }
                Ok(received) => return Some(received),
                Err(RecvTimeoutError::Timeout) => return None,
                Err(error) => panic!("{error}"),
            }
        }
    }
}

fn read_lines(engine: usize, stream: &TcpStream, sender: &Sender<ReceivedLine>) {
    let Ok(from) = stream.peer_addr() else { return };
    let mut reader = BufReader::new(stream);
    let mut buffer = String::new();
    while reader.read_line(&mut buffer).is_ok_and(|count| count > 0) {
        let line = buffer.trim_end().to_string();
        let body = if line.starts_with("REQ ") { read_body(&line, &mut reader) } else { vec![] };
        buffer.clear();
        let stream = stream.try_clone().unwrap();
        let _ = sender.send(ReceivedLine { engine, line, body, from, stream });
    }
}

/// Reads the body of a request, whose length is the last field of its line.
fn read_body(line: &str, reader: &mut impl Read) -> Vec<u8> {
    let length: usize = line.rsplit(' ').next().unwrap().parse().unwrap();
    let mut body = vec![0; length + 2];
    reader.read_exact(&mut body).unwrap();
    assert!(body.ends_with(b"\r\n"), "the body does not end with CR LF");
    body.truncate(length);
    body
}

/// An engine that accepts no connection until [`UnacceptingEngine::accept`] is called. A connection of its own fills
/// its listen queue, so the system establishes the program's connection only when it retries after that.
pub struct UnacceptingEngine {
    pub address: String,
    listener: TcpListener,
    /// Fills the listen queue.
    queue_filler: TcpStream,
}

impl UnacceptingEngine {
    pub fn start() -> UnacceptingEngine {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let queue_filler = TcpStream::connect(address).unwrap();
        UnacceptingEngine { address: address.to_string(), listener, queue_filler }
    }
    /// Accepts connections up to the first one of the program, which is returned.
    pub fn accept(&self) -> TcpStream {
        let deadline = Instant::now() + RECEIVE_TIMEOUT;
        while Instant::now() < deadline {
            match self.listener.accept() {
                Ok((stream, from)) if from != self.queue_filler.local_addr().unwrap() => {
                    stream.set_nonblocking(false).unwrap();
                    stream.set_read_timeout(Some(RECEIVE_TIMEOUT)).unwrap();
                    return stream;
                }
                _ => std::thread::sleep(ACCEPT_POLL_INTERVAL),
            }
        }
        panic!("no connection was established");
    }
}
