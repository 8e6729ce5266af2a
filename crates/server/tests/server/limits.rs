//! The program stays within its limits of descriptors, memory and threads, and evicts the state of removed engines
//! and disconnected clients.

use crate::support::SingleEngine;
use crate::support::client::Client;
use crate::support::config::ProgramConfig;
use crate::support::engines::{EngineStandIns, ReceivedLine};
use crate::support::event_bus::{EventBusStandIn, IN_SERVICE, TERMINATED, TERMINATING, endpoint};
use crate::support::program::Program;
use expect_test::expect;
use serde_json::Value as Json;
use std::time::{Duration, Instant};

/// The maximum number of threads of a program with one engine and few jobs.
const MAX_FEW_THREADS: usize = 16;

/// Returns `few` for up to [`MAX_FEW_THREADS`] threads, and the number for more.
fn few_or_count(threads: usize) -> String {
    if threads <= MAX_FEW_THREADS { "few".to_string() } else { threads.to_string() }
}

/// All descriptors for clients are in use. Further connections must wait until one of them is free, instead of being
/// refused.
#[test]
fn connections_over_the_limit_wait_for_their_turn() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address).socket_limit(120));

    std::thread::scope(|scope| {
        let client = |message| {
            let program = &program;
            // A connection on which no request arrives soon may be closed for another one. The client connects again.
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
            if let Some(received) = engines.next_line_if_soon() {
                received.reply("HIT", "sheets=1", "");
            }
        }
        for client in clients {
            assert!(client.join().unwrap().ends_with(": done "));
        }
    });
}

/// At a deployment whose gateways can't cancel dispatches, jobs go on after their clients have left. If they kept the
/// connections' descriptors, clients that connect again would not be accepted until the engines answer.
#[test]
fn jobs_whose_clients_have_left_keep_no_descriptors() {
    const SOCKETS: u32 = 120;
    /// The descriptors of client connections: two fifths of the limit.
    const CLIENTS: u32 = 48;
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let config = ProgramConfig::new(&engines, &bus.address);
    let config = config.socket_limit(SOCKETS).client_timeout_ms(60_000.0);
    let program = Program::start_with(config.set("/settings/Ceilings/Cancelling", Json::Bool(false)));

    let mut leaving: Vec<Client> = (0..CLIENTS).map(|_| program.connect()).collect();
    // All jobs arrive at once: an engine that has answered nothing for a while gets no more.
    program.while_suspended(|| {
        for (message, client) in (1..).zip(&mut leaving) {
            client.submit(message, "lookup", 60_000);
        }
    });
    let _running: Vec<ReceivedLine> = (0..CLIENTS).map(|_| engines.next_line()).collect();
    drop(leaving);
    let mut returning: Vec<Client> = (0..CLIENTS).map(|_| program.connect()).collect();
    for client in &mut returning {
        client.request_health(1);
        assert_eq!(client.next_answer(), "1: well true");
    }
}

/// The system grants fewer descriptors than the configured limits, so that accepting fails. Waiting clients must be
/// accepted once others have disconnected.
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

/// Clients that send nothing, stay connected after their answer, or stop in the middle of a message could use all
/// descriptors. They are closed for clients that submit jobs; a connection with an open job must not be.
#[test]
fn idle_clients_are_closed_for_those_with_requests() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address).socket_limit(120));
    let mut waiting = program.connect();

    waiting.submit(1, "lookup", 20_000);
    let received = engines.next_line();
    let mut idle = Vec::new();
    for message in 2..100 {
        let mut client = program.connect();
        match message % 3 {
            0 => client.send_raw(b"\x94\x00"),
            1 => {
                client.submit(message, "lookup", 9000);
                engines.next_line().reply("HIT", "sheets=1", "");
                assert!(client.next_answer().ends_with("done "));
            }
            _ => {}
        }
        idle.push(client);
    }
    received.reply("HIT", "sheets=1", "patient");
    expect![[r"1: done patient\tb\tc\n"]].assert_eq(&waiting.next_answer());
    // The connections that were not closed for others are closed by the idle timeout.
    let ends = idle.iter_mut().map(Client::next_answer);

    assert!(ends.into_iter().all(|end| end == "closed"));
}

