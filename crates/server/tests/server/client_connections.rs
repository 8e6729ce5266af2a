//! Connections of clients: malformed input, clients that read slowly, idle connections and failed ones. None of these
//! may lose an answer that was already given, nor a request that the program has received (rule 1).

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
use std::io::Write as _;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// Malformed input ends only its own connection. Others stay open, and jobs submitted there are still answered.
#[test]
fn malformed_input_closes_only_its_own_connection() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();

    client.submit(1, "lookup", 9000);
    let received = engines.next_line();
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
    received.reply("HIT", "sheets=1", "still here");
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

/// Answers are buffered for a client that does not read them. If a thread blocked on writing them instead, the jobs of
/// other clients would have to wait for it.
#[test]
fn a_client_that_reads_nothing_does_not_delay_others() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let mut slow = program.connect();

    let rows = "x".repeat(5_900);
    // Unread answers accumulate until the program disconnects the client, or dispatches no more jobs of it.
    'full: for round in 0..64 {
        for i in 100..132 {
            if !slow.try_submit(round * 32 + i, "lookup", 9000) {
                break 'full;
            }
        }
        for _ in 0..32 {
            let Some(received) = engines.next_line_if_soon() else { break 'full };
            received.reply("HIT", "sheets=1", &rows);
        }
    }
    client.submit(1, "lookup", 9000);
    let mut own = engines.next_line();
    while own.field(1) != wire_id(1) {
        own.reply("HIT", "sheets=1", &rows);
        own = engines.next_line();
    }
    own.reply("HIT", "sheets=1", "quick");

    expect![[r"1: done quick\tb\tc\n"]].assert_eq(&client.next_answer());
}

/// A request may arrive just before its connection is closed as idle; closing it without reading would lose the
/// request. Here the program is suspended for longer than the idle timeout of 5 s, in which a request arrives on each
/// connection. There are more connections than it handles in one pass, so the next check finds some of them idle for
/// too long.
#[test]
fn a_request_that_arrives_before_its_idle_connection_is_closed_is_answered() {
    /// More than the 256 events that one pass handles.
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

/// A client may send a request at the moment when the program closes its idle connection. It has to find the regular
/// end of the connection, not a reset, which would make it lose answers that it has not read yet.
#[test]
fn an_idle_connection_is_closed_without_a_reset() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    client.submit(1, "lookup", 20_000);
    engines.next_line().reply("HIT", "sheets=1", "taken");
    client.read_to_end().unwrap();
    // If the program had closed both directions, the first of these would cause a reset, and the next write would fail.
    for message in 2..20 {
        client.submit(message, "lookup", 9000);
    }
    engines.expect_no_line();
}

/// Bytes that are not of the client protocol end their connection. Answers given before must still reach the client,
/// also those that the program buffers because the client has not read them: an abort would discard them.
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

/// A socket reports an error only once, to the call that uses it next. If that is the peek before a dispatch is sent,
/// no later read reports it. The program has to close the connection then, or the client would wait for an answer that
/// never comes; and the dispatch must not be sent.
#[test]
fn a_connection_whose_error_only_a_peek_reports_is_closed() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let FaultyProgram { program, faults } =
        Program::start_with_faults(ProgramConfig::new(&engines, &bus.address));
    let mut client = program.connect();

    faults.set_rate(FaultKind::AcceptedPeek, 1.0).unwrap();
    client.submit(1, "load", 9000);
    let end = client.read_to_end().map_err(|error| error.kind());
    faults.set_rate(FaultKind::AcceptedPeek, 0.0).unwrap();
    // The error has closed the connection, not the idle timeout.
    let reason = program.wait_for_log("closing client connection");
    assert!(reason.contains("os error"), "{reason}");
    let mut other = program.connect();
    other.submit(2, "load", 9000);
    let next = engines.next_line();

    assert_eq!((end, next.field(1)), (Ok(0), &*wire_id(2)));
}

/// After a failed read the connection is closed. Answers given before must still be written first: an abort would
/// discard those that the program buffers because the client has not read them.
#[test]
fn answers_are_written_before_a_connection_whose_read_has_failed_closes() {
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

/// During a graceful close the program waits for the client to close its side. If the client resets the connection
/// instead, the program must end it at once, since waiting connections need its descriptor.
#[test]
fn a_reset_ends_a_connection_that_is_being_closed() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let program = Program::start_with_debug_log(ProgramConfig::new(&engines, &bus.address));
    let mut client = program.connect();

    client.send_raw(b"GET / HTTP/1.1\r\n\r\n");
    assert_eq!(client.next_answer(), "closed");
    client.reset();
    let closing = program.wait_for_log("closing client connection");
    let fields = closing.split_once(" connection=").expect("the line has a connection").1;
    let connection = fields.split(' ').next().unwrap();
    // Other connections may end in the meantime, such as that of the health check at the start of the program.
    let end = program.wait_for_log(&format!("client connection ended connection={connection} "));

    assert!(end.contains("reason=Connection reset by peer"), "{end}");
}

/// Other clients send invalid requests at full speed and read the answers. One turn of such a connection must be short,
/// and their turns together must leave time for the others, or a usual client gets no answer in its time.
#[test]
fn clients_that_send_invalid_requests_at_full_speed_do_not_delay_others() {
    const BAD_CLIENTS: usize = 40;
    const REQUESTS: u32 = 20;
    /// A request of a class that does not exist, without parameters.
    const INVALID_REQUEST: &[u8] = b"\x94\x00\x01\xa1x\x90";
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let ended = Arc::new(AtomicBool::new(false));

    for _ in 0..BAD_CLIENTS {
        let stream = TcpStream::connect(&program.address).unwrap();
        let mut answers = stream.try_clone().unwrap();
        std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
        let ended = ended.clone();
        std::thread::spawn(move || {
            let requests = INVALID_REQUEST.repeat(10_000);
            while !ended.load(SeqCst) && (&stream).write_all(&requests).is_ok() {}
        });
    }
    for message in 1..=REQUESTS {
        let submitted_at = Instant::now();
        client.submit(message, "lookup", 2000);
        engines.complete(message);
        assert_eq!(client.next_answer(), format!("{message}: done "));
        assert!(submitted_at.elapsed() < Duration::from_secs(2), "{:?}", submitted_at.elapsed());
    }
    ended.store(true, SeqCst);
}
