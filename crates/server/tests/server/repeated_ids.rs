//! Clients submit a job again with the id that it had before. A job that may have run, and must not run twice, is not
//! sent to an engine again (rule 2).

use crate::support::SingleEngine;
use crate::support::client::wire_id;
use crate::support::config::ProgramConfig;
use crate::support::engines::EngineStandIns;
use crate::support::event_bus::{EventBusStandIn, IN_SERVICE, TERMINATING, endpoint};
use crate::support::program::Program;
use pebblevane_server::session::client_job_ids::{ClientJobIds, ReservationError};
use serde_json::json;
use std::sync::Arc;

const MAY_HAVE_RUN: &str = "field i is that of a request that may have run";

/// How a client gives up a job that runs.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Cancel,
    Reset,
}

/// Submits a job of this class until its id is free, and returns the answer. `message` is its message number, and so its
/// id.
fn submit_again(program: &Program, engines: &EngineStandIns, message: u32, class: &str) -> String {
    loop {
        let mut client = program.connect();
        client.submit(message, class, 9000);
        while let Some(received) = engines.next_line_if_soon() {
            if received.field(0) == "REQ" {
                received.reply("HIT", "sheets=1", "");
            }
        }
        let answer = client.next_answer();
        if !answer.contains("is that of an open request") {
            return answer;
        }
    }
}

fn assert_not_run_again(program: &Program, departure: Departure, engines: &EngineStandIns, message: u32) {
    let mut client = program.connect();
    client.submit(message, "load", 9000);
    assert_eq!(engines.next_line().field(0), "REQ");
    match departure {
        Departure::Close => client.disconnect(),
        Departure::Cancel => client.cancel(message),
        Departure::Reset => client.reset(),
    }
    assert_eq!(engines.next_line().line, format!("STOP {}", wire_id(message)));
    let answer = submit_again(program, engines, message, "load");
    assert!(answer.contains(MAY_HAVE_RUN), "{departure:?}: {answer}");
}

/// A client leaves while its job runs, and submits the job again on a new connection. The engine may have run it by then:
/// a job that must not run twice, and one whose idempotency key other engines do not know, is refused.
#[test]
fn a_job_that_may_have_run_is_not_run_again_after_its_client_has_left() {
    for keyed in [false, true] {
        let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
        // With a shorter dial timeout the engine connection could count as silent and be closed instead of receiving
        // the cancellation.
        let mut config = ProgramConfig::new(&engines, &bus.address).dial_timeout_ms(9000.0);
        if keyed {
            config = config.idempotency_key_for_loads(5000.0).set("/settings/Classes/1/Group", json!("cell"));
        }
        let program = Program::start_with(config);
        let departures = [Departure::Close, Departure::Cancel, Departure::Reset];
        for (message, departure) in (1..).zip(departures) {
            assert_not_run_again(&program, departure, &engines, message);
        }
    }
}

/// An answer may be lost with its connection, so the client may submit the job again although the program has answered
/// it. A job that is harmless to repeat is run again.
#[test]
fn a_job_that_was_answered_is_run_again_only_if_that_is_harmless() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let mut answer_first = |message, class| {
        client.submit(message, class, 9000);
        engines.complete(message);
        assert_eq!(client.next_answer(), format!("{message}: done "));
    };
    answer_first(1, "load");
    answer_first(2, "lookup");

    assert!(submit_again(&program, &engines, 1, "load").contains(MAY_HAVE_RUN));
    assert_eq!(submit_again(&program, &engines, 2, "lookup"), "2: done ");
}

/// A job that can't have run may be submitted again with its id: it is rejected before any engine accepts jobs.
#[test]
fn a_job_that_never_ran_may_be_submitted_again() {
    let (engines, mut bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let draining = endpoint("e0", &engines.addresses[0], TERMINATING);
    let config = ProgramConfig::new(&engines, &bus.address).known_endpoints(&[draining]);
    let program = Program::start_with(config);
    let mut client = program.connect();

    client.submit(1, "load", 300);
    let answer = client.next_answer();
    assert!(answer.starts_with("1: Busy"), "{answer}");
    bus.send_update(2, &[endpoint("e0", &engines.addresses[0], IN_SERVICE)]);
    program.wait_for_log("endpoint list changed event=2 ");

    assert_eq!(submit_again(&program, &engines, 1, "load"), "1: done ");
}

/// The ids of ended jobs are retained in bounded memory: the oldest make room.
#[test]
fn the_number_of_retained_ids_is_bounded() {
    const MAX_RETAINED_IDS: u32 = 32_768;
    let ids = Arc::new(ClientJobIds::default());
    for number in 0..=MAX_RETAINED_IDS {
        ids.reserve(&wire_id(number)).expect("the id is new").retain();
    }

    assert_eq!(ids.reserve(&wire_id(1)).err(), Some(ReservationError::MayHaveRun));
    assert_eq!(ids.reserve(&wire_id(MAX_RETAINED_IDS)).err(), Some(ReservationError::MayHaveRun));
    assert!(ids.reserve(&wire_id(0)).is_ok());
}
