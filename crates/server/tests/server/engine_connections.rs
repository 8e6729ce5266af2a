//! Connections to engines: which are reused, and what happens to dispatches on connections that fail. Nothing is
//! dispatched to an engine that drains (rule 3).

use crate::support::SingleEngine;
use crate::support::client::{encode_request, wire_id};
use crate::support::config::ProgramConfig;
use crate::support::engines::{EngineStandIns, ReceivedLine};
use crate::support::event_bus::{EventBusStandIn, IN_SERVICE, TERMINATING, endpoint};
use crate::support::program::{FaultyProgram, Program};
use expect_test::expect;
use pebblevane_syscall_faults::FaultKind;
use serde_json::{Value as Json, json};
use std::time::Duration;
use std::time::{SystemTime, UNIX_EPOCH};

/// A dispatch that waits for a connection is sent on the next free one, unless its engine has begun to drain meanwhile.
/// Its job must then be sent to another engine at once, rather than after the wait for a connection.
#[test]
fn a_job_waiting_for_a_connection_is_sent_to_another_engine_if_its_engine_drains() {
    let (engines, mut bus) = (EngineStandIns::start(2), EventBusStandIn::start());
    let engine = |i: usize, state: &str| endpoint(&format!("e{i}"), &engines.addresses[i], state);
    // Up to eight connections to an engine, with one job on each. The wait for a connection ends after nine seconds.
    let config = ProgramConfig::new(&engines, &bus.address)
        .socket_limit(120)
        .known_endpoints(&[engine(0, IN_SERVICE)])
        .jobs_per_connection(1)
        .dial_timeout_ms(9000.0);
    let program = Program::start_with(config);
    let mut client = program.connect();

    (1..=10).for_each(|message| client.submit(message, "load", 8_000));
    let sent: Vec<ReceivedLine> = (1..=8).map(|_| engines.next_line()).collect();
    sent[0].reply("HIT", "sheets=1", "");
    let mut ends = vec![(sent[0].engine, client.next_answer().ends_with(": done "))];
    let next = engines.next_line();
    bus.send_update(2, &[engine(0, TERMINATING), engine(1, IN_SERVICE)]);
    let last = engines.next_line();
    for received in [next, last] {
        received.reply("HIT", "sheets=1", "");
        ends.push((received.engine, client.next_answer().ends_with(": done ")));
    }

    assert_eq!(ends, [(0, true), (0, true), (1, true)]);
}

/// A connection that is reset at the first bytes after it was idle was stale. Others that have been idle for as long
/// may be stale too and must not be reused: a job that must not run twice would fail there, since it may have run.
#[test]
fn connections_are_not_reused_if_one_idle_as_long_was_stale() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let mut other = program.connect();

    let idle = || std::thread::sleep(Duration::from_millis(60));
    // On a busy machine a reset may be received so late that the connection does not count as stale. The next round
    // then tries again.
    let observed = (0..10).any(|round| {
        let message = 10 * round;
        for message in message + 1..=message + 3 {
            client.submit(message, "lookup", 9000);
        }
        let mut used: Vec<ReceivedLine> = (1..=3).map(|_| engines.next_line()).collect();
        for received in &used {
            received.reply("HIT", "sheets=1", "");
            client.next_answer();
        }
        idle();
        client.submit(message + 4, "lookup", 9000);
        let stale = engines.next_line();
        let again_used = used.iter().any(|received| received.shares_connection_with(&stale));
        assert!(again_used || round > 0, "an idle connection was not reused although none was stale");
        stale.close_connection();
        let again = engines.next_line();
        again.reply("HIT", "sheets=1", "");
        assert_eq!(client.next_answer(), format!("{}: done ", message + 4));
        used.push(again);
        idle();
        other.submit(message + 5, "load", 9000);
        let fresh = engines.next_line();
        fresh.reply("HIT", "sheets=1", "");
        assert_eq!(other.next_answer(), format!("{}: done ", message + 5));
        again_used && !used.iter().any(|received| received.shares_connection_with(&fresh))
    });

    assert!(observed, "idle connections were reused after one of them was stale");
}

