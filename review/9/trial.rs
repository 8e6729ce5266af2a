//! A planned restart while the gateway is at its limit of open jobs: requests on open connections that the gateway
//! closes without having read them.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Connections of busy clients, each with as many open requests as a connection may carry.
const BUSY_CONNECTIONS: usize = 16;
const OPEN_REQUESTS: usize = 32;
/// Clients that have one request at a time.
const SINGLE_CLIENTS: usize = 24;
/// A request that crosses a close within 50 ms is sent again by its client; 10 ms more are for the measurement.
const CROSSING: Duration = Duration::from_millis(60);
/// A job's time at an engine.
const RUN_MS: u64 = 3_000;
const TIMEOUT_MS: u32 = 20_000;
/// The planned restart comes this long after the start of the traffic.
const RESTART_AFTER_MS: u64 = 5_000;
/// SIGKILL comes this long after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s more.
const KILL_AFTER_MS: u64 = 3_700;

#[derive(Default)]
struct Seen {
    lost: Vec<String>,
    sent: AtomicUsize,
    answered: AtomicUsize,
    refused: AtomicUsize,
    crossed: AtomicUsize,
}

fn main() {
    let play = Play::begin();
    let timers = Timers::start();
    let engines: Vec<Engine> =
        (0..2).map(|i| Engine::start_with(&play, &timers, &format!("e{i}"), true)).collect();
    for engine in &engines {
        engine.set_policy(|_| Service::Serve(RUN_MS));
    }
    let bus = Bus::start(&play);
    let listed = engines.iter().enumerate().map(|(i, engine)| Listed::new(&format!("e{i}"), engine.address));
    let settings = Settings { memory_mb: 32, ..Settings::new(bus.address, listed.collect()) };
    let mut program = Program::start(&play, "n0", free_address(), &settings.json());
    let address = program.address;
    let (seen, ended) = (Arc::new(Mutex::new(Seen::default())), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..BUSY_CONNECTIONS + SINGLE_CLIENTS)
        .map(|number| {
            let (play, seen, ended) = (play.clone(), seen.clone(), ended.clone());
            let open = if number < BUSY_CONNECTIONS { OPEN_REQUESTS } else { 1 };
            std::thread::spawn(move || run_client(&play, address, number, open, &seen, &ended))
        })
        .collect();
    sleep_ms(RESTART_AFTER_MS);
    if play.trouble {
        play.note("SIGTERM");
        program.signal("TERM");
    }
    let killed_at = Instant::now() + millis(KILL_AFTER_MS);
    while Instant::now() < killed_at && !program.has_ended() {
        sleep_ms(5);
    }
    ended.store(true, SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    play.note("the program is ended now, if it has not ended by itself");
    program.kill();
    let seen = lock(&seen);
    let count = |counter: &AtomicUsize| counter.load(SeqCst);
    play.note(&format!(
        "requests sent {}, answered {} (of these refused {}), crossed a close within 50 ms (and 10 ms of slack) {}, lost {}",
        count(&seen.sent),
        count(&seen.answered),
        count(&seen.refused),
        count(&seen.crossed),
        seen.lost.len()
    ));
    if count(&seen.refused) == 0 {
        cannot_run("the gateway has refused nothing, so that it was not at its limit");
    }
    play.end(!seen.lost.is_empty(), &format!("{} requests were lost", seen.lost.len()));
}

/// Keeps `limit` requests open on one connection, and sends the next one as soon as one is answered, until the gateway
/// ends the connection or the play is over.
fn run_client(
    play: &Play,
    address: std::net::SocketAddr,
    number: usize,
    limit: usize,
    seen: &Mutex<Seen>,
    ended: &AtomicBool,
) {
    let Some(mut connection) = Connection::open(address) else { cannot_run("no connection") };
    let mut open = OpenRequests::new();
    // Those with one request come once the others are there, one after another.
    if limit == 1 {
        sleep_ms(1_000 + 9 * number as u64);
    }
    loop {
        while open.len() < limit && !ended.load(SeqCst) {
            // A run-once job: its client may not simply send it again.
            let Some(sent) = connection.request("load", TIMEOUT_MS, RUN_MS as u32) else { break };
            lock(seen).sent.fetch_add(1, SeqCst);
            open.insert(sent.message, sent);
        }
        match connection.arrivals.recv_timeout(millis(100)) {
            Ok(Arrival::Answer { message, answer, .. }) => {
                open.remove(&message);
                let seen = lock(seen);
                seen.answered.fetch_add(1, SeqCst);
                if answer == Answer::Refused {
                    seen.refused.fetch_add(1, SeqCst);
                }
            }
            Ok(Arrival::Ended { at, how }) => {
                let mut seen = lock(seen);
                for sent in open.values() {
                    let age = at.saturating_duration_since(sent.at);
                    let text = format!(
                        "client {number}: request {} (message {}), written {:.1} ms before, has no answer; the \
                         connection has ended: {how}",
                        sent.id,
                        sent.message,
                        age.as_secs_f64() * 1000.0
                    );
                    play.note_at(at, &text);
                    if age > CROSSING {
                        seen.lost.push(text);
                    } else {
                        seen.crossed.fetch_add(1, SeqCst);
                    }
                }
                return;
            }
            Err(_) => {}
        }
        // What is open at the end of the play has its time still.
        if ended.load(SeqCst) {
            connection.close();
            return;
        }
    }
}
