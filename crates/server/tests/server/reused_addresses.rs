//! An address passes to a new engine while the endpoint list still contains the engine that had it before. A job that is
//! sent there as if to the earlier engine escapes the rules on idempotency groups, draining and placement (rules 2, 3
//! and 6), since they are checked against the wrong engine.
//!
//! In the first tests the new engine drains, so a job that reaches the address was sent for the earlier one.

use crate::support::client::Client;
use crate::support::config::ProgramConfig;
use crate::support::engines::EngineStandIns;
use crate::support::event_bus::{
    EventBusStandIn, IN_SERVICE, TERMINATED, TERMINATING, endpoint, snapshot_event, update_event,
};
use crate::support::program::Program;
use expect_test::expect;
use serde_json::{Value as Json, json};
use std::fmt::Write as _;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Names of the earlier and of the new engine, in both orders of the alphabet.
const NAMES: [(&str, &str); 2] = [("a", "b"), ("b", "a")];
/// How long the client of a job waits that no engine may get.
const CLIENT_TIMEOUT_MS: u32 = 600;

/// An entry of an engine that started just now.
fn started_now(name: &str, address: &str, state: &str) -> Json {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    started(name, address, state, unix.as_millis() as u64)
}

/// An entry of an engine that started at this Unix time.
fn started(name: &str, address: &str, state: &str, unix_ms: u64) -> Json {
    let mut entry = endpoint(name, address, state);
    entry["startedAtMs"] = json!(unix_ms);
    entry
}

/// Submits a job, and returns its answer and whether any engine has received it.
fn submit(engines: &EngineStandIns, client: &mut Client, message: u32) -> String {
    client.submit(message, "lookup", CLIENT_TIMEOUT_MS);
    let received = engines.next_line_if_soon();
    format!("{}, sent: {}\n", client.next_answer(), received.is_some())
}