/// A machine that has vanished leaves its connections open and silent. Jobs on them would wait for an answer until
/// their deadline, so a new engine at the same address must get new connections.
#[test]
fn connections_to_an_earlier_incarnation_of_an_engine_are_not_reused() {
    let SingleEngine { engines, mut bus, program: _program, mut client } = SingleEngine::start();

    client.submit(1, "load", 9000);
    let old = engines.next_line();
    let mut fresh = endpoint("e0", &engines.addresses[0], IN_SERVICE);
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    fresh["startedAtMs"] = json!(unix.as_millis() as u64 + 1);
    bus.send_update(2, &[fresh]);
    let mut trace = vec![client.next_answer()];
    old.reply("HIT", "sheets=1", "from the old process");
    client.submit(2, "lookup", 9000);
    engines.next_line().reply("HIT", "sheets=1", "from the new process");
    trace.push(client.next_answer());

    expect![[r"
        1: Failed why=cancelled
        2: done from the new process\tb\tc\n"]]
    .assert_eq(&trace.join("\n"));
}

/// A restart closes the connections that were established before it. The start time comes from a wall clock that may
/// have been stepped by an hour: taken literally, an early one would keep the old connections, and a late one would
/// close the new ones too.
#[test]
fn a_restart_is_recognized_by_a_start_time_of_a_stepped_clock() {
    const HOUR_MS: i64 = 3_600_000;
    let mut trace = Vec::new();
    for stepped_ms in [-HOUR_MS, HOUR_MS] {
        let SingleEngine { engines, mut bus, program, mut client } = SingleEngine::start();
        client.submit(1, "load", 9000);
        let old = engines.next_line();
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let mut fresh = endpoint("e0", &engines.addresses[0], IN_SERVICE);
        fresh["startedAtMs"] = json!(unix.as_millis() as i64 + stepped_ms);
        bus.send_update(2, &[fresh]);
        program.wait_for_log("endpoint list changed event=2 ");
        old.reply("HIT", "sheets=1", "from the old process");
        trace.push(client.next_answer());
        client.submit(2, "lookup", 9000);
        let new = engines.next_line();
        trace.push(format!("{} on the old connection: {}", new.field(0), new.shares_connection_with(&old)));
        // An event with the same start time is no further restart.
        let mut again = endpoint("e0", &engines.addresses[0], IN_SERVICE);
        again["startedAtMs"] = json!(unix.as_millis() as i64 + stepped_ms);
        bus.send_update(3, &[again]);
        client.request_health(3);
        trace.push(client.next_answer());
        new.reply("HIT", "sheets=1", "from the new process");
        trace.push(client.next_answer());
    }

    expect![[r"
        1: Failed why=cancelled
        REQ on the old connection: false
        3: well true
        2: done from the new process\tb\tc\n
        1: Failed why=cancelled
        REQ on the old connection: false
        3: well true
        2: done from the new process\tb\tc\n"]]
    .assert_eq(&trace.join("\n"));
}

/// There are fewer descriptors for engine connections than engines, and idle connections to other engines use them all.
/// If the one that has been idle longest were not closed, a job could not be sent to the engine that was chosen for it
/// first.
#[test]
fn idle_connections_to_other_engines_are_closed_for_their_descriptors() {
    let (mut engines, bus) = (EngineStandIns::start(0), EventBusStandIn::start());
    engines.add("0.0.0.0:0");
    let port = engines.addresses[0].rsplit(':').next().unwrap().to_string();
    let endpoints = (1..=200).map(|i| endpoint(&format!("e{i}"), &format!("127.3.0.{i}:{port}"), IN_SERVICE));

    let endpoints: Vec<Json> = endpoints.collect();
    let config = ProgramConfig::new(&engines, &bus.address).limits(1.0, 24, 100).known_endpoints(&endpoints);
    let program = Program::start_with(config);
    let mut client = program.connect();
    let mut done = 0;
    for message in 1..=100 {
        let (id, statement) = (wire_id(message), format!("select * from sales_{message}.orders"));
        let fields = [("i", id.as_str()), ("d", "9000"), ("h", "100.0"), ("mem", "96")];
        client.send_raw(&encode_request(message, "load", &fields, &statement));
        engines.complete(message);
        done += usize::from(client.next_answer() == format!("{message}: done "));
    }
    let descriptors = program.descriptor_count();

    expect!["100 done, descriptors kept: true"]
        .assert_eq(&format!("{done} done, descriptors kept: {}", descriptors <= 100));
}

/// A new engine is listed at the address of one that is still listed. No more jobs are sent to the old one, and later
/// events about the old one must not affect the new one.
#[test]
fn a_new_engine_replaces_an_old_one_at_its_address() {
    let SingleEngine { engines, mut bus, program: _program, mut client } = SingleEngine::start();

    bus.send_update(2, &[endpoint("e1", &engines.addresses[0], IN_SERVICE)]);
    bus.send_update(3, &[endpoint("e0", &engines.addresses[0], TERMINATING)]);
    bus.disconnect();
    assert_eq!(bus.next_subscription(), "from 3");
    for message in 1..=4 {
        client.submit(message, "load", 9000);
        engines.next_line().reply("HIT", "sheets=1", "");
        assert_eq!(client.next_answer(), format!("{message}: done "));
    }
}

/// An engine closes an idle connection at the moment when a job that must not run twice is submitted: the suspended
/// program finds both at once. A job that is written to the closed connection is lost and may not be retried, so it
/// must be sent on a new one.
#[test]
fn a_non_idempotent_job_survives_an_idle_connection_closed_by_its_engine() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();

    client.submit(1, "load", 20_000);
    let mut received = engines.next_line();
    for message in 2..40 {
        received.reply("HIT", "sheets=1", "");
        assert_eq!(client.next_answer(), format!("{}: done ", message - 1));
        program.while_suspended(|| {
            received.close_connection();
            client.submit(message, "load", 20_000);
        });
        received = engines.next_line();
        assert_eq!((received.field(0), received.field(1)), ("REQ", &*wire_id(message)));
    }
}

/// An incomplete message on an idle connection would corrupt the answer to the next job on it, so the job must be sent
/// on another one.
#[test]
fn an_idle_connection_with_unread_bytes_is_not_reused() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();

    client.submit(1, "load", 20_000);
    let mut received = engines.next_line();
    for message in 2..20 {
        received.reply("HIT", "sheets=1", "");
        assert_eq!(client.next_answer(), format!("{}: done ", message - 1));
        program.while_suspended(|| {
            received.send_raw(b"0000");
            client.submit(message, "load", 20_000);
        });
        let next = engines.next_line();
        assert_eq!((next.field(0), next.shares_connection_with(&received)), ("REQ", false));
        received = next;
    }
}

/// As in the previous test, but the thread that reads has already taken the incomplete message from the socket and not
/// yet processed it. A peek at the socket shows nothing then.
#[test]
fn an_idle_connection_is_not_reused_while_its_bytes_are_being_read() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let FaultyProgram { program, faults } =
        Program::start_with_faults(ProgramConfig::new(&engines, &bus.address));
    let mut client = program.connect();
    faults.set_rate(FaultKind::DelayRead, 1.0).unwrap();

    client.submit(1, "load", 20_000);
    let mut received = engines.next_line();
    for message in 2..12 {
        received.reply("HIT", "sheets=1", "");
        assert_eq!(client.next_answer(), format!("{}: done ", message - 1));
        received.send_raw(b"0000");
        client.submit(message, "load", 20_000);
        let next = engines.next_line();
        assert_eq!((next.field(0), next.shares_connection_with(&received)), ("REQ", false));
        received = next;
    }
}

/// Each new connection wakes the thread that reads all connections. The call that wakes it may be interrupted by a
/// signal; without a retry the connection could not be used.
#[test]
fn a_connection_is_used_though_the_wake_up_of_its_reader_is_interrupted() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let FaultyProgram { program, faults } =
        Program::start_with_faults(ProgramConfig::new(&engines, &bus.address));
    let mut client = program.connect();

    // Most calls that wake a thread are interrupted.
    faults.set_rate(FaultKind::InterruptNonTcp, 0.95).unwrap();
    let mut done = 0;
    for message in 1..=8 {
        client.submit(message, "load", 9000);
        let line = engines.next_line();
        // The next job needs a connection of its own.
        client.submit(100 + message, "load", 9000);
        engines.complete(100 + message);
        line.reply("HIT", "sheets=1", "");
        done += (0..2).filter(|_| client.next_answer().ends_with(": done ")).count();
    }

    assert_eq!(done, 16);
}
