//! Suspicions of a fault hunt, each shown or cleared: two rare events that cross.

#[allow(dead_code)] // each test file uses a part of them
mod helpers;
use expect_test::expect;
use helpers::*;
use serde_json::{Value as Json, json};
use std::os::unix::ffi::OsStrExt;
use std::process::Stdio;

/// An engine that has told of progress has begun: that a job was over or refused proves nothing after that.
#[test]
fn a_refusal_after_progress_proves_nothing() {
    let (engines, _bus, _program, mut client) = one_engine();
    let mut trace = String::new();
    let words = [("LATE", "advance,val=0.4"), ("SHED", "advance,val=0.4"), ("SHED", "disk,val=20")];
    for (message, (word, note)) in (1..).zip(words) {
        client.ask(message, "load", 9000);
        let seen = engines.next();
        seen.says("INFO", &format!("tell={note}"), "");
        seen.says(word, "-", "");
        trace += &format!("{word} after {note}: {}\n", client.next());
    }
    // What waits for memory has not begun.
    client.ask(4, "load", 9000);
    let seen = engines.next();
    seen.says("INFO", "tell=stall,val=1", "");
    seen.says("LATE", "-", "");
    trace += &format!("LATE after stall: {}\n", client.next());
    expect![[r#"
        LATE after advance,val=0.4: 1: Failed why=cancelled
        SHED after advance,val=0.4: 2: Failed why=cancelled
        SHED after disk,val=20: 3: Failed why=cancelled
        LATE after stall: 4: Busy w=1000
    "#]]
    .assert_eq(&trace);
}

/// SIGTERM and SIGHUP while the first configuration is still read: the program starts, serves what comes in the first
/// second of the stop and ends in order.
#[test]
fn a_stop_that_is_told_before_the_program_listens_is_a_stop() {
    let (engines, bus) = (Engines::start(1), Bus::start());
    let (mut command, file) = Program::command(&config(&engines, &bus.address));
    let text = std::fs::read(&file).unwrap();
    let text = String::from_utf8(text).unwrap().replace("\"127.0.0.1:1\"", "\"127.0.0.1:0\"");
    std::fs::remove_file(&file).unwrap();
    let path = std::ffi::CString::new(std::path::Path::new(&file).as_os_str().as_bytes()).unwrap();
    assert!(std::process::Command::new("mkfifo").arg(path.to_str().unwrap()).status().unwrap().success());
    let child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    // Its signals are waited for before it opens the configuration.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    for signal in ["HUP", "TERM", "HUP"] {
        let kill =
            std::process::Command::new("kill").args([format!("-{signal}"), child.id().to_string()]).status();
        assert!(kill.unwrap().success());
    }
    std::io::Write::write_all(&mut pipe, text.as_bytes()).unwrap();
    drop(pipe);
    // A reload reads the file again, which is a plain one by now.
    std::fs::remove_file(&file).unwrap();
    std::fs::write(&file, &text).unwrap();
    let output = child.wait_with_output().unwrap();
    let log = String::from_utf8(output.stdout).unwrap();
    let told: Vec<&str> = [
        "listening for clients",
        "graceful shutdown started open_jobs=0",
        "graceful shutdown finished open_jobs=0",
    ]
    .into_iter()
    .filter(|what| log.contains(what))
    .collect();
    let errors = String::from_utf8(output.stderr).unwrap();
    expect!["exit status: 0: listening for clients, graceful shutdown started open_jobs=0, graceful shutdown finished open_jobs=0 "].assert_eq(&format!(
        "{}: {} {errors}",
        output.status,
        told.join(", ")
    ));
}

/// A connect to an address of the event bus that hangs holds up neither the next address nor the one after it.
#[test]
fn two_new_addresses_in_a_row_end_at_the_second() {
    let (engines, mut bus, hangs, mut last) =
        (Engines::start(1), Bus::start(), Crowded::start(), Bus::start());
    let program = Program::start(&engines, &bus);
    assert_eq!(bus.asked(), "from 1");
    let good = std::fs::read_to_string(&program.file).unwrap();
    for address in [&hangs.address, &last.address] {
        std::fs::write(&program.file, good.replace(&bus.address, address)).unwrap();
        program.signal("HUP");
        program.logged("configuration reloaded");
    }
    assert_eq!(last.asked(), "from 1");
    // The old bus is not gone back to.
    last.event(2, false, vec![entry("e0", &engines.addresses[0], "terminating")]);
    program.logged("endpoint list changed event=2 entries=1 running=0");
}

/// A bus that comes back with lower numbers has events that are known: what is known stays, drains above all, until its
/// numbers pass. The protocol numbers events once for each start of the program.
#[test]
fn a_bus_with_lower_numbers_takes_nothing_back() {
    let (engines, mut bus, program, mut client) = one_engine();
    bus.event(2, false, vec![entry("e1", "127.0.0.1:1", "in_service")]);
    bus.event(3, false, vec![entry("e1", "127.0.0.1:1", "terminating")]);
    program.logged("endpoint list changed event=3 ");
    bus.cut();
    let mut lower = bus;
    assert_eq!(lower.asked(), "from 3");
    lower.says("{\"offset\":1}");
    lower.says(&event(2, false, vec![entry("e0", &engines.addresses[0], "terminated")]).to_string());
    client.ask(1, "lookup", 9000);
    let mut trace = vec![engines.next().engine.to_string()];
    engines_answer(&engines, &mut client, &mut trace);
    lower.says(&event(4, false, vec![entry("e0", &engines.addresses[0], "terminating")]).to_string());
    trace
        .push(program.logged("endpoint list changed event=4 ").split_once("changed ").unwrap().1.to_string());
    expect!["0|2: done |event=4 entries=1 running=0"].assert_eq(&trace.join("|"));
}

fn engines_answer(engines: &Engines, client: &mut Client, trace: &mut Vec<String>) {
    client.ask(2, "lookup", 9000);
    engines.answer(2);
    trace.push(client.next());
}

/// A whole list of 3,200 engines with long names is a line of more than a megabyte.
#[test]
fn a_list_of_thousands_of_long_names_is_read() {
    let (engines, mut bus, program, mut client) = one_engine();
    let long = |i: usize| format!("engine-{i}-{}", "x".repeat(400));
    let mut entries: Vec<Json> = (0..3200).map(|i| entry(&long(i), "127.0.0.1:1", "terminating")).collect();
    entries.push(entry("e0", &engines.addresses[0], "in_service"));
    let line = event(2, true, entries).to_string();
    assert!(line.len() > 1024 * 1024);
    bus.says(&line);
    program.logged("endpoint list changed event=2 entries=3201 running=1");
    client.ask(1, "lookup", 9000);
    engines.next().says("HIT", "-", "");
    assert_eq!(client.next(), "1: done ");
}

/// Clients that have left, or taken back, while the program got no processor and has much else to read first: their jobs,
/// which wait for an engine, are not sent when one is listed in the same moment.
#[test]
fn nothing_is_sent_for_clients_whose_leaving_is_not_read_yet() {
    const MANY: u32 = 24;
    const TALKATIVE: usize = 40;
    const QUESTIONS: usize = 4000;
    let (engines, mut bus) = (Engines::start(1), Bus::start());
    let mut none = config(&engines, &bus.address);
    none["known"]["batch"] = json!([event(1, true, vec![entry("e0", &engines.addresses[0], "terminating")])]);
    let program = Program::with(none);
    assert_eq!(bus.asked(), "from 1");
    bus.event(2, false, vec![entry("e1", "127.0.0.1:1", "terminating")]);
    let mut talkative: Vec<Client> = (0..TALKATIVE).map(|_| program.client()).collect();
    let mut clients: Vec<Client> = (0..MANY).map(|_| program.client()).collect();
    for (message, client) in (1..).zip(&mut clients) {
        client.ask(message, "load", 9000);
        client.is_well(99);
        assert_eq!(client.next(), "99: well true");
    }
    program.held(|| {
        for client in &mut talkative {
            let questions = b"\x94\x00\x01\xa6isWell\x91\x80".repeat(QUESTIONS);
            client.write(&questions);
        }
        for (message, client) in (1..).zip(&mut clients) {
            if message % 2 == 0 { client.leave() } else { client.forget(message) }
        }
        std::thread::sleep(std::time::Duration::from_millis(150));
        bus.event(3, false, vec![entry("e0", &engines.addresses[0], "in_service")]);
    });
    program.logged("endpoint list changed event=3 ");
    let mut sent = 0;
    while let Some(seen) = engines.soon() {
        sent += u32::from(seen.word(0) == "REQ");
    }
    expect!["0 of 24 sent"].assert_eq(&format!("{sent} of {MANY} sent"));
}

/// Threads that a burst of jobs has left over end, though jobs go on coming one by one: a thread that each of them uses
/// in turn would live for ever.
#[test]
fn threads_of_a_burst_end_while_jobs_go_on() {
    const BURST: u32 = 60;
    let (engines, _bus, program, mut client) = one_engine();
    let mut clients: Vec<Client> = (0..BURST / 30).map(|_| program.client()).collect();
    for message in 1..=BURST {
        clients[message as usize % (BURST as usize / 30)].ask(message, "lookup", 20_000);
    }
    let seen: Vec<Seen> = (0..BURST).map(|_| engines.next()).collect();
    let threads = || std::fs::read_dir(format!("/proc/{}/task", program.child.id())).unwrap().count();
    let most = threads();
    seen.iter().for_each(|seen| seen.says("HIT", "-", ""));
    let began = std::time::Instant::now();
    let mut message = 1000;
    while threads() > 16 && began.elapsed() < std::time::Duration::from_secs(8) {
        client.ask(message, "lookup", 9000);
        engines.answer(message);
        assert_eq!(client.next(), format!("{message}: done "));
        message += 1;
    }
    expect!["true, then few"].assert_eq(&format!(
        "{}, then {}",
        most >= BURST as usize,
        if threads() <= 16 { "few".to_string() } else { threads().to_string() }
    ));
}
