//! Descriptors, memory and threads: the program keeps within its limits, and state of what has gone is evicted.

use crate::support::SingleEngine;
use crate::support::client::Client;
use crate::support::config::ProgramConfig;
use crate::support::engines::{EngineStandIns, ReceivedLine};
use crate::support::event_bus::{EventBusStandIn, IN_SERVICE, TERMINATED, TERMINATING, endpoint};
use crate::support::program::Program;
use expect_test::expect;
use serde_json::Value as Json;
use std::time::{Duration, Instant};

/// As many threads as the program has with one engine and few jobs.
const FEW_THREADS: usize = 16;

/// Says `few`, or how many threads there are where that is not so.
fn few(threads: usize) -> String {
    if threads <= FEW_THREADS { "few".to_string() } else { threads.to_string() }
}

/// All descriptors for clients are in use: a further connection waits and is served in its turn.
#[test]
fn connections_over_the_limit_wait_for_their_turn() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address).socket_limit(120));

    std::thread::scope(|scope| {
        let client = |message| {
            let program = &program;
            // One that is too slow to submit is closed for others and connects again.
            scope.spawn(move || {
                loop {
                    let mut client = program.connect();
                    client.submit(message, "lookup", 15_000);
                    match client.next_answer() {
                        closed if closed == "closed" => {}
                        answer => return answer,
                    }
                }
            })
        };
        let clients: Vec<_> = (0..60).map(client).collect();
        while !clients.iter().all(std::thread::ScopedJoinHandle::is_finished) {
            if let Some(seen) = engines.next_line_if_soon() {
                seen.reply("HIT", "-", "");
            }
        }
        for client in clients {
            assert!(client.join().unwrap().ends_with(": done "));
        }
    });
}

/// The system gives fewer descriptors than the limits promise: clients are accepted as others leave.
#[test]
fn clients_wait_when_the_system_is_out_of_descriptors() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let program = Program::start_with_descriptor_limit(ProgramConfig::new(&engines, &bus.address), 24);
    let mut clients: Vec<Client> = (0..40).map(|_| program.connect()).collect();

    for client in &mut clients {
        client.request_health(1);
    }
    for mut client in clients {
        assert_eq!(client.next_answer(), "1: well true");
    }
}

/// Clients that connect and send nothing, that stay when they have their answer, or that stop in the middle of a
/// message are closed for those who submit jobs. No connection with an open job is.
#[test]
fn idle_clients_are_closed_for_those_with_requests() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address).socket_limit(120));
    let mut patient = program.connect();

    patient.submit(1, "lookup", 20_000);
    let seen = engines.next_line();
    let mut idle = Vec::new();
    for message in 2..100 {
        let mut client = program.connect();
        match message % 3 {
            0 => client.send_raw(b"\x94\x00"),
            1 => {
                client.submit(message, "lookup", 9000);
                engines.next_line().reply("HIT", "-", "");
                assert!(client.next_answer().ends_with("done "));
            }
            _ => {}
        }
        idle.push(client);
    }
    seen.reply("HIT", "-", "patient");
    expect![[r"1: done patient\tb\tc\n"]].assert_eq(&patient.next_answer());
    // Silent connections are closed by themselves, too.
    let ends = idle.iter_mut().map(Client::next_answer);

    assert!(ends.into_iter().all(|end| end == "closed"));
}

