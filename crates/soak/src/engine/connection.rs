//! One connection from a gateway: reads its messages and answers them.

use super::Engine;
use super::execution::Execution;
use super::message::message;
use crate::answers::rows;
use crate::history::{Dispatch, DispatchEnd, GatewayRun};
use crate::testbed::Testbed;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};

const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Serves a connection that this run of the engine has accepted, until it ends or the engine closes its connections.
pub(super) async fn serve(
    engine: Arc<Engine>,
    testbed: Arc<Testbed>,
    stream: TcpStream,
    gateway: usize,
    run: u32,
) {
    let from = testbed.run_of(gateway);
    let Ok(stream) = reset_when_dropped(stream) else { return };
    let runs = engine.run_sender.subscribe();
    let (reader, writer) = stream.into_split();
    let (answers, pending_answers) = mpsc::unbounded_channel();
    let writing = tokio::spawn(write_answers(engine.clone(), gateway, writer, pending_answers));
    let mut connection = Connection { engine, testbed, gateway, from, run, answers, open: HashMap::new() };
    connection.read_messages(reader, runs).await;
    connection.end_dispatches();
    writing.abort();
}

/// Makes the system reset the connection, rather than close it, when it is dropped.
fn reset_when_dropped(stream: TcpStream) -> std::io::Result<TcpStream> {
    let _ = stream.set_nodelay(true);
    let stream = stream.into_std()?;
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    TcpStream::from_std(stream)
}

async fn write_answers(
    engine: Arc<Engine>,
    gateway: usize,
    mut writer: OwnedWriteHalf,
    mut answers: mpsc::UnboundedReceiver<Vec<u8>>,
) {
    while let Some(bytes) = answers.recv().await {
        engine.wait_until_unblocked(gateway).await;
        if writer.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// One connection from a gateway.
struct Connection {
    engine: Arc<Engine>,
    testbed: Arc<Testbed>,
    gateway: usize,
    /// The gateway process that opened it.
    from: GatewayRun,
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
    /// Reads and handles messages until the connection ends, or `runs` is notified.
    async fn read_messages(&mut self, mut reader: OwnedReadHalf, mut runs: watch::Receiver<u32>) {
        let (mut bytes, mut buffer) = (Vec::new(), vec![0; READ_BUFFER_BYTES]);
        loop {
            tokio::select! {
                read = reader.read(&mut buffer) => match read {
                    Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
                    _ => return,
                },
                _ = runs.changed() => return,
            }
            let consumed = self.handle_messages(&bytes);
            bytes.drain(..consumed);
        }
    }

    /// Ends the dispatches that are open when the connection ends.
    fn end_dispatches(&mut self) {
        for (_, job) in self.open.drain() {
            job.cancelled.store(true, SeqCst);
            self.testbed.history.record_dispatch_end(job.dispatch_index, DispatchEnd::Disconnected);
        }
    }

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
