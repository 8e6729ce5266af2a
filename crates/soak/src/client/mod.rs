//! Clients: most send requests and wait for the answers; some cancel, disconnect, write slowly, stay idle or send
//! malformed data. Every request that may become a job is recorded in the history.

mod codec;
mod connection;

use crate::gateway::Phase;
use crate::history::{GatewayRun, Request, RequestEnd};
use crate::testbed::Testbed;
use codec::encode_request;
use connection::Connection;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

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
