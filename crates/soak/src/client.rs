//! Clients: most ask and wait, some leave, take back, write slowly, rest or speak nonsense. Every request that may reach
//! a job is recorded in the history.

use crate::gateway::Phase;
use crate::history::{GatewayRun, Request, RequestEnd};
use crate::testbed::{Testbed, locked};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rmp::{decode, encode};
use std::collections::HashMap;
use std::io::Cursor;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// After a stop is told: new connections for so long, requests on used ones, and a first one on a fresh one.
const NEW_CONNECTIONS: Duration = Duration::from_millis(300);
const USED_CONNECTIONS: Duration = Duration::from_millis(550);
const FRESH_CONNECTIONS: Duration = Duration::from_millis(1500);
/// A client waits for an answer this much longer than it says.
const PATIENCE_MORE: Duration = Duration::from_millis(1500);
const LOOK: Duration = Duration::from_millis(10);
const MOST_REQUESTS: usize = 8;
/// Clients close idle connections after 4 s; this one asks before that.
const LONGEST_REST: u64 = 3500;
/// Some rest until the gateway ends the connection (ms), and ask in just that moment.
const REST_TO_THE_END: std::ops::Range<u64> = 4900..5300;
/// Steady clients ask again after this pause (ms) while their gateway stops, so that some cross the end.
const BETWEEN_LAST_REQUESTS: std::ops::Range<u64> = 1..80;
/// Requests with next to no time left (ms).
const SHORT_PATIENCE: std::ops::Range<u64> = 1..60;

static IDS: AtomicU64 = AtomicU64::new(1);

/// A client's way to one gateway.
pub struct Client {
    testbed: Arc<Testbed>,
    gateway: usize,
    chance: ChaCha8Rng,
}

/// One connection; its answers are entered as they come.
struct Connection {
    to: GatewayRun,
    writer: OwnedWriteHalf,
    open: Arc<Mutex<OpenRequests>>,
    reader: tokio::task::JoinHandle<()>,
    next: u32,
}

/// Requests without an answer, by message number, until the connection has ended.
#[derive(Default)]
struct OpenRequests {
    entries: HashMap<u32, usize>,
    ended: bool,
}

