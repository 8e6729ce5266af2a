//! Rare moments: a request, an answer or a signal that comes between two steps of the program. Each test makes the
//! bad order happen every time: stand-ins hold a byte, a reply or a signal until told, and the program is stopped
//! and let go on where it has to find several things at once. Times are waited for only to bring the program to
//! such a moment, never as proof.

#[allow(dead_code)] // each test file uses a part of them
mod helpers;
use expect_test::expect;
use helpers::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// After SIGTERM new connections and requests are served for a second. What comes after that, but before the
/// program has ended, is answered too: here what the system holds while the program stands still, on a connection
/// that rests and on one that was never accepted.
#[test]
fn what_comes_at_the_end_of_a_stop_is_answered() {
    let (engines, _bus, mut program, mut resting) = one_engine();
    let mut old = program.client();
    for client in [&mut resting, &mut old] {
        client.is_well(1);
        assert_eq!(client.next(), "1: well true");
    }
    program.signal("TERM");
    program.logged("graceful shutdown started");
    let mut new = program.held(|| {
        std::thread::sleep(Duration::from_millis(1300));
        old.ask(2, "lookup", 20_000);
        let mut new = program.client();
        new.ask(3, "lookup", 20_000);
        new
    });
    let mut seen = [engines.next(), engines.next()];
    // Whoever has nothing open is let go, while the others wait for their answers.
    assert_eq!(resting.next(), "closed");
    seen.sort_by_key(|seen| seen.word(1).to_string());
    seen[0].says("HIT", "-", "old");
    seen[1].says("HIT", "-", "new");
    let mut trace = vec![old.next(), old.next(), new.next(), new.next()];
    trace.push(program.child.wait().unwrap().to_string());
    expect![[r#"
        2: done old\tb\tc\n
        closed
        3: done new\tb\tc\n
        closed
        exit status: 0"#]]
    .assert_eq(&trace.join("\n"));
}

/// A connection that was accepted during a stop and has not carried a request yet is kept for its first one as long as
/// the stop allows: closing it would lose a request that is on its way.
#[test]
fn a_fresh_connection_waits_for_its_first_request_during_a_stop() {
    let (engines, _bus, mut program, mut resting) = one_engine();
    resting.is_well(1);
    assert_eq!(resting.next(), "1: well true");
    program.signal("TERM");
    program.logged("graceful shutdown started");
    let mut fresh = program.client();
    // The stop has come to the point from which it closes what rests, and has looked at every connection.
    assert_eq!(resting.next(), "closed");
    std::thread::sleep(Duration::from_millis(100));
    fresh.ask(2, "lookup", 20_000);
    let mut trace = vec![match engines.soon() {
        Some(seen) => {
            seen.says("HIT", "-", "taken");
            fresh.next()
        }
        None => "never sent".to_string(),
    }];
    trace.push(fresh.next());
    trace.push(program.child.wait().unwrap().to_string());
    expect![[r#"
        2: done taken\tb\tc\n
        closed
        exit status: 0"#]]
    .assert_eq(&trace.join("\n"));
}

/// A request that crosses the close at the end of a stop finds the end of the connection, not a reset: what was
/// answered before can still be read.
#[test]
fn a_stop_reads_on_until_its_clients_have_left() {
    let (_engines, _bus, mut program, mut client) = one_engine();
    client.is_well(1);
    program.signal("TERM");
    client.ends().unwrap();
    // The program's side has ended; what still comes from here is read and dropped until this side ends, too.
    client.ask(2, "lookup", 9000);
    client.ask(3, "lookup", 9000);
    assert_eq!(program.child.try_wait().unwrap(), None);
    client.leave();
    assert_eq!(program.child.wait().unwrap().to_string(), "exit status: 0");
}

/// Answers that a slow client has not taken when the program is told to stop still reach it whole.
#[test]
fn a_stop_waits_for_a_client_that_reads_slowly() {
    let (engines, _bus, mut program, mut resting) = one_engine();
    resting.is_well(1);
    assert_eq!(resting.next(), "1: well true");
    let mut slow = program.small_client();
    let rows = "x".repeat(5_900);
    // More than the system keeps for a connection: the program has to keep the rest.
    let count = pile_up(&engines, &program, &mut slow, &rows);
    program.signal("TERM");
    assert_eq!(resting.next(), "closed");
    let whole = format!("done {rows}\\tb\\tc\\n");
    for _ in 0..count {
        let answer = slow.next();
        assert!(answer.ends_with(&whole), "{}", &answer[..answer.len().min(80)]);
    }
    slow.ends().unwrap();
    assert_eq!(program.child.wait().unwrap().to_string(), "exit status: 0");
}

/// More answers than the system keeps for a connection, none of which is read; says how many.
fn pile_up(engines: &Engines, program: &Program, slow: &mut Client, rows: &str) -> u32 {
    for message in 100..200 {
        slow.ask(message, "lookup", 20_000);
        engines.next().says("HIT", "-", rows);
    }
    // The last one has its answer once another client may ask under its id.
    let mut other = program.client();
    for message in 1.. {
        other.write(&job(message, "lookup", &[("i", &id(199)), ("d", "20000")], SELECT));
        if let Some(seen) = engines.soon() {
            seen.says("HIT", "-", "");
            break;
        }
    }
    while !other.next().ends_with("done ") {}
    100
}

/// Bytes that come between the look at a resting connection and its close are not reset. The program finds more
/// connections ready than it takes up at a time, so that some rest too long by its clock while their request is there.
#[test]
fn a_request_on_a_connection_that_rested_too_long_is_answered() {
    const MANY: u32 = 350;
    let (_engines, _bus, program, _client) = one_engine();
    let asks = |_| {
        let mut client = program.client();
        client.is_well(1);
        client
    };
    let mut clients: Vec<Client> = (0..MANY).map(asks).collect();
    for client in &mut clients {
        assert_eq!(client.next(), "1: well true");
    }
    program.held(|| {
        std::thread::sleep(Duration::from_millis(5300));
        clients.iter_mut().for_each(|client| client.is_well(2));
    });
    for client in &mut clients {
        assert_eq!(client.next(), "2: well true");
    }
}

/// A request that crosses the close of a connection that rests finds the end of the connection, not a reset.
#[test]
fn a_resting_connection_is_closed_in_order() {
    let (engines, _bus, _program, mut client) = one_engine();
    client.ask(1, "lookup", 20_000);
    engines.next().says("HIT", "-", "taken");
    client.ends().unwrap();
    // Were it closed both ways, the first of these would be answered with a reset and the next one fail.
    for message in 2..20 {
        client.ask(message, "lookup", 9000);
    }
    engines.nothing();
}

/// What is of another protocol ends its connection, but not the answers that were given on it before.
#[test]
fn answers_that_were_given_outlive_a_message_of_another_protocol() {
    let (engines, _bus, program, _client) = one_engine();
    let mut slow = program.small_client();
    let rows = "x".repeat(5_900);
    let count = pile_up(&engines, &program, &mut slow, &rows);
    slow.write(b"GET / HTTP/1.1\r\n\r\n");
    let whole = format!("done {rows}\\tb\\tc\\n");
    for _ in 0..count {
        let answer = slow.next();
        assert!(answer.ends_with(&whole), "{}", &answer[..answer.len().min(80)]);
    }
    slow.ends().unwrap();
}

/// A job that its client took back, or that a client left behind, before the program had read it never leaves.
#[test]
fn what_is_taken_back_before_it_is_read_is_never_sent() {
    let (engines, _bus, program, mut client) = one_engine();
    let (mut leaver, mut other) = (program.client(), program.client());
    for client in [&mut client, &mut leaver, &mut other] {
        client.is_well(99);
        assert_eq!(client.next(), "99: well true");
    }
    program.held(|| {
        (1..20).for_each(|message| client.ask(message, "load", 9000));
        (1..20).for_each(|message| client.forget(message));
        (20..40).for_each(|message| leaver.ask(message, "load", 9000));
        leaver.leave();
    });
    client.is_well(98);
    assert_eq!(client.next(), "98: well true");
    other.ask(50, "load", 9000);
    let seen = engines.next();
    assert_eq!((seen.word(0), seen.word(1)), ("REQ", &*id(50)));
    seen.says("HIT", "-", "");
    assert_eq!(other.next(), "50: done ");
    engines.nothing();
}

/// Whoever has sent what is of no use is read late, but not so late that its `forget` is heard after 0.1 s.
#[test]
fn a_client_that_sent_useless_messages_is_heard_when_it_takes_back() {
    let (engines, bus) = (Engines::start(1), Bus::start());
    let mut patient = config(&engines, &bus.address);
    // So that no connection counts as silent, which would end instead of being told to stop.
    patient["settings"]["Ceilings"]["DialTimeout"] = json!(9000.0);
    let program = Program::with(patient);
    let (mut client, mut other) = (program.client(), program.client());
    client.ask(1, "load", 9000);
    assert_eq!(engines.next().word(0), "REQ");
    for message in 2..32 {
        client.write(&job(message, "nonsense", &[], ""));
        assert!(client.next().contains("unknown reservation type"));
    }
    client.forget(1);
    std::thread::sleep(Duration::from_millis(60));
    other.ask(40, "load", 9000);
    let order: Vec<String> = (0..2).map(|_| engines.next().word(0).to_string()).collect();
    assert_eq!(order, ["STOP", "REQ"]);
}

/// A configuration that is half written when its signal comes is read again until it is whole.
#[test]
fn a_configuration_that_is_still_being_written_is_read_again() {
    let (engines, bus, mut new_bus) = (Engines::start(1), Bus::start(), Bus::start());
    let program = Program::start(&engines, &bus);
    let good = std::fs::read_to_string(&program.file).unwrap();
    let new = good.replace(&bus.address, &new_bus.address);
    std::fs::write(&program.file, &new[..new.len() / 2]).unwrap();
    program.signal("HUP");
    program.logged("keeping the previous one");
    std::fs::write(&program.file, &new).unwrap();
    assert_eq!(new_bus.asked(), "from 1");
}

/// The event bus moves while the program answers what it had taken before it was told to stop, and a second signal
/// to stop changes nothing.
#[test]
fn a_new_configuration_is_heard_during_a_stop() {
    let (engines, mut bus, mut new_bus) = (Engines::start(1), Bus::start(), Bus::start());
    let mut program = Program::start(&engines, &bus);
    let mut client = program.client();
    assert_eq!(bus.asked(), "from 1");
    client.ask(1, "lookup", 20_000);
    let seen = engines.next();
    program.signal("TERM");
    program.logged("graceful shutdown started");
    let good = std::fs::read_to_string(&program.file).unwrap();
    std::fs::write(&program.file, good.replace(&bus.address, &new_bus.address)).unwrap();
    program.signal("HUP");
    assert_eq!(new_bus.asked(), "from 1");
    program.signal("TERM");
    program.signal("INT");
    seen.says("HIT", "-", "still here");
    assert_eq!(client.next(), "1: done still here\\tb\\tc\\n");
    client.ends().unwrap();
    client.leave();
    assert_eq!(program.child.wait().unwrap().to_string(), "exit status: 0");
}

/// What is out at engines that hang when the program has to end is given up, and answered, before it ends: its clients
/// hear that at once, not after the engine was told.
#[test]
fn a_stop_answers_what_hangs_before_it_ends() {
    let (engines, bus) = (Engines::start(1), Bus::start());
    let mut short = config(&engines, &bus.address);
    short["settings"]["Tick"] = json!(1.0);
    for class in 0..2 {
        short["settings"]["Classes"][class]["GiveUp"] = json!(800.0);
    }
    let mut program = Program::with(short);
    let mut client = program.client();
    program.signal("TERM");
    program.logged("graceful shutdown started");
    let stopping = Instant::now();
    std::thread::sleep(Duration::from_millis(700));
    for (message, class) in [(1, "lookup"), (2, "load")] {
        client.ask(message, class, 800);
        engines.next();
    }
    // All that is open is to be answered 1.2 s after the signal, and the program ends at 1.4 s: it finds the first of
    // these times past for the module and for its clients' connections at once.
    let answered = Duration::from_millis(1215);
    program.held(|| std::thread::sleep(answered.saturating_sub(stopping.elapsed())));
    let mut answers = [client.next(), client.next()];
    answers.sort();
    expect![[r#"
        1: Busy w=1000
        2: Failed why=cancelled"#]]
    .assert_eq(&answers.join("\n"));
    client.ends().unwrap();
    client.leave();
    assert_eq!(program.child.wait().unwrap().to_string(), "exit status: 0");
}

/// An engine closes a connection that rests just as a job that must not run twice comes: the program finds both at
/// once. The job goes on a new connection, since nothing can have read it on the old one.
#[test]
fn a_job_meets_a_connection_that_its_engine_has_closed() {
    let (engines, _bus, program, mut client) = one_engine();
    client.ask(1, "load", 20_000);
    let mut seen = engines.next();
    for message in 2..40 {
        seen.says("HIT", "-", "");
        assert_eq!(client.next(), format!("{}: done ", message - 1));
        program.held(|| {
            seen.hang_up();
            client.ask(message, "load", 20_000);
        });
        seen = engines.next();
        assert_eq!((seen.word(0), seen.word(1)), ("REQ", &*id(message)));
    }
}

/// A repeat of what may have run leaves within its window or never, however late its connection comes up: here it does
/// after a second, when the window is over. Its client hears at the window's end that it may try again.
#[test]
fn a_repeat_whose_window_closes_while_it_waits_for_a_connection_never_leaves() {
    let (engines, mut bus) = (Engines::start(1), Bus::start());
    let mut keyed = config(&engines, &bus.address);
    keyed["settings"]["Classes"][1]["Semantics"] = json!("idempotency_key");
    keyed["settings"]["Classes"][1]["DedupWindow"] = json!(600.0);
    keyed["settings"]["Ceilings"]["DialTimeout"] = json!(9000.0);
    let mut program = Program::with(keyed);
    let mut client = program.client();
    let crowded = Crowded::start();
    client.ask(1, "load", 20_000);
    let first = engines.next();
    let entries =
        vec![entry("e0", &engines.addresses[0], "terminating"), entry("e1", &crowded.address, "in_service")];
    bus.event(2, false, entries);
    program.logged("endpoint list changed event=2 ");
    first.hang_up();
    std::thread::sleep(Duration::from_millis(700));
    let mut late = crowded.accept();
    program.signal("TERM");
    let answer = client.next();
    program.child.wait().unwrap();
    let mut read = Vec::new();
    let _ = std::io::Read::read_to_end(&mut late, &mut read);
    expect!["1: Busy w=1000, read there: "]
        .assert_eq(&format!("{answer}, read there: {}", String::from_utf8_lossy(&read)));
}

/// Clients that fill their descriptors and rest, while the event bus is away, leave those of the bus and of engines
/// free: the bus is reached once it is back, and what it tells of an engine is acted on.
#[test]
fn a_crowd_of_idle_clients_leaves_the_bus_and_engines_their_descriptors() {
    let (mut engines, mut bus) = (Engines::start(1), Bus::start());
    let mut few = config(&engines, &bus.address);
    few["limits"]["sockets"] = json!(120);
    let program = Program::with_descriptors(few, 120);
    assert_eq!(bus.asked(), "from 1");
    let crowd: Vec<Client> = (0..200).map(|_| program.client()).collect();
    bus.cut();
    assert_eq!(bus.asked(), "from 1");
    engines.add("127.0.0.1:0");
    let entries = vec![
        entry("e0", &engines.addresses[0], "terminating"),
        entry("e1", &engines.addresses[1], "in_service"),
    ];
    bus.event(2, false, entries);
    program.logged("endpoint list changed event=2 ");
    // Whoever rests or says nothing makes room for one that asks, and the engine has a descriptor for its job.
    let mut client = program.client();
    client.ask(1, "lookup", 20_000);
    let seen = engines.next();
    seen.says("HIT", "-", "");
    assert_eq!((seen.engine, client.next()), (1, "1: done ".to_string()));
    drop(crowd);
}

/// A connection to the event bus that opens and never speaks is given up once its first heartbeat is overdue, sooner
/// than one that has spoken: two in a row leave what the bus has to tell within its time.
#[test]
fn connections_to_the_bus_that_never_speak_are_given_up_soon() {
    let engines = Engines::start(1);
    let mute = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let _program = Program::with(config(&engines, &mute.local_addr().unwrap().to_string()));
    let opened: Vec<_> = (0..3).map(|_| (mute.accept().unwrap(), Instant::now())).collect();
    let took = opened[2].1 - opened[0].1;
    // 3.0 s and two pauses of 75 and 150 ms at most; with 2.2 s for each it would be 4.4 s.
    assert!(took < Duration::from_millis(4200), "{took:?}");
}

/// Half a line on a connection that rests would spoil the answer to the next job there: it goes on another one.
#[test]
fn half_a_line_on_a_resting_connection_spoils_no_answer() {
    let (engines, _bus, program, mut client) = one_engine();
    client.ask(1, "load", 20_000);
    let mut seen = engines.next();
    for message in 2..20 {
        seen.says("HIT", "-", "");
        assert_eq!(client.next(), format!("{}: done ", message - 1));
        program.held(|| {
            seen.raw(b"0000");
            client.ask(message, "load", 20_000);
        });
        let next = engines.next();
        assert_eq!((next.word(0), next.is_beside(&seen)), ("REQ", false));
        seen = next;
    }
}

/// Jobs that wait for an engine, or are turned away, need no thread each: a gateway that is short of its core would
/// give its answers late for the threads' sake.
#[test]
fn jobs_that_are_not_sent_need_no_thread() {
    const MANY: u32 = 300;
    let (engines, bus) = (Engines::start(1), Bus::start());
    let mut none = config(&engines, &bus.address);
    none["known"]["batch"] = json!([event(1, true, vec![entry("e0", &engines.addresses[0], "terminating")])]);
    let program = Program::with(none);
    let mut clients: Vec<Client> = (0..MANY / 30).map(|_| program.client()).collect();
    for message in 1..=MANY {
        clients[message as usize % (MANY as usize / 30)].ask(message, "lookup", 1500);
    }
    let threads = || std::fs::read_dir(format!("/proc/{}/task", program.child.id())).unwrap().count();
    clients.iter_mut().for_each(|client| client.is_well(MANY + 1));
    let mut most = 0;
    for client in &mut clients {
        while !client.next().contains("well") {}
        most = most.max(threads());
    }
    let few = if most <= 16 { "few".to_string() } else { most.to_string() };
    let mut answers: Vec<String> = Vec::new();
    for client in &mut clients {
        answers.extend((0..30).map(|_| client.next()));
    }
    let busy = answers.iter().filter(|answer| answer.contains(": Busy")).count();
    expect!["few threads, 300 of 300 turned away"]
        .assert_eq(&format!("{few} threads, {busy} of {MANY} turned away"));
}

/// A program that got no processor for a while finds requests whose time has run on: what it tells an engine is no more
/// than the client has left, and what is over is not sent at all.
#[test]
fn the_time_that_a_request_waited_to_be_read_counts() {
    let (engines, _bus, program, mut client) = one_engine();
    let mut other = program.client();
    for client in [&mut client, &mut other] {
        client.is_well(1);
        assert_eq!(client.next(), "1: well true");
    }
    let (asked, mut fresh) = program.held(|| {
        let asked = Instant::now();
        client.ask(2, "lookup", 700);
        other.ask(3, "load", 5000);
        let mut fresh = program.client();
        fresh.ask(4, "lookup", 700);
        std::thread::sleep(Duration::from_millis(900));
        (asked, fresh)
    });
    let seen = engines.next();
    let limit = seen.line.split_once("limit=").unwrap().1;
    let limit: u128 = limit[..limit.find([',', ' ']).unwrap()].parse().unwrap();
    let left = 5000 - asked.elapsed().as_millis();
    let told = if limit <= left + 150 { "within" } else { "past" };
    let answers = [client.next(), fresh.next()].join("; ");
    engines.nothing();
    let trace = format!("{} {} {told} what is left; {answers}", seen.word(0), seen.word(1));
    expect!["REQ 0000000000000003 within what is left; 2: Busy w=1000; 4: Busy w=1000"].assert_eq(&trace);
}

/// A request counts from when it came, however long its connection had rested before: used or not.
#[test]
fn a_rest_before_a_request_does_not_count() {
    let (engines, _bus, program, mut client) = one_engine();
    let mut fresh = program.client();
    client.is_well(1);
    let mut trace = vec![client.next()];
    std::thread::sleep(Duration::from_millis(900));
    for (message, client) in (2..).zip([&mut client, &mut fresh]) {
        client.ask(message, "lookup", 400);
        if let Some(seen) = engines.soon() {
            seen.says("HIT", "-", "");
        }
        trace.push(client.next());
    }
    expect!["1: well true|2: done |3: done "].assert_eq(&trace.join("|"));
}
