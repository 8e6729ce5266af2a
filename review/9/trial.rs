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
/// How long four of five clients wait, which is less than half of the latency objective, and how long the others do.
const SHORT_TIMEOUT_MS: u32 = 3_000;
const TIMEOUT_MS: u32 = 20_000;
/// The work that the clients' estimates name, on two threads, and the time that a report takes at a busy engine.
const WORK_MS: u32 = 3_700;
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
        aim_ms: 2_000,
        give_up_ms: 25_000,
        gateways: 2,
        cores: 12,
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
        .enumerate()
        .map(|(number, client)| {
            let sent = client.request("report", timeout_ms(number), WORK_MS);
            sent.unwrap_or_else(|| cannot_run("no request"))
        })
        .collect();
    play.note(&format!("{CLIENTS} clients have written one request each; four of five wait for {SHORT_TIMEOUT_MS} ms"));
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
    play.end(lost > 0, &format!("{lost} of {CLIENTS} requests got no answer in their time and 0.5 s more"));
}

/// How long a client waits.
fn timeout_ms(number: usize) -> u32 {
    if number % 5 == 4 { TIMEOUT_MS } else { SHORT_TIMEOUT_MS }
}

/// Waits for the answer and records it.
fn is_lost(play: &Arc<Play>, number: usize, client: &Connection, sent: &Sent) -> bool {
    let time_is_over = sent.at + millis(timeout_ms(number).into());
    let patience = (time_is_over + Duration::from_secs(5)).saturating_duration_since(Instant::now());
    match client.arrivals.recv_timeout(patience) {
        Ok(Arrival::Answer { answer, at, .. }) => {
            let lost = at > time_is_over + LATE;
            let after = at.saturating_duration_since(sent.at).as_millis();
            let word = if matches!(answer, Answer::Served(_)) { "served".into() } else { format!("{answer:?}") };
            let (waits, note) = (timeout_ms(number), if lost { ": lost" } else { "" });
            let text = format!("client {number}, which waits for {waits} ms: {word} after {after} ms{note}");
            play.note_at(at, &text);
            lost
        }
        other => {
            play.note(&format!("client {number}: no answer: {other:?}: lost"));
            true
        }
    }
}
