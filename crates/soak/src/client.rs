//! Clients: most send requests and wait for the answers; some cancel, disconnect, write slowly, stay idle or send
//! malformed data. Every request that may become a job is recorded in the history.

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

/// For how long after the start of a gateway's stop clients still open connections to it.
const CONNECT_AFTER_STOP: Duration = Duration::from_millis(300);
/// For how long after the start of a stop clients still send requests on connections that have carried requests.
const USED_CONNECTION_AFTER_STOP: Duration = Duration::from_millis(550);
/// For how long after the start of a stop clients still send the first request on a connection.
const FIRST_REQUEST_AFTER_STOP: Duration = Duration::from_millis(1500);
/// No class has a longer client timeout than this.
const MAX_ANSWER_WAIT: Duration = Duration::from_secs(3);
/// How much longer than `MAX_ANSWER_WAIT` clients wait for answers.
const EXTRA_ANSWER_WAIT: Duration = Duration::from_millis(1500);
/// Interval at which waiting tasks check their condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of rounds of requests on one connection, unless its gateway stops.
const MAX_ROUNDS: usize = 8;
/// Maximum idle time before a request. It is less than the 4 s after which the protocol asks clients to close an idle
/// connection.
const MAX_IDLE_MS: u64 = 3500;
/// Some connections stay idle for about as long as the gateway keeps them, so that the next request is sent while the
/// gateway closes the connection.
const IDLE_UNTIL_CLOSED_MS: std::ops::Range<u64> = 4900..5300;
/// Pause between the requests of steady clients while their gateway stops. It is short, so that some requests are sent
/// while the gateway closes the connection.
const PAUSE_DURING_STOP_MS: std::ops::Range<u64> = 1..80;
/// Timeouts that leave hardly any time for the request.
const SHORT_TIMEOUT_MS: std::ops::Range<u64> = 1..60;

/// The number of the next request id.
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A client of one gateway.
pub struct Client {
    testbed: Arc<Testbed>,
    gateway: usize,
    rng: ChaCha8Rng,
}

/// One connection to a gateway. A task reads its answers and records them in the history.
struct Connection {
    to: GatewayRun,
    writer: OwnedWriteHalf,
    open_requests: Arc<Mutex<OpenRequests>>,
    reader: tokio::task::JoinHandle<()>,
    /// The number of the next message.
    next_message_number: u32,
}

/// The requests of a connection that have no answer yet.
#[derive(Default)]
struct OpenRequests {
    /// Indices of the requests in the history, by message number.
    request_indices: HashMap<u32, usize>,
    /// Whether the connection has ended.
    ended: bool,
}