/// With the quota of open jobs in use, the program must stay within its memory limit. Further jobs must be rejected at
/// once.
#[test]
fn the_maximum_number_of_open_jobs_fits_the_memory_limit() {
    const CLIENTS: u32 = 20;
    const JOBS_PER_CLIENT: u32 = 32;
    /// The quota of open jobs that follows from the limits of memory and descriptors.
    const MAX_OPEN_JOBS: u32 = 422;
    /// The maximum resident memory with all these jobs open. The limit is 32 MiB.
    const MAX_RESIDENT_KB: usize = 28 * 1024;
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address).limits(0.2, 32, 256));
    let mut client = program.connect();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| program.connect()).collect();

    for (n, client) in (0..).zip(&mut clients) {
        (1..=JOBS_PER_CLIENT)
            .for_each(|message| client.submit(n * JOBS_PER_CLIENT + message, "lookup", 60_000));
    }
    // Rejections are answered at once, so before the health check. Other jobs are not answered yet.
    let mut rejected = Vec::new();
    for client in &mut clients {
        client.request_health(9999);
        let answers = std::iter::from_fn(|| Some(client.next_answer()));
        rejected.extend(answers.take_while(|answer| !answer.starts_with("9999:")));
    }
    assert_eq!(rejected.len() as u32, CLIENTS * JOBS_PER_CLIENT - MAX_OPEN_JOBS);
    assert!(rejected.iter().all(|answer| answer.ends_with(": Busy w=1000")));
    let (resident_kb, threads) = (program.resident_kb(), program.thread_count());
    println!("{resident_kb} KB resident, {threads} threads");
    assert!(resident_kb < MAX_RESIDENT_KB, "{resident_kb} KB");
    // Once the clients have disconnected, a job is admitted again: their resources are released.
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

/// A list of 1024 engines is replaced by another, with the lowest limits of memory and descriptors. There must be no
/// thread for each engine, since many such programs on one machine would exhaust its threads. Jobs complete before and
/// after.
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

    let mut observed = vec![few_or_count(program.thread_count())];
    for (message, name) in [(1, "e"), (2, "new")] {
        if name == "new" {
            bus.send_update(2, &endpoints("new", IN_SERVICE));
            bus.send_update(3, &endpoints("e", TERMINATED));
            bus.disconnect();
            assert_eq!(bus.next_subscription(), "from 3");
        }
        client.submit(message, "lookup", 9000);
        engines.complete(message);
        observed.extend([client.next_answer(), few_or_count(program.thread_count())]);
    }

    expect!["few|1: done |few|2: done |few"].assert_eq(&observed.join("|"));
}

/// Engines with new ids are listed and removed, and clients connect and disconnect, many times. If their state were
/// kept, the number of threads and descriptors, or the memory, would grow without limit.
#[test]
fn state_of_removed_engines_and_disconnected_clients_is_evicted() {
    /// How much more may be in use at the end than at the first measurement, in threads, descriptors and MiB: the state
    /// of the last engines and clients may still be kept.
    const MAX_GROWTH: [usize; 3] = [40, 40, 4];
    let SingleEngine { engines, mut bus, program, client: _idle } = SingleEngine::start();

    let usage = || [program.thread_count(), program.descriptor_count(), program.resident_kb() / 1024];
    let mut measurements = Vec::new();
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
            measurements.push(usage());
        }
    }
    let mut client = program.connect();
    client.submit(1, "lookup", 9000);
    engines.complete(1);
    assert_eq!(client.next_answer(), "1: done ");
    let [first, .., last] = measurements[..] else { panic!("no usage was recorded") };
    let max: Vec<usize> = first.iter().zip(MAX_GROWTH).map(|(first, growth)| first + growth).collect();

    assert!(last.iter().zip(max).all(|(last, max)| *last <= max), "{measurements:?}");
}

