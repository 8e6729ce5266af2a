//! Graceful shutdown: every request that was accepted, or is on its way when the shutdown begins, is answered (rule 1).

use crate::support::SingleEngine;
use crate::support::client::encode_request;
use crate::support::config::ProgramConfig;
use crate::support::engines::EngineStandIns;
use crate::support::event_bus::EventBusStandIn;
use crate::support::program::{FaultyProgram, PreparedCommand, Program, send_signal};
use crate::support::unread_answers::{UNREAD_ANSWERS, leave_answers_unread};
use expect_test::expect;
use pebblevane_syscall_faults::FaultKind;
use std::fmt::Write as _;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// From SIGTERM on, the program reports that it is not healthy, but goes on until the jobs that it has admitted, and
/// those that still arrive, are answered. An earlier exit would lose these answers.
#[test]
fn a_graceful_shutdown_answers_every_accepted_request() {
    let SingleEngine { engines, bus: _bus, mut program, mut client } = SingleEngine::start();

    client.submit(1, "lookup", 9000);
    let first = engines.next_line();
    client.submit(2, "load", 9000);
    let _unanswered_load = engines.next_line();
    client.submit(3, "lookup", 9000);
    let _unanswered_lookup = engines.next_line();
    program.signal("TERM");
    let mut other = program.connect();
    let mut trace = String::new();
    while trace.is_empty() {
        other.request_health(1);
        if other.next_answer().ends_with("false") {
            trace += "not well\n";
        }
    }
    other.submit(4, "lookup", 9000);
    engines.next_line().reply("HIT", "sheets=1", "late guest");
    writeln!(trace, "{}", other.next_answer()).unwrap();
    first.reply("HIT", "sheets=1", "first");
    let mut answers = [client.next_answer(), client.next_answer(), client.next_answer()];
    answers.sort();
    trace += &answers.join("\n");
    write!(trace, "\n{}", program.wait_for_exit()).unwrap();

    expect![[r"
        not well
        4: done late guest\tb\tc\n
        1: done first\tb\tc\n
        2: Failed why=cancelled
        3: Busy w=1000
        exit status: 0"]]
    .assert_eq(&trace);
}

/// For a second after SIGTERM, connections and requests are accepted. Requests that arrive later, but before the
/// program closes their connections, must not be lost either. Here they arrive while the program is suspended, on an
/// idle connection and on one that is not accepted yet.
#[test]
fn requests_that_arrive_at_the_end_of_a_shutdown_are_answered() {
    let SingleEngine { engines, bus: _bus, mut program, client: mut idle } = SingleEngine::start();
    let mut old = program.connect();

    for client in [&mut idle, &mut old] {
        client.request_health(1);
        assert_eq!(client.next_answer(), "1: well true");
    }
    program.signal("TERM");
    program.wait_for_log("graceful shutdown started");
    let mut new = program.while_suspended(|| {
        // Longer than the second in which connections are accepted.
        std::thread::sleep(Duration::from_millis(1300));
        old.submit(2, "lookup", 20_000);
        let mut new = program.connect();
        new.submit(3, "lookup", 20_000);
        new
    });
    let mut received = [engines.next_line(), engines.next_line()];
    // The connection without an open request is closed while the others wait for their answers.
    assert_eq!(idle.next_answer(), "closed");
    received.sort_by_key(|received| received.field(1).to_string());
    received[0].reply("HIT", "sheets=1", "old");
    received[1].reply("HIT", "sheets=1", "new");
    let mut trace = vec![old.next_answer(), old.next_answer(), new.next_answer(), new.next_answer()];
    trace.push(program.wait_for_exit().to_string());

    expect![[r"
        2: done old\tb\tc\n
        closed
        3: done new\tb\tc\n
        closed
        exit status: 0"]]
    .assert_eq(&trace.join("\n"));
}

/// A connection that was accepted during the shutdown may be idle only because its first request is still on its way.
/// It must stay open for that request, up to the time by which all jobs are answered, or the request would be lost.
#[test]
fn a_new_connection_may_send_its_first_request_during_a_shutdown() {
    let SingleEngine { engines, bus: _bus, mut program, client: mut idle } = SingleEngine::start();

    idle.request_health(1);
    assert_eq!(idle.next_answer(), "1: well true");
    program.signal("TERM");
    program.wait_for_log("graceful shutdown started");
    let mut fresh = program.connect();
    // The shutdown now closes idle connections, and soon has checked all of them.
    assert_eq!(idle.next_answer(), "closed");
    std::thread::sleep(Duration::from_millis(100));
    fresh.submit(2, "lookup", 20_000);
    let mut trace = vec![match engines.next_line_if_soon() {
        Some(received) => {
            received.reply("HIT", "sheets=1", "taken");
            fresh.next_answer()
        }
        None => "never sent".to_string(),
    }];
    trace.push(fresh.next_answer());
    trace.push(program.wait_for_exit().to_string());

    expect![[r"
        2: done taken\tb\tc\n
        closed
        exit status: 0"]]
    .assert_eq(&trace.join("\n"));
}

/// A client may send a request at the moment when a shutdown closes its connection. It has to find the regular end of
/// the connection, not a reset, which would make it lose answers that it has not read yet.
#[test]
fn a_closed_connection_is_read_until_its_client_closes_it() {
    let SingleEngine { engines: _engines, bus: _bus, mut program, mut client } = SingleEngine::start();

    client.request_health(1);
    program.signal("TERM");
    client.read_to_end().unwrap();
    // The program has shut down its side. It reads and discards requests until the client closes the connection.
    client.submit(2, "lookup", 9000);
    client.submit(3, "lookup", 9000);
    assert!(program.is_running());
    client.disconnect();

    assert_eq!(program.wait_for_exit().to_string(), "exit status: 0");
}

/// A client has not read all its answers when the shutdown begins. If the program exited, or closed the connection,
/// before it has written the ones that it buffers, the client would lose them.
#[test]
fn a_shutdown_waits_for_a_client_that_reads_slowly() {
    let SingleEngine { engines, bus: _bus, mut program, client: mut idle } = SingleEngine::start();

    idle.request_health(1);
    assert_eq!(idle.next_answer(), "1: well true");
    let mut slow = program.connect_with_small_buffers();
    let rows = "x".repeat(5_900);
    // More answers than the system buffers for the connection: the program has to buffer the rest.
    leave_answers_unread(&engines, &program, &mut slow, &rows);
    program.signal("TERM");
    assert_eq!(idle.next_answer(), "closed");
    let complete = format!("done {rows}\\tb\\tc\\n");
    for _ in 0..UNREAD_ANSWERS {
        let answer = slow.next_answer();
        assert!(answer.ends_with(&complete), "{}", &answer[..answer.len().min(80)]);
    }
    slow.read_to_end().unwrap();

    assert_eq!(program.wait_for_exit().to_string(), "exit status: 0");
}

/// During a shutdown, while a job is still open, the address of the event bus changes, and further signals to stop are
/// received. The program must connect to the new bus, and the signals must not end it before the job is answered.
#[test]
fn the_configuration_may_be_reloaded_during_a_shutdown() {
    let (engines, mut bus, mut new_bus) =
        (EngineStandIns::start(1), EventBusStandIn::start(), EventBusStandIn::start());
    let mut program = Program::start(&engines, &bus);
    let mut client = program.connect();

    assert_eq!(bus.next_subscription(), "from 1");
    client.submit(1, "lookup", 20_000);
    let received = engines.next_line();
    program.signal("TERM");
    program.wait_for_log("graceful shutdown started");
    let good = std::fs::read_to_string(&program.config_file).unwrap();
    std::fs::write(&program.config_file, good.replace(&bus.address, &new_bus.address)).unwrap();
    program.signal("HUP");
    assert_eq!(new_bus.next_subscription(), "from 1");
    program.signal("TERM");
    program.signal("INT");
    received.reply("HIT", "sheets=1", "still here");
    assert_eq!(client.next_answer(), "1: done still here\\tb\\tc\\n");
    client.read_to_end().unwrap();
    client.disconnect();

    assert_eq!(program.wait_for_exit().to_string(), "exit status: 0");
}

/// An engine does not answer before the time by which a shutdown must have answered all jobs. The program has to cancel
/// the dispatches and answer the jobs before it exits. If it waited first until the cancellations are written to the
/// engine, the answers could be too late.
#[test]
fn a_shutdown_answers_jobs_on_unresponsive_engines_before_it_ends() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let config = ProgramConfig::new(&engines, &bus.address).timer_tick_ms(1.0).client_timeout_ms(800.0);
    let mut program = Program::start_with(config);
    let mut client = program.connect();

    program.signal("TERM");
    program.wait_for_log("graceful shutdown started");
    let shutdown_began = Instant::now();
    std::thread::sleep(Duration::from_millis(700));
    for (message, class) in [(1, "lookup"), (2, "load")] {
        client.submit(message, class, 800);
        engines.next_line();
    }
    // All jobs must be answered 1.2 s after the signal, and the program exits at 1.4 s. It is suspended beyond the
    // first of these times, so that the controller and the thread of the client connections find it passed
    // simultaneously.
    let resume_after = Duration::from_millis(1215);
    program.while_suspended(|| std::thread::sleep(resume_after.saturating_sub(shutdown_began.elapsed())));
    let mut answers = [client.next_answer(), client.next_answer()];
    answers.sort();
    expect![[r"
        1: Busy w=1000
        2: Failed why=cancelled"]]
    .assert_eq(&answers.join("\n"));
    client.read_to_end().unwrap();
    client.disconnect();

    assert_eq!(program.wait_for_exit().to_string(), "exit status: 0");
}

/// SIGTERM and SIGHUP are received while the program still reads its configuration for the first time. Without handlers
/// they would kill it; it has to start, shut down gracefully and exit with status 0.
#[test]
fn a_signal_before_the_program_listens_shuts_it_down_gracefully() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let config = ProgramConfig::new(&engines, &bus.address).listen("127.0.0.1:0");

    let text = config.text();
    let PreparedCommand { mut command, config_file: file } = Program::command(&config);
    std::fs::remove_file(&file).unwrap();
    assert!(Command::new("mkfifo").arg(&file).status().unwrap().success());
    let child = command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    // Blocks until the program opens the configuration, which it does after it has installed its signal handlers.
    let mut pipe = std::fs::OpenOptions::new().write(true).open(&file).unwrap();
    for signal in ["HUP", "TERM", "HUP"] {
        send_signal(child.id(), signal);
    }
    std::io::Write::write_all(&mut pipe, text.as_bytes()).unwrap();
    drop(pipe);
    // A reload reads the file again, so the pipe is replaced by a regular file.
    std::fs::remove_file(&file).unwrap();
    std::fs::write(&file, &text).unwrap();
    let output = child.wait_with_output().unwrap();
    let log = String::from_utf8(output.stdout).unwrap();
    let logged: Vec<&str> = [
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
        logged.join(", ")
    ));
}

/// The handler of SIGTERM wakes a thread through a socket. If that write is interrupted, the wake-up is lost, and the
/// shutdown must begin without it.
#[test]
fn a_shutdown_begins_even_if_the_wake_up_of_its_signal_is_lost() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let FaultyProgram { mut program, faults } =
        Program::start_with_faults(ProgramConfig::new(&engines, &bus.address));

    faults.set_rate(FaultKind::InterruptNonTcp, 1.0).unwrap();
    program.signal("TERM");
    // After this time the handler has run.
    std::thread::sleep(Duration::from_millis(100));
    faults.set_rate(FaultKind::InterruptNonTcp, 0.0).unwrap();

    program.wait_for_log("graceful shutdown started");
    assert!(program.wait_for_exit().success());
}

/// Refused messages pause the reading of their connection, here while the program begins to close idle connections. A
/// request that arrives in the pause must be read before its connection is closed, or it is lost.
#[test]
fn a_request_that_arrives_while_reading_is_paused_is_answered_during_a_shutdown() {
    const REFUSED: u32 = 25;
    /// When the messages are sent that are refused, after SIGTERM. Reading pauses for 100 ms.
    const REFUSED_AFTER: Duration = Duration::from_millis(930);
    /// Idle connections are closed 1 s after SIGTERM. A request that is written later may meet a closed connection.
    const LATEST_REQUEST: Duration = Duration::from_millis(980);
    /// The test is repeated if a busy machine delays its request.
    const MAX_REPETITIONS: usize = 20;
    for _ in 0..MAX_REPETITIONS {
        let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
        program.signal("TERM");
        let stopped_at = Instant::now();
        std::thread::sleep(REFUSED_AFTER);
        let refused = (1..=REFUSED).flat_map(|message| encode_request(message, "nonsense", &[], ""));
        client.send_raw(&refused.collect::<Vec<u8>>());
        for _ in 0..REFUSED {
            assert!(client.next_answer().contains("unknown reservation type"));
        }
        client.submit(99, "lookup", 2000);
        if stopped_at.elapsed() > LATEST_REQUEST {
            continue;
        }
        engines.complete(99);
        assert_eq!(client.next_answer(), "99: done ");
        return;
    }
    panic!("the machine is too busy for the test");
}
