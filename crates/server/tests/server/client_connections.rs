//! Connections of clients: malformed input, slow readers and idle connections. Rule 1: none of them loses an answer.

use crate::support::SingleEngine;
use crate::support::client::{Client, wire_id};
use crate::support::config::ProgramConfig;
use crate::support::engines::EngineStandIns;
use crate::support::event_bus::EventBusStandIn;
use crate::support::program::{FaultyProgram, Program};
use crate::support::unread_answers::{UNREAD_ANSWERS, leave_answers_unread};
use expect_test::expect;
use pebblevane_syscall_faults::FaultKind;
use std::fmt::Write as _;
use std::time::Duration;

/// Other connections, and jobs that were submitted before, go on.
#[test]
fn a_connection_with_malformed_input_is_closed_alone() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();

    client.submit(1, "lookup", 9000);
    let seen = engines.next_line();
    let mut trace = String::new();
    for (what, bytes) in [
        ("text", &b"GET / HTTP/1.1\r\n\r\n"[..]),
        ("huge body", &b"\x94\x00\x01\xa6lookup\x92\x80\xc6\xff\xff\xff\xff"[..]),
        ("huge map", &b"\x94\x00\x01\xa6lookup\x92\xdf\xff\xff\xff\xff"[..]),
        ("deep", &b"\x94\x00\x01\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91\x91"[..]),
        ("reserved", &b"\x94\xc1"[..]),
        ("no request", &b"\x94\x05\x01\xa1a\x90"[..]),
    ] {
        let mut other = program.connect();
        other.send_raw(bytes);
        writeln!(trace, "{what}: {}", other.next_answer()).unwrap();
    }
    seen.reply("HIT", "-", "still here");
    trace += &client.next_answer();

    expect![[r"
        text: closed
        huge body: closed
        huge map: closed
        deep: closed
        reserved: closed
        no request: closed
        1: done still here\tb\tc\n"]]
    .assert_eq(&trace);
}

#[test]
fn a_client_that_reads_nothing_delays_nobody_else() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let mut slow = program.connect();

    let rows = "x".repeat(5_900);
    // Its answers accumulate until nothing more is read from it, or it is disconnected.
    'full: for round in 0..64 {
        for i in 100..132 {
            if !slow.try_submit(round * 32 + i, "lookup", 9000) {
                break 'full;
            }
        }
        for _ in 0..32 {
            let Some(seen) = engines.next_line_if_soon() else { break 'full };
            seen.reply("HIT", "-", &rows);
        }
    }
    client.submit(1, "lookup", 9000);
    let mut own = engines.next_line();
    while own.field(1) != wire_id(1) {
        own.reply("HIT", "-", &rows);
        own = engines.next_line();
    }
    own.reply("HIT", "-", "quick");

    expect![[r"1: done quick\tb\tc\n"]].assert_eq(&client.next_answer());
}

/// Bytes that come between the check of an idle connection and its close are not reset. The program finds more connections
/// ready than it handles at a time, so that some are idle for too long by its clock while their request is there.
#[test]
fn a_request_that_arrives_before_its_idle_connection_is_closed_is_answered() {
    const CLIENTS: u32 = 350;
    let SingleEngine { engines: _engines, bus: _bus, program, client: _client } = SingleEngine::start();
    let connect = |_| {
        let mut client = program.connect();
        client.request_health(1);
        client
    };
    let mut clients: Vec<Client> = (0..CLIENTS).map(connect).collect();
    for client in &mut clients {
        assert_eq!(client.next_answer(), "1: well true");
    }
    program.while_suspended(|| {
        std::thread::sleep(Duration::from_millis(5300));
        for client in &mut clients {
            client.request_health(2);
        }
    });
    for client in &mut clients {
        assert_eq!(client.next_answer(), "2: well true");
    }
}

/// A request that crosses the close of an idle connection finds the end of the connection, not a reset.
#[test]
fn an_idle_connection_is_closed_without_a_reset() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    client.submit(1, "lookup", 20_000);
    engines.next_line().reply("HIT", "-", "taken");
    client.read_to_end().unwrap();
    // Were it closed both ways, the first of these would be answered with a reset and the next one fail.
    for message in 2..20 {
        client.submit(message, "lookup", 9000);
    }
    engines.expect_no_line();
}

/// A message of another protocol ends its connection, but the answers that were given on it before still arrive.
#[test]
fn answers_already_given_are_delivered_before_a_malformed_connection_closes() {
    let SingleEngine { engines, bus: _bus, program, client: _client } = SingleEngine::start();
    let mut slow = program.connect_with_small_buffers();

    let rows = "x".repeat(5_900);
    leave_answers_unread(&engines, &program, &mut slow, &rows);
    slow.send_raw(b"GET / HTTP/1.1\r\n\r\n");
    let complete = format!("done {rows}\\tb\\tc\\n");
    for _ in 0..UNREAD_ANSWERS {
        let answer = slow.next_answer();
        assert!(answer.ends_with(&complete), "{}", &answer[..answer.len().min(80)]);
    }
    slow.read_to_end().unwrap();
}

/// A socket tells an error once. Where the check before a job's first byte is the one that is told, the client would wait
/// for an answer that never comes: its connection ends instead, and nothing is sent to an engine.
#[test]
fn a_connection_whose_error_only_the_read_ahead_sees_is_ended() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let FaultyProgram { program, faults } =
        Program::start_with_faults(ProgramConfig::new(&engines, &bus.address));
    let mut client = program.connect();

    faults.set_rate(FaultKind::AcceptedPeek, 1.0).unwrap();
    client.submit(1, "load", 9000);
    let end = client.read_to_end().map_err(|error| error.kind());
    faults.set_rate(FaultKind::AcceptedPeek, 0.0).unwrap();
    // Not the idle timeout, which would end it later.
    let reason = program.wait_for_log("closing client connection");
    assert!(reason.contains("os error"), "{reason}");
    let mut other = program.connect();
    other.submit(2, "load", 9000);
    let next = engines.next_line();

    assert_eq!((end, next.field(1)), (Ok(0), &*wire_id(2)));
}

/// Answers that were given before a read failed are still written, then the connection ends.
#[test]
fn answers_leave_before_a_connection_whose_read_has_failed_ends() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let FaultyProgram { program, faults } =
        Program::start_with_faults(ProgramConfig::new(&engines, &bus.address));
    let mut slow = program.connect_with_small_buffers();
    leave_answers_unread(&engines, &program, &mut slow, &"x".repeat(5_000));

    faults.set_rate(FaultKind::AcceptedRead, 1.0).unwrap();
    slow.request_health(9000);
    let answers = std::iter::repeat_with(|| slow.next_answer()).take_while(|answer| answer != "closed");

    assert_eq!(answers.count(), UNREAD_ANSWERS as usize);
}

/// A client that resets a connection which is being closed frees it at once: in a crowd its descriptor is needed.
#[test]
fn a_reset_ends_a_connection_that_is_being_closed() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let program = Program::start_with_debug_log(ProgramConfig::new(&engines, &bus.address));
    let mut client = program.connect();

    client.send_raw(b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(client.next_answer(), "closed");
    client.reset();
    program.wait_for_log("closing client connection");
    let end = program.wait_for_log("client connection ended");

    assert!(end.contains("reason=Connection reset by peer"), "{end}");
}
