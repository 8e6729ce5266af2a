//! Case 2: requests of usual clients are lost while other clients fill the memory for statements.

#[path = "../standins/common.rs"]
mod common;

use common::*;
use std::collections::HashSet;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The smallest memory and the most descriptors of the pages.
const LIMITS: Limits = Limits { memory_mb: 32, sockets: 1024 };
const USUAL_CLIENTS: usize = 10;
/// Bad clients and the length of the body that each sends. Together with the usual ones they hold less than a third of
/// the descriptors.
const BAD_CLIENTS: [(usize, usize); 4] = [(100, 120_000), (30, 30_000), (30, 8_000), (30, 2_000)];
const PATIENCE_MS: u64 = 16_000;
/// The length of the second statement of each usual client.
const STATEMENT_BYTES: usize = 16_000;
/// How late an answer may be: half a second, and 50 ms on sockets.
const GRACE: Duration = Duration::from_millis(550);

/// A request that was written so shortly before the end of its connection may be sent again.
const CROSSING: Duration = Duration::from_millis(50);

struct Site {
    name: &'static str,
    record: Arc<Record>,
    is_done: Arc<AtomicBool>,
    /// The jobs that were sent on to any engine.
    forwarded: Arc<Mutex<HashSet<String>>>,
    /// The jobs that were given up by `STOP`, which are not answered.
    stopped: Mutex<HashSet<String>>,
}

impl Engine for Site {
    fn request(self: &Arc<Self>, connection: EngineConnection, id: &str, fields: &str, statement: &[u8]) {
        self.record.line(&format!("engine {}: REQ {id} {fields}, {} bytes", self.name, statement.len()));
        lock(&self.forwarded).insert(id.to_string());
        let (site, id) = (self.clone(), id.to_string());
        thread::spawn(move || {
            // A report takes 3 s on this engine.
            sleep_ms(3_000);
            if !site.is_done.load(SeqCst) && !lock(&site.stopped).contains(&id) {
                site.record.line(&format!("engine {}: answers {id}", site.name));
                let rows = format!("{id}\t{}\tdone\n", site.name);
                connection.answer(&id, "HIT", "sheets=1,toil=2800.0,room=96", rows.as_bytes());
            }
        });
    }

    fn stop(self: &Arc<Self>, id: &str) {
        self.record.line(&format!("engine {}: STOP {id}", self.name));
        lock(&self.stopped).insert(id.to_string());
    }
}

/// Whether the disruption takes place: not with `TROUBLE=0`.
fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

fn main() {
    exit_on_panic();
    exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let is_done = Arc::new(AtomicBool::new(false));
    let forwarded = Arc::new(Mutex::new(HashSet::new()));
    let mut entries = Vec::new();
    for (name, zone) in [("s-1a", "hall-a"), ("s-2b", "hall-a"), ("s-3c", "hall-b"), ("s-4d", "hall-b")] {
        let (record, is_done, forwarded) = (record.clone(), is_done.clone(), forwarded.clone());
        let port =
            serve_engine(Arc::new(Site { name, record, is_done, forwarded, stopped: Mutex::default() }));
        entries.push(entry(name, port, zone, "in_service", 0));
    }
    let bus = Bus::start(&entries, &record);
    let mut managers = start_managers(LIMITS, RUN_ONCE_LOAD, &bus, &record);
    let port = managers[0].port;

    record.line("-- each usual client sends a report");
    let clients: Vec<Client> =
        (0..USUAL_CLIENTS).map(|number| Client::connect(&format!("u{number}"), port, &record)).collect();
    for (number, client) in clients.iter().enumerate() {
        let statement = format!("select * from sales_{number}.orders");
        client.submit("report", &new_job_id(), PATIENCE_MS, statement.as_bytes());
    }
    sleep_ms(300);

    let refused = Arc::new(AtomicUsize::new(0));
    if trouble() {
        record.line("-- bad clients: two hundred requests at once, and the same again when turned away");
        for (count, length) in BAD_CLIENTS {
            for _ in 0..count {
                let (is_done, refused) = (is_done.clone(), refused.clone());
                thread::spawn(move || bad_client(port, length, &is_done, &refused));
            }
            sleep_ms(150);
        }
    }

    sleep_ms(300);
    record.line("-- each usual client sends another report, a longer one, which comes in two pieces");
    thread::scope(|scope| {
        for (number, client) in clients.iter().enumerate() {
            scope.spawn(move || {
                sleep_ms(40 * number as u64);
                let statement = report_statement(number, STATEMENT_BYTES);
                client.submit_in_pieces("report", &new_job_id(), PATIENCE_MS, &statement, 12_000, 120);
            });
        }
    });

    let deadline = Instant::now() + Duration::from_millis(PATIENCE_MS) + GRACE;
    while Instant::now() < deadline && clients.iter().any(has_open_request) {
        sleep_ms(50);
    }
    is_done.store(true, SeqCst);
    if !managers[0].is_running() {
        record.result("the workload manager has ended");
        return BROKEN;
    }
    judge(&clients, &lock(&forwarded), refused.load(SeqCst), &record)
}

