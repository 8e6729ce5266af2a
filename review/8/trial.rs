//! Bad clients that send requests of a class that does not exist, at full speed, beside usual ones: requests of usual
//! clients that get no answer in their time.
#[path = "../standins-2/common.rs"]
mod common;

use common::*;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// Connections of bad clients. With those of the usual ones they are less than a third of the 1,024 descriptors.
const BAD_CONNECTIONS: usize = 200;
const USUAL_CLIENTS: usize = 20;
const TIMEOUT_MS: u32 = 2_500;
const PLAY_MS: u64 = 12_000;
/// A final answer that comes later than this after the client's time is lost; 50 ms of it are the slack on sockets.
const LATE: Duration = Duration::from_millis(550);

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    in_time: AtomicUsize,
    lost: AtomicUsize,
    refused_bad: AtomicUsize,
}

fn main() {
    let play = Play::begin();
    let timers = Timers::start();
    let engines: Vec<Engine> =
        (0..6).map(|i| Engine::start_with(&play, &timers, &format!("e{i}"), true)).collect();
    engines.iter().for_each(|engine| engine.set_policy(|_| Service::Serve(30)));
    let bus = Bus::start(&play);
    let listed = engines.iter().enumerate().map(|(i, engine)| Listed::new(&format!("e{i}"), engine.address));
    let settings = Settings::new(bus.address, listed.collect());
    let program = Program::start(&play, "n0", free_address(), &settings.json());
    let address = program.address;
    let (counts, ended) = (Arc::new(Counts::default()), Arc::new(AtomicBool::new(false)));
    let usual: Vec<_> = (0..USUAL_CLIENTS)
        .map(|number| {
            let (play, counts, ended) = (play.clone(), counts.clone(), ended.clone());
            std::thread::spawn(move || ask_again_and_again(&play, number, address, &counts, &ended))
        })
        .collect();
    sleep_ms(1_000);
    if play.trouble {
        for _ in 0..BAD_CONNECTIONS {
            send_at_full_speed(address, &counts, &ended);
        }
        play.note(&format!("{BAD_CONNECTIONS} connections send requests of an unknown class at full speed"));
    }
    sleep_ms(PLAY_MS);
    ended.store(true, SeqCst);
    usual.into_iter().for_each(|client| client.join().unwrap());
    let count = |counter: &AtomicUsize| counter.load(SeqCst);
    play.note(&format!(
        "requests of usual clients: {}, answered in time: {}, lost: {}; bytes of answers to bad clients: {}",
        count(&counts.sent),
        count(&counts.in_time),
        count(&counts.lost),
        count(&counts.refused_bad)
    ));
    let lost = count(&counts.lost);
    drop(program);
    play.end(lost > 0, &format!("{lost} of {} requests of usual clients were lost", count(&counts.sent)));
}

/// One lookup at a time, on one connection after another.
fn ask_again_and_again(play: &Play, number: usize, address: SocketAddr, counts: &Counts, ended: &AtomicBool) {
    let mut client = Connection::open(address);
    while !ended.load(SeqCst) {
        let Some(connection) = &mut client else {
            client = Connection::open(address);
            continue;
        };
        let Some(sent) = connection.request("lookup", TIMEOUT_MS, 30) else {
            client = None;
            continue;
        };
        counts.sent.fetch_add(1, SeqCst);
        let deadline = sent.at + millis(TIMEOUT_MS.into()) + LATE;
        match connection.arrivals.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
            Ok(Arrival::Answer { at, .. }) if at <= deadline => {
                counts.in_time.fetch_add(1, SeqCst);
                sleep_ms(100);
            }
            other => {
                counts.lost.fetch_add(1, SeqCst);
                let after = sent.at.elapsed().as_millis();
                play.note(&format!("client {number}: request {} has no answer after {after} ms: {other:?}", sent.id));
                connection.close();
                client = None;
            }
        }
    }
}

fn send_at_full_speed(address: SocketAddr, counts: &Arc<Counts>, ended: &Arc<AtomicBool>) {
    let Ok(stream) = TcpStream::connect(address) else { cannot_run("no connection") };
    let (mut reader, mut writer) = (stream.try_clone().unwrap(), stream);
    let counts = counts.clone();
    std::thread::spawn(move || {
        let mut buffer = vec![0; 65_536];
        while let Ok(count @ 1..) = reader.read(&mut buffer) {
            counts.refused_bad.fetch_add(count, SeqCst);
        }
    });
    let ended = ended.clone();
    std::thread::spawn(move || {
        // [0, n, "x", []], a class that does not exist.
        let bytes: Vec<u8> = (0..2_048u32).flat_map(|n| [0x94, 0, (n % 100) as u8 + 1, 0xa1, b'x', 0x90]).collect();
        while !ended.load(SeqCst) && writer.write_all(&bytes).is_ok() {}
        let _ = writer.shutdown(Shutdown::Both);
    });
}