/// As many jobs as may be open at once fit the least memory; further ones are rejected at once.
#[test]
fn the_maximum_of_open_jobs_fits_the_memory_limit() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address).limits(0.2, 32, 256));
    let mut client = program.connect();
    let mut clients: Vec<Client> = (0..20).map(|_| program.connect()).collect();

    for (n, client) in (0..).zip(&mut clients) {
        (1..=32).for_each(|message| client.submit(n * 32 + message, "lookup", 60_000));
    }
    // A client whose job is rejected hears so at once; others hear nothing yet.
    let mut rejected = Vec::new();
    for client in &mut clients {
        client.request_health(9999);
        let answers = std::iter::from_fn(|| Some(client.next_answer()));
        rejected.extend(answers.take_while(|answer| !answer.starts_with("9999:")));
    }
    assert_eq!(rejected.len(), 640 - 422);
    assert!(rejected.iter().all(|answer| answer.ends_with(": Busy w=1000")));
    let (resident_kb, threads) = (program.resident_kb(), program.thread_count());
    println!("{resident_kb} KB resident, {threads} threads");
    assert!(resident_kb < 28 * 1024, "{resident_kb} KB");
    // When they leave, all resources are released soon.
    drop(clients);
    let mut message = 1000;
    loop {
        client.submit(message, "lookup", 60_000);
        client.request_health(1);
        if client.next_answer() == "1: well true" {
            break;
        }
        client.next_answer();
        message += 1;
    }
    engines.complete(message);

    assert_eq!(client.next_answer(), format!("{message}: done "));
}

/// Hundreds of engines in one list, all replaced by one event, with the least limits: there is no thread for each
/// engine, since a fleet of programs on one machine would run out of them, and jobs complete before and after.
#[test]
fn a_thousand_engines_need_no_more_threads_than_one() {
    let (mut engines, mut bus) = (EngineStandIns::start(0), EventBusStandIn::start());
    engines.add("0.0.0.0:0");
    let port = engines.addresses[0].rsplit(':').next().unwrap().to_string();
    let endpoints = |name: &str, state: &str| -> Vec<Json> {
        let endpoint_at = |i: u32| {
            let address = format!("127.{}.{}.{}:{port}", name.len(), i / 200, i % 200 + 1);
            endpoint(&format!("{name}{i}"), &address, state)
        };
        (0..1024).map(endpoint_at).collect()
    };
    let config = ProgramConfig::new(&engines, &bus.address)
        .limits(1.0, 24, 100)
        .known_endpoints(&endpoints("e", IN_SERVICE));
    let program = Program::start_with(config);
    let mut client = program.connect();

    let mut observed = vec![few(program.thread_count())];
    for (message, name) in [(1, "e"), (2, "new")] {
        if name == "new" {
            bus.send_update(2, &endpoints("new", IN_SERVICE));
            bus.send_update(3, &endpoints("e", TERMINATED));
            bus.disconnect();
            assert_eq!(bus.next_subscription(), "from 3");
        }
        client.submit(message, "lookup", 9000);
        engines.complete(message);
        observed.extend([client.next_answer(), few(program.thread_count())]);
    }

    expect!["few|1: done |few|2: done |few"].assert_eq(&observed.join("|"));
}

/// Engines come and go under ever new ids, and clients on ever new connections: no more threads, descriptors or memory
/// are held at the end than after a while.
#[test]
fn state_of_gone_engines_and_clients_is_evicted() {
    let SingleEngine { engines, mut bus, program, client: _idle } = SingleEngine::start();

    let figures = || [program.thread_count(), program.descriptor_count(), program.resident_kb() / 1024];
    let mut seen = Vec::new();
    for number in 2..600 {
        let endpoints = [(number, IN_SERVICE), (number - 1, TERMINATED)];
        let endpoints =
            endpoints.map(|(number, state)| endpoint(&format!("x{number}"), &engines.addresses[0], state));
        bus.send_update(u64::from(number), &endpoints);
        let mut passing = program.connect();
        passing.submit(number, "lookup", 9000);
        engines.complete(number);
        assert_eq!(passing.next_answer(), format!("{number}: done "));
        if number % 199 == 0 {
            seen.push(figures());
        }
    }
    let mut client = program.connect();
    client.submit(1, "lookup", 9000);
    engines.complete(1);
    assert_eq!(client.next_answer(), "1: done ");
    // Some that have just gone may still be there.
    let [first, .., last] = seen[..] else { panic!("no figures") };
    let most = [first[0] + 40, first[1] + 40, first[2] + 4];

    assert!(last.iter().zip(most).all(|(last, most)| *last <= most), "{seen:?}");
}