/// A statement of about this length that reads one table.
fn report_statement(schema: usize, length: usize) -> Vec<u8> {
    let ids = (length.saturating_sub(60) / 4).max(1);
    format!("select * from sales_{schema}.orders where id in ({}17)", "17, ".repeat(ids)).into()
}

/// Whether the client still waits for an answer that can come.
fn has_open_request(client: &Client) -> bool {
    let state = lock(&client.state);
    state.ended.is_none()
        && state.sent.iter().any(|sent| sent.written_at.is_some() && sent.answers.is_empty())
}

fn judge(clients: &[Client], forwarded: &HashSet<String>, refused: usize, record: &Record) -> i32 {
    let (mut taken, mut lost, mut answered) = (0, 0, 0);
    for client in clients {
        let state = lock(&client.state);
        for sent in &state.sent {
            // Only a request of which the last byte was written to the open connection has been taken.
            let Some(written_at) = sent.written_at else { continue };
            // One that crosses a close within 50 ms is sent again and not lost.
            if state.ended.as_ref().is_some_and(|(ended_at, _)| *ended_at <= written_at + CROSSING) {
                continue;
            }
            // Nor is the first one on a connection that is closed without having sent anything on for it.
            if state.ended.is_some() && sent.number == 1 && !forwarded.contains(&sent.job) {
                continue;
            }
            taken += 1;
            let in_time = |at: Instant| at <= written_at + sent.patience + GRACE;
            if sent.answers.first().is_some_and(|(at, _)| in_time(*at)) {
                answered += 1;
                continue;
            }
            lost += 1;
            let how = state.ended.as_ref().map_or("no answer in time".to_string(), |(at, how)| {
                format!(
                    "{how} {} ms after its last byte, no answer",
                    at.duration_since(written_at).as_millis()
                )
            });
            record.line(&format!(
                "BROKEN: client {}, request {}, job {}: {how}",
                client.name, sent.number, sent.job
            ));
        }
    }
    record.line(&format!("requests of bad clients that were turned away: {refused}"));
    record.result(&format!(
        "{lost} of {taken} requests that were taken from usual clients were lost, {answered} answered"
    ));
    match (taken < clients.len(), lost) {
        (true, 0) => COULD_NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    }
}

/// Sends one request with a body of this length, reads what it is sent, and sends the same again when it is turned
/// away.
fn bad_client(port: u16, length: usize, is_done: &AtomicBool, refused: &AtomicUsize) {
    use std::io::{Read, Write};
    let body = report_statement(3, length);
    while !is_done.load(SeqCst) {
        let Ok(mut stream) = std::net::TcpStream::connect(("127.0.0.1", port)) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(200)));
        let fields = [("i", new_job_id()), ("d", PATIENCE_MS.to_string())];
        let _ = stream.write_all(&request(1, "report", &fields, &body));
        let mut answer = [0; 4096];
        while !is_done.load(SeqCst) {
            match stream.read(&mut answer) {
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                _ => break,
            }
        }
        refused.fetch_add(1, SeqCst);
        sleep_ms(20);
    }
}
