//! The gateway stands still for a while and then finds more connections with a request than one wait for events tells:
//! final answers that come long after the client's time.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ENGINES: usize = 6;
/// Clients, each with a connection of its own. Clients hold a third of the 1,024 descriptors at most.
const CLIENTS: usize = 320;
/// How long the gateway stands still, and when in that time the requests are written.
const STALL_MS: u64 = 1_800;
const WRITE_AFTER_MS: u64 = 150;
/// How long the clients wait, less than the latency objective of the class.
const TIMEOUT_MS: u32 = 3_000;
/// The work that the clients' estimates name, on two threads, and the time that a report takes at a busy engine.
const WORK_MS: u32 = 2_400;
const RUN_MS: u64 = 2_800;
/// A final answer that comes later than this after the client's time is lost.
const LATE: Duration = Duration::from_millis(500);

fn main() {
    let play = Play::begin();
    let timers = Timers::start();
    let engines: Vec<Engine> =
        (0..ENGINES).map(|i| Engine::start_with(&play, &timers, &format!("e{i}"), true)).collect();
    engines.iter().for_each(|engine| engine.set_policy(|_| Service::Serve(RUN_MS)));
    let bus = Bus::start(&play);
    let listed = engines.iter().enumerate().map(|(i, engine)| Listed::new(&format!("e{i}"), engine.address));
    let settings = Settings {
        aim_ms: 3_000,
        gateways: 2,
        reports: "piggyback",
        ..Settings::new(bus.address, listed.collect())
    };
    // One of the two gateways stands still.
    let program = Program::start(&play, "n0", free_address(), &settings.json());
    let second = settings.json().replace("\"Ordinal\":0", "\"Ordinal\":1");
    let other = Program::start(&play, "n1", free_address(), &second);
    let mut clients: Vec<Connection> = (0..CLIENTS)
        .map(|_| Connection::open(program.address).unwrap_or_else(|| cannot_run("no connection")))
        .collect();
    // So that the gateway has accepted all connections.
    sleep_ms(500);
    let stalled_at = Instant::now();
    if play.trouble {
        play.note("SIGSTOP: the gateway stands still");
        program.signal("STOP");
    }
    sleep_ms(WRITE_AFTER_MS);
    let requests: Vec<Sent> = clients
        .iter_mut()
        .map(|client| client.request("report", TIMEOUT_MS, WORK_MS).unwrap_or_else(|| cannot_run("no request")))
        .collect();
    play.note(&format!("{CLIENTS} clients have written one request each; they wait for {TIMEOUT_MS} ms"));
    std::thread::sleep(millis(STALL_MS).saturating_sub(stalled_at.elapsed()));
    if play.trouble {
        play.note("SIGCONT: the gateway goes on");
        program.signal("CONT");
    }
    let watchers: Vec<_> = clients
        .into_iter()
        .zip(requests)
        .enumerate()
        .map(|(number, (client, sent))| {
            let play = play.clone();
            std::thread::spawn(move || is_lost(&play, number, &client, &sent))
        })
        .collect();
    let lost = watchers.into_iter().map(|watcher| watcher.join().unwrap()).filter(|lost| *lost).count();
    let attempts: usize = engines.iter().map(|engine| engine.attempts().len()).sum();
    play.note(&format!("attempts at all engines: {attempts}"));
    drop((program, other));
    play.end(lost > 0, &format!("{lost} of {CLIENTS} requests got no answer within {TIMEOUT_MS} + 500 ms"));
}

/// Waits for the answer and records it.
fn is_lost(play: &Arc<Play>, number: usize, client: &Connection, sent: &Sent) -> bool {
    let time_is_over = sent.at + millis(TIMEOUT_MS.into());
    match client.arrivals.recv_timeout(Duration::from_secs(12)) {
        Ok(Arrival::Answer { answer, at, .. }) => {
            let lost = at > time_is_over + LATE;
            let after = at.saturating_duration_since(sent.at).as_millis();
            let word = if matches!(answer, Answer::Served(_)) { "served".into() } else { format!("{answer:?}") };
            let note = if lost { ": lost" } else { "" };
            play.note_at(at, &format!("client {number}: {word} {after} ms after the request was written{note}"));
            lost
        }
        other => {
            play.note(&format!("client {number}: no answer: {other:?}: lost"));
            true
        }
    }
}
