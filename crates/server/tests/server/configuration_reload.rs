//! Reading the configuration at the start, and again after SIGHUP.

use crate::support::config::ProgramConfig;
use crate::support::engines::{EngineStandIns, UnacceptingEngine};
use crate::support::event_bus::{EventBusStandIn, IN_SERVICE, TERMINATING, endpoint};
use crate::support::program::Program;
use expect_test::expect;
use serde_json::{Value as Json, json};
use std::fmt::Write as _;
use std::time::Duration;

/// The program exits at once, with one line that names the invalid field and says what is wrong.
#[test]
fn an_invalid_configuration_is_rejected_with_the_name_of_its_field() {
    let engines = EngineStandIns::start(1);
    let good = ProgramConfig::new(&engines, "127.0.0.1:1");

    let changes: [(&str, Json); 11] = [
        ("/seed", json!("xyz")),
        ("/seed", Json::Null),
        ("/listen", json!("here")),
        ("/bus", json!(7)),
        ("/limits/sockets", json!(-1)),
        ("/limits/sockets", json!(60)),
        ("/limits/memory_mb", json!(8)),
        ("/known/offset", Json::Null),
        ("/known/batch", json!([{"offset": 1}])),
        ("/settings/Classes", json!([])),
        ("/settings", Json::Null),
    ];
    let mut trace = String::new();
    for (field, value) in changes {
        let config = good.clone().set(field, value);
        let output = Program::command(&config).command.output().unwrap();
        write!(trace, "{} {}", output.status, String::from_utf8_lossy(&output.stderr)).unwrap();
    }

    expect![[r#"
        exit status: 1 pebblevane: configuration: field seed is "xyz", a hexadecimal number is wanted
        exit status: 1 pebblevane: configuration: field seed is missing, a string is wanted
        exit status: 1 pebblevane: configuration: field listen is "here", an address with a port is wanted
        exit status: 1 pebblevane: configuration: field bus is 7, a string is wanted
        exit status: 1 pebblevane: limits: field sockets is -1, a whole number is wanted
        exit status: 1 pebblevane: limits: field sockets is 60, at least 100 is wanted
        exit status: 1 pebblevane: limits: field memory_mb is 8, at least 24 is wanted
        exit status: 1 pebblevane: known: field offset is missing, a whole number is wanted
        exit status: 1 pebblevane: configuration: field known: event: field topology is missing, an object is wanted
        exit status: 1 pebblevane: settings: field Classes is missing or empty, reservation types are wanted
        exit status: 1 pebblevane: configuration: field settings is missing, an object is wanted
    "#]].assert_eq(&trace);
}

/// A reload changes the event bus and nothing else: open jobs continue. The old bus keeps its connection open and sends
/// no events, so the program would miss changes of the endpoint list if it went on reading there.
#[test]
fn a_reload_changes_the_event_bus_and_an_invalid_one_changes_nothing() {
    let (engines, mut bus, mut new_bus) =
        (EngineStandIns::start(1), EventBusStandIn::start(), EventBusStandIn::start());
    let draining = endpoint("e0", &engines.addresses[0], TERMINATING);
    let config = ProgramConfig::new(&engines, &bus.address).known_endpoints(&[draining]);
    let program = Program::start_with(config);
    let mut client = program.connect();

    let good = std::fs::read_to_string(&program.config_file).unwrap();
    let mut trace = format!("old: {}\n", bus.next_subscription());
    client.submit(1, "lookup", 9000);
    for bad in ["", &good[..good.len() / 2], &good.replace(&bus.address, "nowhere")] {
        std::fs::write(&program.config_file, bad).unwrap();
        program.signal("HUP");
    }
    std::fs::write(&program.config_file, good.replace(&bus.address, &new_bus.address)).unwrap();
    (0..5).for_each(|_| program.signal("HUP"));
    writeln!(trace, "new: {}", new_bus.next_subscription()).unwrap();
    new_bus.send_update(2, &[endpoint("e0", &engines.addresses[0], IN_SERVICE)]);
    engines.next_line().reply("HIT", "sheets=1", "still here");
    trace += &client.next_answer();

    expect![[r"
        old: from 1
        new: from 1
        1: done still here\tb\tc\n"]]
    .assert_eq(&trace);
}

/// The file may be only half written when SIGHUP is received. If it were not read again, the change would be lost
/// without another signal.
#[test]
fn a_half_written_configuration_is_read_again() {
    let (engines, bus, mut new_bus) =
        (EngineStandIns::start(1), EventBusStandIn::start(), EventBusStandIn::start());
    let program = Program::start(&engines, &bus);

    let good = std::fs::read_to_string(&program.config_file).unwrap();
    let new = good.replace(&bus.address, &new_bus.address);
    std::fs::write(&program.config_file, &new[..new.len() / 2]).unwrap();
    program.signal("HUP");
    program.wait_for_log("keeping the previous one");
    std::fs::write(&program.config_file, &new).unwrap();

    assert_eq!(new_bus.next_subscription(), "from 1");
}

/// The address changes again while the program still connects to the previous one, which does not respond. The attempt
/// must not end in a connection to that bus, nor in a return to the first one.
#[test]
fn two_reloads_in_a_row_end_at_the_second_event_bus() {
    let (engines, mut bus, unresponsive, mut last) = (
        EngineStandIns::start(1),
        EventBusStandIn::start(),
        UnacceptingEngine::start(),
        EventBusStandIn::start(),
    );
    let program = Program::start(&engines, &bus);

    assert_eq!(bus.next_subscription(), "from 1");
    let good = std::fs::read_to_string(&program.config_file).unwrap();
    for address in [&unresponsive.address, &last.address] {
        std::fs::write(&program.config_file, good.replace(&bus.address, address)).unwrap();
        program.signal("HUP");
        program.wait_for_log("configuration reloaded");
    }
    assert_eq!(last.next_subscription(), "from 1");
    // The program stays connected to the last bus.
    last.send_update(2, &[endpoint("e0", &engines.addresses[0], TERMINATING)]);
    program.wait_for_log("endpoint list changed event=2 entries=1 running=0");
}

/// The main thread wakes regularly to check for signals. It must not read the configuration then: without SIGHUP the
/// file may be in the middle of an edit.
#[test]
fn a_changed_configuration_is_not_applied_without_a_signal() {
    let (engines, bus, new_bus) =
        (EngineStandIns::start(1), EventBusStandIn::start(), EventBusStandIn::start());
    let program = Program::start(&engines, &bus);

    let good = std::fs::read_to_string(&program.config_file).unwrap();
    std::fs::write(&program.config_file, good.replace(&bus.address, &new_bus.address)).unwrap();
    // The main thread wakes every 50 ms.
    std::thread::sleep(Duration::from_millis(400));
    std::fs::write(&program.config_file, &good).unwrap();
    program.signal("HUP");
    let first = program.wait_for_log("configuration reloaded");

    assert!(first.contains(&bus.address), "{first}");
}
