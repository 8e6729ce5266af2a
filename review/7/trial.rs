//! Discovery that is slow to answer new connections, while an engine is replaced by one of another cell at the same
//! address: keyed jobs are applied in two cells, long after the gateway counts as told.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::collections::{BTreeMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long the bus takes to say the first line on a new connection.
const SLOW_MS: u64 = 2_000;
/// What the bus has to tell counts as told 7 s later at the latest, and each time limit is 50 ms longer on sockets. The
/// loads are sent after that; the rest is for the measurement.
const TOLD_AFTER_MS: u64 = 7_000 + 50 + 450;
const CLIENTS: u32 = 24;
const TIMEOUT_MS: u32 = 10_000;
/// The time of a load at an engine.
const RUN_MS: u64 = 600;

fn main() {
    let play = Play::begin();
    let timers = Timers::start();
    // Two engines of cell 0, and one of cell 1.
    let old = Engine::start(&play, &timers, "a1");
    let others = [Engine::start(&play, &timers, "c1"), Engine::start(&play, &timers, "d1")];
    let bus = Bus::start(&play);
    let in_cell = |id: &str, engine: &Engine, cell| Listed { cell, ..Listed::new(id, engine.address) };
    let listed = [in_cell("a1", &old, 0), in_cell("c1", &others[0], 0), in_cell("d1", &others[1], 1)];
    let settings =
        Settings { reports: "piggyback", cores: 16, ..Settings::new(bus.address, listed.to_vec()) };
    // Loads carry a mark against repeats, which the engines of one cell drop for 12 s.
    let configuration = settings.json().replace(
        "\"Name\":\"load\",\"Semantics\":\"non_idempotent\",\"Group\":\"all\",\"DedupWindow\":5000.0",
        "\"Name\":\"load\",\"Semantics\":\"idempotency_key\",\"Group\":\"cell\",\"DedupWindow\":12000.0",
    );
    let program = Program::start(&play, "n0", free_address(), &configuration);
    sleep_ms(300);
    if play.trouble {
        bus.set_mode(BusMode::SlowToAnswer(SLOW_MS));
        bus.break_connections();
        play.note("the bus ends its connections; from now on it says the first line on a new one after 2 s");
    }
    sleep_ms(300);
    old.end();
    let new = replace(&play, &timers, &old);
    let started_at_ms = unix_ms();
    play.note("a1 of cell 0 has ended; b1 of cell 1 listens at its address");
    sleep_ms(500);
    bus.publish(2, &[listed[0].with_state("terminated"), Listed { started_at_ms, ..in_cell("b1", &new, 1) }]);
    let published_at = Instant::now();
    play.note("event 2 is in the bus: a1 is gone, b1 is in service");
    // The connection of a load breaks off where it runs first.
    let seen: Arc<Mutex<HashSet<String>>> = Arc::default();
    for engine in [&new, &others[0], &others[1]] {
        let seen = seen.clone();
        engine.set_policy(move |attempt| {
            let is_first = lock(&seen).insert(attempt.id.clone());
            if is_first { Service::RunAndBreakOff(RUN_MS) } else { Service::Serve(RUN_MS) }
        });
    }
    std::thread::sleep(millis(TOLD_AFTER_MS));
    play.note(&format!("the event has been in the bus for {:.1} s", published_at.elapsed().as_secs_f64()));
    let clients = send_loads(&play, program.address);
    wait_for_answers(&play, clients);
    sleep_ms(300);
    drop(program);
    let cells = BTreeMap::from([("c1", 0), ("d1", 1), ("b1", 1)]);
    let mut runs: BTreeMap<String, Vec<(Instant, String)>> = BTreeMap::new();
    for engine in [&new, &others[0], &others[1]] {
        for attempt in engine.attempts() {
            runs.entry(attempt.id).or_default().push((attempt.whole, attempt.engine));
        }
    }
    let (mut twice, mut again) = (0, 0);
    for (id, mut engines) in runs {
        engines.sort();
        let names: Vec<&str> = engines.iter().map(|(_, name)| name.as_str()).collect();
        again += usize::from(names.len() > 1);
        if names.iter().any(|name| cells[name] != cells[names[0]]) {
            twice += 1;
            play.note(&format!("load {id} ran at {names:?}, which are of different cells"));
        }
    }
    play.note(&format!("loads that were sent again: {again}; outside the cell in which they ran first: {twice}"));
    if again == 0 {
        cannot_run("no load was sent again");
    }
    play.end(twice > 0, &format!("{twice} keyed loads took effect in two cells"));
}

/// Starts an engine at the address of one that has ended.
fn replace(play: &Arc<Play>, timers: &Arc<Timers>, old: &Engine) -> Engine {
    let deadline = Instant::now() + Duration::from_secs(2);
    loop {
        match Engine::start_at(play, timers, "b1", false, old.address) {
            Ok(engine) => return engine,
            Err(e) if Instant::now() > deadline => cannot_run(&e.to_string()),
            Err(_) => sleep_ms(5),
        }
    }
}

fn send_loads(play: &Play, address: std::net::SocketAddr) -> Vec<Connection> {
    let send = |number: u32| {
        let mut client = Connection::open(address).unwrap_or_else(|| cannot_run("no connection"));
        let statement = format!("insert into sales_{number}.orders select * from staging.orders");
        let sent = client.request_with("load", TIMEOUT_MS, 2 * RUN_MS as u32, statement.as_bytes());
        sent.unwrap_or_else(|| cannot_run("no request"));
        client
    };
    let clients = (0..CLIENTS).map(send).collect();
    play.note(&format!("{CLIENTS} clients have asked for a load each"));
    clients
}

fn wait_for_answers(play: &Play, clients: Vec<Connection>) {
    for client in clients {
        match client.arrivals.recv_timeout(millis(u64::from(TIMEOUT_MS) + 1_000)) {
            Ok(Arrival::Answer { answer: Answer::Served(_), at, .. }) => play.note_at(at, "a load is served"),
            other => play.note(&format!("a load is not served: {other:?}")),
        }
    }
}
