//! Clients leave in a burst and come back, at a deployment whose gateways can't cancel a dispatch: requests on new
//! connections that the gateway does not accept for seconds.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ENGINES: usize = 8;
/// The descriptor limit of a gateway. Clients hold a third of it at most.
const SOCKETS: u32 = 256;
const REPORT_CLIENTS: usize = 60;
const LOOKUP_CLIENTS: usize = 25;
/// The time of a report at an engine on which others run too, its job timeout, and that of a lookup.
const REPORT_MS: u64 = 4_900;
const REPORT_TIMEOUT_MS: u32 = 20_000;
const LOOKUP_TIMEOUT_MS: u32 = 2_500;
/// A final answer that comes later than this after the client's time is lost.
const LATE: Duration = Duration::from_millis(500);

fn main() {
    let play = Play::begin();
    let timers = Timers::start();
    let engines: Vec<Engine> =
        (0..ENGINES).map(|i| Engine::start_with(&play, &timers, &format!("e{i}"), true)).collect();
    for engine in &engines {
        engine.set_policy(|attempt| Service::Serve(if attempt.class == "report" { REPORT_MS } else { 80 }));
    }
    let bus = Bus::start(&play);
    let listed = engines.iter().enumerate().map(|(i, engine)| Listed::new(&format!("e{i}"), engine.address));
    let settings = Settings {
        sockets: SOCKETS,
        gateways: 2,
        cancelling: false,
        ..Settings::new(bus.address, listed.collect())
    };
    let program = Program::start(&play, "n0", free_address(), &settings.json());
    let second = settings.json().replace("\"Ordinal\":0", "\"Ordinal\":1");
    let other = Program::start(&play, "n1", free_address(), &second);
    assert!((REPORT_CLIENTS + LOOKUP_CLIENTS) * 3 <= SOCKETS as usize);

    let mut reports: Vec<Connection> = (0..REPORT_CLIENTS).map(|_| connect(program.address)).collect();
    let mut lookups: Vec<Connection> = (0..LOOKUP_CLIENTS).map(|_| connect(program.address)).collect();
    for client in &mut lookups {
        let sent = client.request("lookup", LOOKUP_TIMEOUT_MS, 80).expect("a request on a new connection");
        if await_answer(client, &sent, LOOKUP_TIMEOUT_MS).is_none() {
            cannot_run("the usual traffic is not answered");
        }
    }
    for client in &mut reports {
        client.request("report", REPORT_TIMEOUT_MS, 3_000).expect("a request on a new connection");
    }
    sleep_ms(1_000);
    let running: usize = engines.iter().map(|engine| reports_in(&engine.attempts())).sum();
    play.note(&format!("{REPORT_CLIENTS} clients have asked for reports, of which {running} run"));
    if play.trouble {
        // All leave, and come back on new connections.
        reports.iter().chain(&lookups).for_each(Connection::close);
        play.note("all clients have closed their connections");
        sleep_ms(200);
        reports = (0..REPORT_CLIENTS).map(|_| connect(program.address)).collect();
        for client in &mut reports {
            let _ = client.request("report", REPORT_TIMEOUT_MS, 3_000);
        }
        lookups = (0..LOOKUP_CLIENTS).map(|_| connect(program.address)).collect();
        play.note("as many clients have new connections; each has asked for a report or asks for a lookup now");
    }
    let waiting: Vec<_> = lookups
        .into_iter()
        .enumerate()
        .map(|(number, mut client)| {
            let sent = client.request("lookup", LOOKUP_TIMEOUT_MS, 80);
            let play = play.clone();
            std::thread::spawn(move || watch(&play, number, &mut client, sent))
        })
        .collect();
    let lost = waiting.into_iter().filter_map(|thread| thread.join().unwrap()).count();
    drop((program, other));
    play.end(lost > 0, &format!("{lost} of {LOOKUP_CLIENTS} lookups got no answer in their time"));
}

fn connect(address: SocketAddr) -> Connection {
    Connection::open(address).unwrap_or_else(|| cannot_run("no connection"))
}

fn reports_in(attempts: &[Attempt]) -> usize {
    attempts.iter().filter(|attempt| attempt.class == "report").count()
}

/// The answer to a request, if it comes before the client's time and the slack are over.
fn await_answer(client: &Connection, sent: &Sent, timeout_ms: u32) -> Option<(Answer, Instant)> {
    let deadline = sent.at + millis(timeout_ms.into()) + LATE;
    match client.arrivals.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
        Ok(Arrival::Answer { message, answer, at }) if message == sent.message => Some((answer, at)),
        _ => None,
    }
}

/// Waits for the answer to a lookup, and records it. Returns the request if it is lost.
fn watch(play: &Arc<Play>, number: usize, client: &mut Connection, sent: Option<Sent>) -> Option<Sent> {
    let Some(sent) = sent else {
        play.note(&format!("lookup client {number}: the request could not be written"));
        return None;
    };
    play.note_at(sent.at, &format!("lookup client {number}: request {} is written", sent.id));
    if let Some((answer, at)) = await_answer(client, &sent, LOOKUP_TIMEOUT_MS) {
        play.note_at(at, &format!("lookup client {number}: {answer:?}"));
        return None;
    }
    play.note(&format!(
        "lookup client {number}: no answer {:.0} ms after the request was written; it waited for {} ms",
        sent.at.elapsed().as_secs_f64() * 1000.0,
        LOOKUP_TIMEOUT_MS
    ));
    // What comes still, for the record alone.
    match client.arrivals.recv_timeout(Duration::from_secs(8)) {
        Ok(Arrival::Answer { answer, at, .. }) => {
            play.note_at(at, &format!("lookup client {number}: too late: {answer:?}"));
        }
        Ok(Arrival::Ended { at, how }) => {
            play.note_at(at, &format!("lookup client {number}: the connection has ended: {how}"));
        }
        Err(_) => play.note(&format!("lookup client {number}: still no answer")),
    }
    Some(sent)
}