impl Client {
    pub fn new(testbed: Arc<Testbed>, gateway: usize, number: usize) -> Client {
        let seed = testbed.schedule.seed ^ ((gateway * 1000 + number) as u64) << 20;
        Client { testbed, gateway, rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Sends requests until the end of the traffic.
    pub async fn run(mut self) {
        while !self.testbed.has_traffic_ended() {
            let _ = self.use_one_connection().await;
            self.think().await;
        }
    }

    /// Pauses for a random time around the gateway's typical pause between requests.
    async fn think(&mut self) {
        let typical = self.testbed.schedule.think_time_ms(self.gateway);
        let pause = self.rng.random_range(typical / 3..=typical * 2);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    /// Whether the protocol allows clients to connect to the gateway now.
    fn may_connect(&self) -> bool {
        match self.testbed.gateways[self.gateway].phase() {
            Phase::Ready => true,
            Phase::Stopping(since) => since.elapsed() < CONNECT_AFTER_STOP,
            Phase::Starting | Phase::Down => false,
        }
    }

    /// Whether the protocol allows clients to send requests on a connection to that gateway process now. Steady clients
    /// ignore its time limit.
    fn may_send(&self, to: GatewayRun, is_first: bool) -> bool {
        let time_limit = if is_first { FIRST_REQUEST_AFTER_STOP } else { USED_CONNECTION_AFTER_STOP };
        self.testbed.run_of(self.gateway) == to
            && match self.testbed.gateways[self.gateway].phase() {
                Phase::Ready => true,
                Phase::Stopping(since) => {
                    self.testbed.schedule.stop.steady_clients || since.elapsed() < time_limit
                }
                Phase::Starting | Phase::Down => false,
            }
    }

    /// Whether clients send requests until the gateway closes the connection: it is being stopped, and they are steady.
    fn sends_until_closed(&self) -> bool {
        self.testbed.schedule.stop.steady_clients
            && matches!(self.testbed.gateways[self.gateway].phase(), Phase::Stopping(_))
    }

    /// Opens a connection, sends requests on it, and closes it.
    async fn use_one_connection(&mut self) -> std::io::Result<()> {
        if !self.may_connect() {
            tokio::time::sleep(POLL_INTERVAL).await;
            return Ok(());
        }
        let mut connection = Connection::open(&self.testbed, self.gateway).await?;
        if self.rng.random_bool(0.15) {
            let idle_ms = self.rng.random_range(50..MAX_IDLE_MS);
            tokio::time::sleep(Duration::from_millis(idle_ms)).await;
        }
        let planned_rounds = self.rng.random_range(1..=MAX_ROUNDS);
        for round in 0.. {
            if round >= planned_rounds && !self.sends_until_closed() {
                break;
            }
            if connection.has_ended() || !self.may_send(connection.to, round == 0) {
                break;
            }
            let count = if self.rng.random_bool(0.1) { self.rng.random_range(2..=10) } else { 1 };
            let mut sent_requests = vec![];
            for _ in 0..count {
                let request = self.new_request(connection.to, round == 0);
                sent_requests.push(self.send_request(&mut connection, request).await?);
            }
            match self.rng.random_range(0..100) {
                0..8 => {
                    self.pause(5..300).await;
                    let (message_number, request_index) = sent_requests[0];
                    connection.cancel(&self.testbed, message_number, request_index).await?;
                }
                8..13 => {
                    self.pause(0..300).await;
                    connection.abandon(&self.testbed);
                    return Ok(());
                }
                _ => {}
            }
            connection.wait_for_answers(&sent_requests).await;
            if self.sends_until_closed() {
                self.pause(PAUSE_DURING_STOP_MS).await;
            } else if self.rng.random_bool(0.05) {
                self.pause(IDLE_UNTIL_CLOSED_MS).await;
            } else if self.rng.random_bool(0.04) {
                self.pause(100..MAX_IDLE_MS).await;
            } else {
                self.think().await;
            }
        }
        connection.close().await;
        Ok(())
    }

    async fn pause(&mut self, ms: std::ops::Range<u64>) {
        let ms = self.rng.random_range(ms);
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }

    /// A new request of a random class.
    fn new_request(&mut self, to: GatewayRun, is_first: bool) -> Request {
        let class = self.rng.random_range(0..self.testbed.schedule.classes.len());
        let [min, max] = self.testbed.schedule.classes[class].timeout_ms;
        Request {
            id: format!(
                "{:08x}{:08x}",
                self.testbed.schedule.seed as u32,
                NEXT_ID.fetch_add(1, SeqCst) as u32
            ),
            to,
            class,
            timeout_ms: if self.rng.random_bool(0.06) {
                self.rng.random_range(SHORT_TIMEOUT_MS)
            } else {
                self.rng.random_range(min..=max)
            },
            sent_at: 0,
            is_first_on_connection: is_first,
            end: None,
            further_answers: 0,
        }
    }

    /// Sends a request, sometimes in pieces and slowly. Returns its message number and its index in the history.
    async fn send_request(
        &mut self,
        connection: &mut Connection,
        request: Request,
    ) -> std::io::Result<(u32, usize)> {
        let message_number = connection.next_message_number;
        connection.next_message_number += 1;
        let bytes = encode_request(&self.testbed, message_number, &request);
        // A request counts from its last byte on, so a slow client sends all other bytes before it is recorded.
        let slow = self.rng.random_bool(0.08);
        if slow {
            for piece in bytes[..bytes.len() - 1].chunks(20) {
                connection.writer.write_all(piece).await?;
                self.pause(1..60).await;
            }
        }
        let request_index = connection.register(&self.testbed, message_number, request)?;
        let rest = if slow { &bytes[bytes.len() - 1..] } else { &bytes[..] };
        if let Err(e) = connection.writer.write_all(rest).await {
            // The gateway did not get the complete request, so it need not answer.
            self.testbed.history.record_request_end(request_index, RequestEnd::Abandoned);
            return Err(e);
        }
        Ok((message_number, request_index))
    }

    /// Sends malformed data, half a request or many requests, and disconnects shortly after. The requests are recorded
    /// as abandoned.
    pub async fn misbehave(&mut self) -> std::io::Result<()> {
        if !self.may_connect() {
            return Ok(());
        }
        let mut connection = Connection::open(&self.testbed, self.gateway).await?;
        match self.rng.random_range(0..5) {
            0 => connection.writer.write_all(b"GET / HTTP/1.1\r\n\r\n").await?,
            1 => connection.writer.write_all(b"\x94\x00\x01\xa6lookup\x92\x80\xc6\xff\xff\xff\xff").await?,
            2 => {
                let request = self.new_request(connection.to, true);
                let bytes = encode_request(&self.testbed, 1, &request);
                connection.writer.write_all(&bytes[..bytes.len() / 2]).await?;
                self.pause(10..800).await;
            }
            _ => {
                for _ in 0..self.rng.random_range(5..40) {
                    let request = self.new_request(connection.to, true);
                    self.send_request(&mut connection, request).await?;
                }
                self.pause(0..40).await;
            }
        }
        connection.abandon(&self.testbed);
        Ok(())
    }

    /// Keeps this number of idle connections open for this time.
    pub async fn hold_idle_connections(&self, connections: usize, time: Duration) {
        let mut streams = vec![];
        for _ in 0..connections {
            if self.may_connect()
                && let Ok(stream) = self.testbed.gateways[self.gateway].connect().await
            {
                streams.push(stream);
            }
        }
        tokio::time::sleep(time).await;
        drop(streams);
    }
}

impl Connection {
    async fn open(testbed: &Arc<Testbed>, gateway: usize) -> std::io::Result<Connection> {
        let to = testbed.run_of(gateway);
        let stream = testbed.gateways[gateway].connect().await?;
        let (reader, writer) = TcpStream::into_split(stream);
        let open_requests: Arc<Mutex<OpenRequests>> = Arc::default();
        let reading = read_answers(testbed.clone(), reader, open_requests.clone());
        Ok(Connection { to, writer, open_requests, reader: tokio::spawn(reading), next_message_number: 1 })
    }

    /// Records a request whose last byte is about to be written. Returns its index in the history.
    fn register(
        &self,
        testbed: &Testbed,
        message_number: u32,
        mut request: Request,
    ) -> std::io::Result<usize> {
        let mut open = locked(&self.open_requests);
        if open.ended {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        request.sent_at = testbed.history.now();
        let request_index = testbed.history.record_request(request);
        open.request_indices.insert(message_number, request_index);
        Ok(request_index)
    }

    fn has_ended(&self) -> bool {
        self.reader.is_finished()
    }

    /// Cancels a request.
    async fn cancel(
        &mut self,
        testbed: &Testbed,
        message_number: u32,
        request_index: usize,
    ) -> std::io::Result<()> {
        let mut bytes = b"\x93\x02\xa6forget\x91".to_vec();
        encode::write_uint(&mut bytes, message_number.into())
            .map_err(|e| std::io::Error::other(e.to_string()))?;
        self.writer.write_all(&bytes).await?;
        testbed.history.record_request_end(request_index, RequestEnd::Abandoned);
        Ok(())
    }

    /// Closes the connection with its requests open.
    fn abandon(self, testbed: &Testbed) {
        self.reader.abort();
        for (_, request_index) in locked(&self.open_requests).request_indices.drain() {
            testbed.history.record_request_end(request_index, RequestEnd::Abandoned);
        }
    }

    /// Waits until all these requests have ended, a little longer than a client would.
    async fn wait_for_answers(&self, requests: &[(u32, usize)]) {
        let all_ended = async {
            while requests.iter().any(|(message_number, _)| {
                locked(&self.open_requests).request_indices.contains_key(message_number)
            }) {
                if self.has_ended() {
                    return;
                }
                tokio::time::sleep(POLL_INTERVAL / 5).await;
            }
        };
        let _ = tokio::time::timeout(MAX_ANSWER_WAIT + EXTRA_ANSWER_WAIT, all_ended).await;
    }

    async fn close(mut self) {
        let _ = self.writer.shutdown().await;
    }
}

fn encode_request(testbed: &Testbed, message_number: u32, request: &Request) -> Vec<u8> {
    let class = &testbed.schedule.classes[request.class];
    let timeout = request.timeout_ms.to_string();
    let fields = [("i", request.id.as_str()), ("d", &timeout), ("h", "20.0"), ("mem", "16")];
    let mut bytes = vec![0x94, 0];
    // Writing to a vector can't fail.
    let _ = encode::write_uint(&mut bytes, message_number.into());
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

/// Reads answers until the connection ends, and records them in the history. An answer to a request that has been
/// answered is recorded as well.
async fn read_answers(
    testbed: Arc<Testbed>,
    mut from: OwnedReadHalf,
    open_requests: Arc<Mutex<OpenRequests>>,
) {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 16 * 1024]);
    // The indices of the requests that have been answered, by message number.
    let mut answered: HashMap<u32, usize> = HashMap::new();
    let reset = loop {
        match from.read(&mut buffer).await {
            Ok(0) => break false,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(_) => break true,
        }
        while let Some((length, message_number, end)) = decode_answer(&bytes) {
            bytes.drain(..length);
            let request_index = locked(&open_requests)
                .request_indices
                .remove(&message_number)
                .or_else(|| answered.get(&message_number).copied());
            if let Some(request_index) = request_index {
                answered.insert(message_number, request_index);
                testbed.history.record_request_end(request_index, end);
            }
        }
    };
    let mut open = locked(&open_requests);
    open.ended = true;
    for (_, request_index) in open.request_indices.drain() {
        testbed.history.record_request_end(request_index, RequestEnd::Closed { reset });
    }
}

/// The first answer, if it is complete: its length in bytes, its message number and the end that it means.
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
    let message_number: u32 = decode::read_int(&mut from).ok()?;
    let is_result = *bytes.get(from.position() as usize)? == 0xc0;
    if is_result {
        decode::read_nil(&mut from).ok()?;
    }
    decode::read_array_len(&mut from).ok()?;
    let end = if is_result {
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
    if !is_result {
        decode::read_nil(&mut from).ok()?;
    }
    Some((from.position() as usize, message_number, end))
}