/// Idle clients use all descriptors for clients while the event bus is disconnected. If they also used those reserved
/// for the bus and for engines, the program could neither reconnect to the bus nor send a job to an engine that it
/// lists.
#[test]
fn idle_clients_leave_descriptors_free_for_the_event_bus_and_engines() {
    let (mut engines, mut bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let config = ProgramConfig::new(&engines, &bus.address).socket_limit(120);
    let program = Program::start_with_descriptor_limit(config, 120);

    assert_eq!(bus.next_subscription(), "from 1");
    let idle: Vec<Client> = (0..200).map(|_| program.connect()).collect();
    bus.disconnect();
    assert_eq!(bus.next_subscription(), "from 1");
    engines.add("127.0.0.1:0");
    let entries = vec![
        endpoint("e0", &engines.addresses[0], TERMINATING),
        endpoint("e1", &engines.addresses[1], IN_SERVICE),
    ];
    bus.send_update(2, &entries);
    program.wait_for_log("endpoint list changed event=2 ");
    // Idle clients are closed for one that submits a job, and there is a descriptor for the connection to its engine.
    let mut client = program.connect();
    client.submit(1, "lookup", 20_000);
    let received = engines.next_line();
    received.reply("HIT", "sheets=1", "");
    assert_eq!((received.engine, client.next_answer()), (1, "1: done ".to_string()));
    drop(idle);
}

/// Jobs that wait for an engine, or are rejected, must not have a thread each: with so many threads, a program that
/// gets little processor time would answer too late.
#[test]
fn jobs_that_are_not_dispatched_need_no_thread() {
    const JOBS: u32 = 300;
    const JOBS_PER_CLIENT: u32 = 30;
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let draining = endpoint("e0", &engines.addresses[0], TERMINATING);
    let program =
        Program::start_with(ProgramConfig::new(&engines, &bus.address).known_endpoints(&[draining]));
    let mut clients: Vec<Client> = (0..JOBS / JOBS_PER_CLIENT).map(|_| program.connect()).collect();
    for message in 1..=JOBS {
        clients[(message % (JOBS / JOBS_PER_CLIENT)) as usize].submit(message, "lookup", 1500);
    }
    for client in &mut clients {
        client.request_health(JOBS + 1);
    }
    let mut max_threads = 0;
    for client in &mut clients {
        while !client.next_answer().contains("well") {}
        max_threads = max_threads.max(program.thread_count());
    }
    let mut answers: Vec<String> = Vec::new();
    for client in &mut clients {
        answers.extend((0..JOBS_PER_CLIENT).map(|_| client.next_answer()));
    }
    let busy = answers.iter().filter(|answer| answer.contains(": Busy")).count();

    expect!["few threads, 300 of 300 rejected"]
        .assert_eq(&format!("{} threads, {busy} of {JOBS} rejected", few_or_count(max_threads)));
}

/// After a burst of jobs, the threads that it needed must end although single jobs continue to arrive. If idle threads
/// got these jobs in turn, none of them would reach its idle timeout.
#[test]
fn threads_of_a_burst_end_while_jobs_continue() {
    /// The number of jobs that are open at the same time.
    const BURST: u32 = 60;
    const JOBS_PER_CLIENT: u32 = 30;
    /// The maximum wait for the threads to end; each ends after it was idle for one second.
    const THREADS_END_TIMEOUT: Duration = Duration::from_secs(8);
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let mut clients: Vec<Client> = (0..BURST / JOBS_PER_CLIENT).map(|_| program.connect()).collect();
    for message in 1..=BURST {
        clients[(message % (BURST / JOBS_PER_CLIENT)) as usize].submit(message, "lookup", 20_000);
    }
    let received: Vec<ReceivedLine> = (0..BURST).map(|_| engines.next_line()).collect();
    let burst_threads = program.thread_count();
    for received in &received {
        received.reply("HIT", "sheets=1", "");
    }
    let began = Instant::now();
    let mut message = 1000;
    while program.thread_count() > MAX_FEW_THREADS && began.elapsed() < THREADS_END_TIMEOUT {
        client.submit(message, "lookup", 9000);
        engines.complete(message);
        assert_eq!(client.next_answer(), format!("{message}: done "));
        message += 1;
    }

    expect!["a thread for each job: true, threads after the burst: few"].assert_eq(&format!(
        "a thread for each job: {}, threads after the burst: {}",
        burst_threads >= BURST as usize,
        few_or_count(program.thread_count())
    ));
}