/// The program starts with a list that contains both engines. It merged the known events in the order of the engines'
/// names, so that a dead engine could keep the address.
#[test]
fn a_start_knows_which_engine_has_a_reused_address() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let address = &engines.addresses[0];
    let mut trace = String::new();
    for (earlier, new) in NAMES {
        let earlier = endpoint(earlier, address, IN_SERVICE);
        let in_order = vec![
            snapshot_event(1, std::slice::from_ref(&earlier)),
            update_event(2, &[endpoint(new, address, IN_SERVICE)]),
            update_event(3, &[endpoint(new, address, TERMINATING)]),
        ];
        let new = started_now(new, address, TERMINATING);
        let new_first = vec![snapshot_event(1, &[new.clone(), earlier.clone()])];
        let new_last = vec![snapshot_event(1, &[earlier, new])];
        for known in [in_order, new_first, new_last] {
            let config = ProgramConfig::new(&engines, &bus.address).set("/known/batch", json!(known));
            let program = Program::start_with(config);
            trace += &submit(&engines, &mut program.connect(), 1);
        }
    }

    expect![[r"
        1: Busy w=1000, sent: false
        1: Busy w=1000, sent: false
        1: Busy w=1000, sent: false
        1: Busy w=1000, sent: false
        1: Busy w=1000, sent: false
        1: Busy w=1000, sent: false
    "]]
    .assert_eq(&trace);
}

/// The earlier engine, on which a job is still in flight, is listed once more: by a change, or by a complete list in
/// which it comes after the new one. This made it accept jobs again.
#[test]
fn an_engine_that_has_lost_its_address_accepts_no_jobs_when_it_is_listed_again() {
    let mut trace = String::new();
    for (earlier, new) in NAMES {
        for complete in [false, true] {
            let (engines, mut bus) = (EngineStandIns::start(1), EventBusStandIn::start());
            let address = &engines.addresses[0];
            let earlier = endpoint(earlier, address, IN_SERVICE);
            let known = std::slice::from_ref(&earlier);
            let config = ProgramConfig::new(&engines, &bus.address).known_endpoints(known);
            let program = Program::start_with(config);
            let mut client = program.connect();
            client.submit(1, "lookup", 20_000);
            let in_flight = engines.next_line();
            let new_running = started_now(new, address, IN_SERVICE);
            if complete {
                bus.send_update(2, &[]);
                bus.send_snapshot(3, &[new_running, earlier]);
            } else {
                bus.send_update(2, &[new_running]);
                bus.send_update(3, &[earlier]);
            }
            bus.send_update(4, &[endpoint(new, address, TERMINATING)]);
            program.wait_for_log("endpoint list changed event=4 ");
            trace += &submit(&engines, &mut client, 2);
            in_flight.reply("HIT", "sheets=1", "");
            writeln!(trace, "{}", client.next_answer().trim_end()).unwrap();
        }
    }

    expect![[r"
        2: Busy w=1000, sent: false
        1: done
        2: Busy w=1000, sent: false
        1: done
        2: Busy w=1000, sent: false
        1: done
        2: Busy w=1000, sent: false
        1: done
    "]]
    .assert_eq(&trace);
}

/// An entry without a start comes between two entries with the same one. The second is no new start, so the engine must
/// not get back the address that it has lost.
#[test]
fn an_entry_without_a_start_hides_no_earlier_one() {
    let (engines, mut bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let address = &engines.addresses[0];
    let known = [started("a", address, IN_SERVICE, 1_000)];
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address).known_endpoints(&known));
    bus.send_update(2, &[started("b", address, IN_SERVICE, 2_000)]);
    bus.send_update(3, &[endpoint("a", address, IN_SERVICE)]);
    bus.send_update(4, &[started("a", address, IN_SERVICE, 1_000)]);
    bus.send_update(5, &[endpoint("b", address, TERMINATING)]);
    program.wait_for_log("endpoint list changed event=5 ");

    expect![[r"
        1: Busy w=1000, sent: false
    "]]
    .assert_eq(&submit(&engines, &mut program.connect(), 1));
}

/// An engine starts again at an address that had passed to another one. If it stayed closed, its capacity would be lost
/// until the next start of the program.
#[test]
fn an_engine_that_starts_again_at_its_lost_address_gets_jobs() {
    let (engines, mut bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let address = &engines.addresses[0];
    let known = [endpoint("a", address, IN_SERVICE)];
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address).known_endpoints(&known));
    bus.send_update(2, &[started("b", address, IN_SERVICE, 1_000)]);
    bus.send_update(3, &[started("a", address, IN_SERVICE, 2_000)]);
    bus.send_update(4, &[endpoint("b", address, TERMINATED)]);
    program.wait_for_log("endpoint list changed event=4 ");
    let mut client = program.connect();

    client.submit(1, "lookup", 9000);
    engines.complete(1);

    assert_eq!(client.next_answer(), "1: done ");
}

/// A complete list contains two engines at one address, without their starts: the one that drains has ended, and the
/// other has its address. If the place in the list decided, the capacity of the running one could be lost.
#[test]
fn of_two_engines_without_a_start_the_running_one_has_the_address() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let address = &engines.addresses[0];
    let (draining, running) = (endpoint("a", address, TERMINATING), endpoint("b", address, IN_SERVICE));
    for known in [[draining.clone(), running.clone()], [running, draining]] {
        let config = ProgramConfig::new(&engines, &bus.address).known_endpoints(&known);
        let program = Program::start_with(config);
        let mut client = program.connect();

        client.submit(1, "lookup", 9000);
        engines.complete(1);

        assert_eq!(client.next_answer(), "1: done ");
    }
}

/// How the event bus reports that an engine of another cell has taken over an address.
#[derive(Clone, Copy)]
enum Report {
    /// In one event, with the end of the earlier engine.
    AtOnce,
    /// The end of the earlier engine first, then the new one.
    EndFirst,
}

/// A keyed load is sent to the address of an engine of cell 0, where one of cell 1 has taken over, as the bus then reports.
/// `started_ago_ms` is how long before the report it started, and the load was sent 300 ms before that; `None` if the bus does not tell. The connection is lost, and
/// the load sent again. Returns the cell to which it is sent, or the client's answer if it is not.
fn cell_of_retry(report: Report, started_ago_ms: Option<u64>) -> String {
    let (engines, mut bus) = (EngineStandIns::start(3), EventBusStandIn::start());
    let entry = |name: &str, engine: usize, state: &str, cell: u32| {
        let mut entry = endpoint(name, &engines.addresses[engine], state);
        entry["cell"] = json!(cell);
        entry
    };
    // Only the first engine gets the load.
    let known = [entry("a", 0, IN_SERVICE, 0), entry("c", 1, TERMINATING, 0), entry("d", 2, TERMINATING, 1)];
    let config = ProgramConfig::new(&engines, &bus.address).known_endpoints(&known);
    let config = config.idempotency_key_for_loads(60_000.0).set("/settings/Classes/1/Group", json!("cell"));
    let program = Program::start_with(config);
    let mut client = program.connect();
    client.submit(1, "load", 3000);
    let first = engines.next_line();
    assert_eq!((first.engine, first.field(0)), (0, "REQ"));

    // Longer than the start time may be wrong.
    std::thread::sleep(Duration::from_millis(300));
    let mut new = entry("b", 0, TERMINATING, 1);
    if let Some(ago) = started_ago_ms {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        new["startedAtMs"] = json!(unix.as_millis() as u64 - ago);
    }
    let ended = entry("a", 0, TERMINATED, 0);
    let others = [entry("c", 1, IN_SERVICE, 0), entry("d", 2, IN_SERVICE, 1)];
    match report {
        Report::AtOnce => bus.send_update(2, &[&[ended, new], &others[..]].concat()),
        Report::EndFirst => {
            bus.send_update(2, &[ended]);
            bus.send_update(3, &[&[new], &others[..]].concat());
        }
    }
    let last_event = if matches!(report, Report::AtOnce) { 2 } else { 3 };
    program.wait_for_log(&format!("endpoint list changed event={last_event} "));
    first.close_connection();
    match engines.next_line_if_soon() {
        Some(retry) => format!("{} cell {}", retry.field(0), retry.engine - 1),
        None => client.next_answer(),
    }
}

/// A keyed load ran on an engine that the program took for the earlier one at its address. It was sent again to the cell of
/// the earlier engine, where its key is not known, and took effect twice. Where it can't be known which of the two engines
/// has run it, it is not sent again.
#[test]
fn a_keyed_job_that_a_new_engine_at_the_address_has_run_is_retried_in_its_cell() {
    let mut trace = String::new();
    for report in [Report::AtOnce, Report::EndFirst] {
        for started_ago_ms in [Some(5000), Some(0), None] {
            writeln!(trace, "{}", cell_of_retry(report, started_ago_ms)).unwrap();
        }
    }

    expect![[r"
        REQ cell 1
        REQ cell 0
        1: Failed why=cancelled
        REQ cell 1
        REQ cell 0
        1: Failed why=cancelled
    "]]
    .assert_eq(&trace);
}
