//! The endpoint list that the event bus sends, despite faults of the bus and of connections to it. Without a current
//! list, jobs would be dispatched to engines that drain (rule 3).

use crate::support::SingleEngine;
use crate::support::config::ProgramConfig;
use crate::support::engines::EngineStandIns;
use crate::support::event_bus::{
    EventBusStandIn, IN_SERVICE, TERMINATED, TERMINATING, endpoint, snapshot_event, update_event,
};
use crate::support::program::Program;
use expect_test::expect;
use serde_json::{Value as Json, json};
use std::fmt::Write as _;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// The bus is unreachable at the start, repeats and skips events, sends malformed lines and disconnects. After each of
/// these the program must subscribe from the last event that it has read, so that it misses none that the bus still
/// has.
#[test]
fn the_endpoint_list_is_kept_through_faults_of_the_event_bus() {
    let mut engines = EngineStandIns::start(2);
    // A loopback address that nothing else uses, so that the port stays free until the bus listens there.
    let unreachable = TcpListener::bind("127.0.0.77:0").unwrap().local_addr().unwrap().to_string();
    let first = endpoint("e0", &engines.addresses[0], IN_SERVICE);
    let program = Program::start_with(ProgramConfig::new(&engines, &unreachable).known_endpoints(&[first]));
    let mut client = program.connect();

    let mut message = 0;
    let mut engine_of_next_job = |engines: &EngineStandIns| {
        message += 1;
        client.submit(message, "lookup", 9000);
        let received = engines.next_line();
        received.reply("HIT", "sheets=1", "");
        assert_eq!(client.next_answer(), format!("{message}: done "));
        received.engine
    };
    let mut trace = format!("at the start: engine {}\n", engine_of_next_job(&engines));
    let mut bus = EventBusStandIn::listen(&unreachable, 1);
    writeln!(trace, "{}", bus.next_subscription()).unwrap();
    bus.send_line("nonsense");
    bus.send_raw(b"\xff\xfe\n");
    bus.send_snapshot(1, &[]);
    bus.send_update(2, &[json!({"instanceId": 7}), endpoint("e1", &engines.addresses[1], IN_SERVICE)]);
    bus.send_update(2, &[endpoint("e1", &engines.addresses[1], TERMINATED)]);
    bus.send_line(&update_event(4, &[endpoint("e1", &engines.addresses[1], TERMINATED)]).to_string());
    writeln!(trace, "after a gap: {}", bus.next_subscription()).unwrap();
    bus.send_update(3, &[endpoint("e0", &engines.addresses[0], TERMINATING)]);
    bus.disconnect();
    writeln!(trace, "after a disconnect: {}", bus.next_subscription()).unwrap();
    writeln!(trace, "e0 drains: engine {}", engine_of_next_job(&engines)).unwrap();
    // Event 4 is missing. If it is missing again after the reconnect, the bus no longer has it, and it is skipped.
    bus.send_line(&update_event(5, &[]).to_string());
    writeln!(trace, "after a gap: {}", bus.next_subscription()).unwrap();
    bus.send_line(&update_event(5, &[]).to_string());
    bus.disconnect();
    writeln!(trace, "after the same gap: {}", bus.next_subscription()).unwrap();
    // A complete list that contains only a new engine.
    engines.add("127.0.0.1:0");
    bus.send_snapshot(6, &[endpoint("e2", &engines.addresses[2], IN_SERVICE)]);
    bus.disconnect();
    bus.next_subscription();
    writeln!(trace, "a new list: engine {}", engine_of_next_job(&engines)).unwrap();

    expect![[r"
        at the start: engine 0
        from 1
        after a gap: from 2
        after a disconnect: from 3
        e0 drains: engine 1
        after a gap: from 3
        after the same gap: from 5
        a new list: engine 2
    "]]
    .assert_eq(&trace);
}

/// The bus accepts a connection and then sends nothing. Without a timeout for the heartbeat the program would wait
/// forever and miss all changes.
#[test]
fn a_silent_event_bus_is_reconnected() {
    let engines = EngineStandIns::start(1);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let _program =
        Program::start_with(ProgramConfig::new(&engines, &silent.local_addr().unwrap().to_string()));

    let first = silent.accept().unwrap();
    let second = silent.accept().unwrap();
    drop((first, second));
}

/// A connection to the event bus on which nothing was received times out sooner than other silent ones. Otherwise,
/// after two such connections in a row, the program would notice too late that an engine drains.
#[test]
fn event_bus_connections_that_never_send_anything_time_out_soon() {
    /// The maximum time that two connections may take to time out. With timeouts of 1.5 s they take 3.0 s and two
    /// pauses of at most 150 and 300 ms; with the timeout of 2.2 s for other connections it would be more than 4.4 s.
    const MAX_TIME_FOR_TWO_TIMEOUTS: Duration = Duration::from_millis(4200);
    let engines = EngineStandIns::start(1);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let _program =
        Program::start_with(ProgramConfig::new(&engines, &silent.local_addr().unwrap().to_string()));

    let opened: Vec<_> = (0..3).map(|_| (silent.accept().unwrap(), Instant::now())).collect();
    let took = opened[2].1 - opened[0].1;
    assert!(took < MAX_TIME_FOR_TWO_TIMEOUTS, "{took:?}");
}

/// After a reconnect the bus sends events with offsets that the program has already read: within one run of the program
/// the protocol gives each offset to only one event. These must be ignored, or the program would revert to an older
/// list and, above all, dispatch jobs to engines that drain.
#[test]
fn events_with_lower_offsets_revert_nothing() {
    let SingleEngine { engines, mut bus, program, mut client } = SingleEngine::start();

    bus.send_update(2, &[endpoint("e1", "127.0.0.1:1", IN_SERVICE)]);
    bus.send_update(3, &[endpoint("e1", "127.0.0.1:1", TERMINATING)]);
    program.wait_for_log("endpoint list changed event=3 ");
    bus.disconnect();
    assert_eq!(bus.next_subscription(), "from 3");
    bus.send_line("{\"offset\":1}");
    bus.send_line(&update_event(2, &[endpoint("e0", &engines.addresses[0], TERMINATED)]).to_string());
    client.submit(1, "lookup", 9000);
    let mut trace = vec![engines.next_line().engine.to_string()];
    client.submit(2, "lookup", 9000);
    engines.complete(2);
    trace.push(client.next_answer());
    bus.send_line(&update_event(4, &[endpoint("e0", &engines.addresses[0], TERMINATING)]).to_string());
    trace.push(
        program.wait_for_log("endpoint list changed event=4 ").split_once("changed ").unwrap().1.to_string(),
    );

    expect!["0|2: done |event=4 entries=1 running=0"].assert_eq(&trace.join("|"));
}

/// The complete list is one line, here with 3,200 engines with long names. The maximum line length must not reject it.
#[test]
fn an_endpoint_list_of_more_than_a_megabyte_is_read() {
    let SingleEngine { engines, mut bus, program, mut client } = SingleEngine::start();

    let long_name = |i: usize| format!("engine-{i}-{}", "x".repeat(400));
    let mut entries: Vec<Json> =
        (0..3200).map(|i| endpoint(&long_name(i), "127.0.0.1:1", TERMINATING)).collect();
    entries.push(endpoint("e0", &engines.addresses[0], IN_SERVICE));
    let line = snapshot_event(2, &entries).to_string();
    assert!(line.len() > 1024 * 1024);
    bus.send_line(&line);
    program.wait_for_log("endpoint list changed event=2 entries=3201 running=1");
    client.submit(1, "lookup", 9000);
    engines.next_line().reply("HIT", "sheets=1", "");

    assert_eq!(client.next_answer(), "1: done ");
}