impl Client {
    pub fn new(testbed: Arc<Testbed>, gateway: usize, number: usize) -> Client {
        let seed = testbed.schedule.seed ^ ((gateway * 1000 + number) as u64) << 20;
        Client { testbed, gateway, chance: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Asks until the traffic is over.
    pub async fn run(mut self) {
        while !self.testbed.is_over() {
            let _ = self.one_connection().await;
            self.think().await;
        }
    }

    async fn think(&mut self) {
        let mean = self.testbed.schedule.think_time_ms(self.gateway);
        let pause = self.chance.random_range(mean / 3..=mean * 2);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    /// Whether the protocol still lets clients connect to the gateway.
    fn may_connect(&self) -> bool {
        match self.testbed.gateways[self.gateway].phase() {
            Phase::Ready => true,
            Phase::Stopping(since) => since.elapsed() < NEW_CONNECTIONS,
            Phase::Starting | Phase::Down => false,
        }
    }

    /// Whether it lets them ask on a connection to that run.
    fn may_ask(&self, to: GatewayRun, fresh: bool) -> bool {
        let within = if fresh { FRESH_CONNECTIONS } else { USED_CONNECTIONS };
        self.testbed.run_of(self.gateway) == to
            && match self.testbed.gateways[self.gateway].phase() {
                Phase::Ready => true,
                Phase::Stopping(since) => {
                    self.testbed.schedule.stop.steady_clients || since.elapsed() < within
                }
                Phase::Starting | Phase::Down => false,
            }
    }

    /// Whether a connection is used to its end: its gateway stops, and clients go on until the kill.
    fn asks_to_the_end(&self) -> bool {
        self.testbed.schedule.stop.steady_clients
            && matches!(self.testbed.gateways[self.gateway].phase(), Phase::Stopping(_))
    }

    async fn one_connection(&mut self) -> std::io::Result<()> {
        if !self.may_connect() {
            tokio::time::sleep(LOOK).await;
            return Ok(());
        }
        let mut connection = Connection::open(&self.testbed, self.gateway).await?;
        if self.chance.random_bool(0.15) {
            let rest = self.chance.random_range(50..LONGEST_REST);
            tokio::time::sleep(Duration::from_millis(rest)).await;
        }
        let planned = self.chance.random_range(1..=MOST_REQUESTS);
        for number in 0.. {
            if number >= planned && !self.asks_to_the_end() {
                break;
            }
            if connection.has_ended() || !self.may_ask(connection.to, number == 0) {
                break;
            }
            let burst = if self.chance.random_bool(0.1) { self.chance.random_range(2..=10) } else { 1 };
            let mut asked = vec![];
            for _ in 0..burst {
                let request = self.request(connection.to, number == 0);
                asked.push(self.ask(&mut connection, request).await?);
            }
            match self.chance.random_range(0..100) {
                0..8 => {
                    self.pause(5..300).await;
                    let (message, entry) = asked[0];
                    connection.forget(&self.testbed, message, entry).await?;
                }
                8..13 => {
                    self.pause(0..300).await;
                    connection.leave(&self.testbed);
                    return Ok(());
                }
                _ => {}
            }
            connection.answered(&asked).await;
            if self.asks_to_the_end() {
                self.pause(BETWEEN_LAST_REQUESTS).await;
            } else if self.chance.random_bool(0.05) {
                self.pause(REST_TO_THE_END).await;
            } else if self.chance.random_bool(0.04) {
                self.pause(100..LONGEST_REST).await;
            } else {
                self.think().await;
            }
        }
        connection.finish().await;
        Ok(())
    }

    async fn pause(&mut self, ms: std::ops::Range<u64>) {
        let ms = self.chance.random_range(ms);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    fn request(&mut self, to: GatewayRun, fresh: bool) -> Request {
        let class = self.chance.random_range(0..self.testbed.schedule.classes.len());
        let [least, most] = self.testbed.schedule.classes[class].timeout_ms;
        Request {
            id: format!("{:08x}{:08x}", self.testbed.schedule.seed as u32, IDS.fetch_add(1, SeqCst) as u32),
            to,
            class,
            timeout_ms: if self.chance.random_bool(0.06) {
                self.chance.random_range(SHORT_PATIENCE)
            } else {
                self.chance.random_range(least..=most)
            },
            sent_at: 0,
            is_first_on_connection: fresh,
            end: None,
            further_answers: 0,
        }
    }

    /// Sends a request, sometimes in slow pieces; returns its message number and its entry in the history.
    async fn ask(&mut self, connection: &mut Connection, request: Request) -> std::io::Result<(u32, usize)> {
        let message = connection.next;
        connection.next += 1;
        let bytes = encode_request(&self.testbed, message, &request);
        // Until its last byte is written it is no request.
        let slow = self.chance.random_bool(0.08);
        if slow {
            for piece in bytes[..bytes.len() - 1].chunks(20) {
                connection.writer.write_all(piece).await?;
                self.pause(1..60).await;
            }
        }
        let entry = connection.enter(&self.testbed, message, request)?;
        let rest = if slow { &bytes[bytes.len() - 1..] } else { &bytes[..] };
        if let Err(e) = connection.writer.write_all(rest).await {
            // It was never taken whole: nothing is owed.
            self.testbed.history.record_request_end(entry, RequestEnd::Abandoned);
            return Err(e);
        }
        Ok((message, entry))
    }

    /// Sends much at once and goes at once; its requests are entered as left behind.
    pub async fn rush(&mut self) -> std::io::Result<()> {
        if !self.may_connect() {
            return Ok(());
        }
        let mut connection = Connection::open(&self.testbed, self.gateway).await?;
        match self.chance.random_range(0..5) {
            0 => connection.writer.write_all(b"GET / HTTP/1.1\r\n\r\n").await?,
            1 => connection.writer.write_all(b"\x94\x00\x01\xa6lookup\x92\x80\xc6\xff\xff\xff\xff").await?,
            2 => {
                let request = self.request(connection.to, true);
                let bytes = encode_request(&self.testbed, 1, &request);
                connection.writer.write_all(&bytes[..bytes.len() / 2]).await?;
                self.pause(10..800).await;
            }
            _ => {
                for _ in 0..self.chance.random_range(5..40) {
                    let request = self.request(connection.to, true);
                    self.ask(&mut connection, request).await?;
                }
                self.pause(0..40).await;
            }
        }
        connection.leave(&self.testbed);
        Ok(())
    }

    /// Holds connections on which nothing is asked.
    pub async fn idle(&self, connections: usize, time: Duration) {
        let mut held = vec![];
        for _ in 0..connections {
            if self.may_connect()
                && let Ok(stream) = self.testbed.gateways[self.gateway].connect().await
            {
                held.push(stream);
            }
        }
        tokio::time::sleep(time).await;
        drop(held);
    }
}

impl Connection {
    async fn open(testbed: &Arc<Testbed>, gateway: usize) -> std::io::Result<Connection> {
        let to = testbed.run_of(gateway);
        let stream = testbed.gateways[gateway].connect().await?;
        let (reader, writer) = TcpStream::into_split(stream);
        let open: Arc<Mutex<OpenRequests>> = Arc::default();
        let reading = read_answers(testbed.clone(), reader, open.clone());
        Ok(Connection { to, writer, open, reader: tokio::spawn(reading), next: 1 })
    }

    /// Enters a request that is about to be written whole.
    fn enter(&self, testbed: &Testbed, message: u32, mut request: Request) -> std::io::Result<usize> {
        let mut open = locked(&self.open);
        if open.ended {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        request.sent_at = testbed.history.now();
        let entry = testbed.history.record_request(request);
        open.entries.insert(message, entry);
        Ok(entry)
    }

    fn has_ended(&self) -> bool {
        self.reader.is_finished()
    }

    async fn forget(&mut self, testbed: &Testbed, message: u32, entry: usize) -> std::io::Result<()> {
        let mut bytes = b"\x93\x02\xa6forget\x91".to_vec();
        encode::write_uint(&mut bytes, message.into()).map_err(|e| std::io::Error::other(e.to_string()))?;
        self.writer.write_all(&bytes).await?;
        testbed.history.record_request_end(entry, RequestEnd::Abandoned);
        Ok(())
    }

    /// Closes it over whatever is open.
    fn leave(self, testbed: &Testbed) {
        self.reader.abort();
        for (_, entry) in locked(&self.open).entries.drain() {
            testbed.history.record_request_end(entry, RequestEnd::Abandoned);
        }
    }

    /// Waits for the answers, as long as a client would and a little more.
    async fn answered(&self, asked: &[(u32, usize)]) {
        let waits = async {
            while asked.iter().any(|(message, _)| locked(&self.open).entries.contains_key(message)) {
                if self.has_ended() {
                    return;
                }
                tokio::time::sleep(LOOK / 5).await;
            }
        };
        let _ = tokio::time::timeout(Duration::from_secs(3) + PATIENCE_MORE, waits).await;
    }

    async fn finish(mut self) {
        let _ = self.writer.shutdown().await;
    }
}

fn encode_request(testbed: &Testbed, message: u32, request: &Request) -> Vec<u8> {
    let class = &testbed.schedule.classes[request.class];
    let patience = request.timeout_ms.to_string();
    let fields = [("i", request.id.as_str()), ("d", &patience), ("h", "20.0"), ("mem", "16")];
    let mut bytes = vec![0x94, 0];
    // A Vec takes every write.
    let _ = encode::write_uint(&mut bytes, message.into());
    let _ = encode::write_str(&mut bytes, &class.name);
    let _ = encode::write_array_len(&mut bytes, 2);
    let _ = encode::write_map_len(&mut bytes, fields.len() as u32);
    for part in fields.iter().flat_map(|(name, value)| [name, value]) {
        let _ = encode::write_str(&mut bytes, part);
    }
    let group = request.id.bytes().fold(0u32, |sum, byte| sum * 31 % 97 + u32::from(byte)) % 23;
    let _ = encode::write_bin(&mut bytes, format!("select * from sales_{group}.orders").as_bytes());
    bytes
}

async fn read_answers(testbed: Arc<Testbed>, mut from: OwnedReadHalf, open: Arc<Mutex<OpenRequests>>) {
    let (mut bytes, mut piece) = (Vec::new(), vec![0; 16 * 1024]);
    let mut answered: HashMap<u32, usize> = HashMap::new();
    let reset = loop {
        match from.read(&mut piece).await {
            Ok(0) => break false,
            Ok(count) => bytes.extend_from_slice(&piece[..count]),
            Err(_) => break true,
        }
        while let Some((length, message, end)) = decode_answer(&bytes) {
            bytes.drain(..length);
            let entry = locked(&open).entries.remove(&message).or_else(|| answered.get(&message).copied());
            if let Some(entry) = entry {
                answered.insert(message, entry);
                testbed.history.record_request_end(entry, end);
            }
        }
    };
    let mut open = locked(&open);
    open.ended = true;
    for (_, entry) in open.entries.drain() {
        testbed.history.record_request_end(entry, RequestEnd::Closed { reset });
    }
}

/// The first whole answer: its length, message number and what it says.
fn decode_answer(bytes: &[u8]) -> Option<(usize, u32, RequestEnd)> {
    let mut from = Cursor::new(bytes);
    let text = |from: &mut Cursor<&[u8]>, length: u32| {
        let start = from.position() as usize;
        let text = bytes.get(start..start + length as usize)?;
        from.set_position((start + length as usize) as u64);
        Some(String::from_utf8_lossy(text).to_string())
    };
    decode::read_array_len(&mut from).ok()?;
    decode::read_int::<u8, _>(&mut from).ok()?;
    let message: u32 = decode::read_int(&mut from).ok()?;
    let served = *bytes.get(from.position() as usize)? == 0xc0;
    if served {
        decode::read_nil(&mut from).ok()?;
    }
    decode::read_array_len(&mut from).ok()?;
    let end = if served {
        let length = decode::read_bin_len(&mut from).ok()?;
        RequestEnd::Done { rows: text(&mut from, length)? }
    } else {
        let length = decode::read_str_len(&mut from).ok()?;
        match text(&mut from, length)? {
            why if why == "Busy" => RequestEnd::Busy,
            reason => RequestEnd::Failed { reason },
        }
    };
    for _ in 0..2 * decode::read_map_len(&mut from).ok()? {
        let length = decode::read_str_len(&mut from).ok()?;
        text(&mut from, length)?;
    }
    if !served {
        decode::read_nil(&mut from).ok()?;
    }
    Some((from.position() as usize, message, end))
}