/// Idle clients use all descriptors for clients while the event bus is disconnected: those of the bus and of engines
/// stay free, so that the bus is reached once it is back, and its events are acted on.
#[test]
fn idle_clients_leave_descriptors_to_the_event_bus_and_engines() {
    let (mut engines, mut bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let config = ProgramConfig::new(&engines, &bus.address).socket_limit(120);
    let program = Program::start_with_descriptor_limit(config, 120);

    assert_eq!(bus.next_subscription(), "from 1");
    let crowd: Vec<Client> = (0..200).map(|_| program.connect()).collect();
    bus.disconnect();
    assert_eq!(bus.next_subscription(), "from 1");
    engines.add("127.0.0.1:0");
    let entries = vec![
        endpoint("e0", &engines.addresses[0], TERMINATING),
        endpoint("e1", &engines.addresses[1], IN_SERVICE),
    ];
    bus.send_update(2, &entries);
    program.wait_for_log("endpoint list changed event=2 ");
    // Idle and silent clients are closed for one that submits a job, and there is a descriptor for its engine.
    let mut client = program.connect();
    client.submit(1, "lookup", 20_000);
    let seen = engines.next_line();
    seen.reply("HIT", "-", "");
    assert_eq!((seen.engine, client.next_answer()), (1, "1: done ".to_string()));
    drop(crowd);
}

/// Jobs that wait for an engine, or are rejected, need no thread each: with so many threads a gateway that is short of
/// processor time would answer late.
#[test]
fn jobs_that_are_not_dispatched_need_no_thread() {
    const JOBS: u32 = 300;
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let draining = endpoint("e0", &engines.addresses[0], TERMINATING);
    let program =
        Program::start_with(ProgramConfig::new(&engines, &bus.address).known_endpoints(&[draining]));
    let mut clients: Vec<Client> = (0..JOBS / 30).map(|_| program.connect()).collect();
    for message in 1..=JOBS {
        clients[message as usize % (JOBS as usize / 30)].submit(message, "lookup", 1500);
    }
    for client in &mut clients {
        client.request_health(JOBS + 1);
    }
    let mut most = 0;
    for client in &mut clients {
        while !client.next_answer().contains("well") {}
        most = most.max(program.thread_count());
    }
    let mut answers: Vec<String> = Vec::new();
    for client in &mut clients {
        answers.extend((0..30).map(|_| client.next_answer()));
    }
    let busy = answers.iter().filter(|answer| answer.contains(": Busy")).count();

    expect!["few threads, 300 of 300 turned away"]
        .assert_eq(&format!("{} threads, {busy} of {JOBS} turned away", few(most)));
}

/// Threads that a burst of jobs needed end, though jobs go on arriving one by one: threads that are used in turn would
/// live for ever.
#[test]
fn threads_of_a_burst_end_while_jobs_go_on() {
    const BURST: u32 = 60;
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let mut clients: Vec<Client> = (0..BURST / 30).map(|_| program.connect()).collect();
    for message in 1..=BURST {
        clients[message as usize % (BURST as usize / 30)].submit(message, "lookup", 20_000);
    }
    let seen: Vec<ReceivedLine> = (0..BURST).map(|_| engines.next_line()).collect();
    let most = program.thread_count();
    for seen in &seen {
        seen.reply("HIT", "-", "");
    }
    let began = Instant::now();
    let mut message = 1000;
    while program.thread_count() > FEW_THREADS && began.elapsed() < Duration::from_secs(8) {
        client.submit(message, "lookup", 9000);
        engines.complete(message);
        assert_eq!(client.next_answer(), format!("{message}: done "));
        message += 1;
    }

    expect!["true, then few"].assert_eq(&format!(
        "{}, then {}",
        most >= BURST as usize,
        few(program.thread_count())
    ));
}
