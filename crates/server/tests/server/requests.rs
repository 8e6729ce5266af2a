//! Requests of clients, from the first byte to the answer, and the choice of engines for them.

use crate::support::SingleEngine;
use crate::support::client::{SELECT, encode_request, wire_id};
use crate::support::config::ProgramConfig;
use crate::support::engines::{EngineStandIns, ReceivedLine};
use crate::support::event_bus::EventBusStandIn;
use crate::support::program::Program;
use expect_test::expect;
use std::collections::BTreeMap;
use std::fmt::Write as _;

#[test]
fn a_job_is_dispatched_and_its_rows_are_returned() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    client.submit(7, "lookup", 5000);
    let received = engines.next_line();
    let (head, limit) = received.line.split_once("limit=").unwrap();
    let (limit, tail) = limit.split_once(',').unwrap();
    assert!((2000..=5000).contains(&limit.parse().unwrap()), "{limit}");
    received.reply("INFO", "tell=advance,val=0.5", "");
    received.reply("HIT", "sheets=1,toil=12.5,room=64", "a");

    expect![[r"
        REQ 0000000000000007 cls=lookup,|urgency=3 29
        select * from sales_17.orders
        7: done a\tb\tc\n"]]
    .assert_eq(&format!(
        "{head}|{tail}\n{}\n{}",
        String::from_utf8_lossy(&received.body),
        client.next_answer()
    ));
}

/// The bytes of requests may arrive in any pieces, and engines may answer in any order. Each request must get one
/// answer.
#[test]
fn requests_may_arrive_a_byte_at_a_time_or_many_at_once() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    let request =
        |message| encode_request(message, "lookup", &[("i", &wire_id(message)), ("d", "9000")], SELECT);
    request(1).chunks(1).for_each(|byte| client.send_raw(byte));
    engines.next_line().reply("HIT", "sheets=1", "one");
    let mut trace = vec![client.next_answer()];
    client.send_raw(&(2..=32).flat_map(request).collect::<Vec<u8>>());
    let mut received: Vec<ReceivedLine> = (2..=32).map(|_| engines.next_line()).collect();
    assert!(received.iter().all(|received| received.field(0) == "REQ"));
    // The engine answers in the reverse order.
    received.reverse();
    for received in &received {
        received.reply("HIT", "sheets=1", "");
    }
    let mut answers: Vec<String> = (2..=32).map(|_| client.next_answer()).collect();
    assert!(answers.iter().all(|answer| answer.ends_with(": done ")));
    answers.sort();
    answers.dedup();
    trace.push(format!("{} answers", answers.len()));

    expect![[r"
        1: done one\tb\tc\n
        31 answers"]]
    .assert_eq(&trace.join("\n"));
}

/// A request that can be decoded may have an unknown class, or a field that is missing or invalid. Closing the
/// connection for that would cancel the client's other requests.
#[test]
fn an_invalid_request_is_answered_with_an_error_and_its_connection_stays_open() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    let id = wire_id(1);
    let mut trace = String::new();
    for (message, class, fields) in [
        (1, "nonsense", vec![("i", id.as_str()), ("d", "900")]),
        (2, "lookup", vec![("i", id.as_str())]),
        (3, "lookup", vec![("i", id.as_str()), ("d", "soon")]),
        (4, "lookup", vec![("i", id.as_str()), ("d", "NaN")]),
        (5, "lookup", vec![("i", id.as_str()), ("d", "900"), ("h", "-1")]),
        (6, "lookup", vec![("i", "a b\r\n"), ("d", "900")]),
        (7, "lookup", vec![("d", "900")]),
    ] {
        client.send_raw(&encode_request(message, class, &fields, SELECT));
        writeln!(trace, "{}", client.next_answer()).unwrap();
    }
    client.send_raw(b"\x93\x02\xa5hello\x90");
    client.submit(8, "lookup", 9000);
    engines.next_line().reply("HIT", "sheets=1", "");
    trace += &client.next_answer();

    expect![[r"
        1: Failed why=unknown reservation type nonsense
        2: Failed why=field d is missing or odd
        3: Failed why=field d is missing or odd
        4: Failed why=field d is missing or odd
        5: Failed why=field h is missing or odd
        6: Failed why=field i is missing or odd
        7: Failed why=field i is missing or odd
        8: done "]]
    .assert_eq(&trace);
}

/// Engines identify jobs by the ids that clients choose, so a second job with the id of an open one must not reach
/// them. A message number must not get two answers: a request with the number of an open one closes its connection.
#[test]
fn an_id_of_an_open_request_is_rejected() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    // With a shorter dial timeout the engine connection could count as silent and be closed instead of receiving
    // the cancellation.
    let config = ProgramConfig::new(&engines, &bus.address).dial_timeout_ms(9000.0);
    let program = Program::start_with(config);
    let mut client = program.connect();

    client.submit(1, "lookup", 9000);
    let received = engines.next_line();
    let (mut same_id, mut same_number) = (program.connect(), program.connect());
    let open_id = wire_id(1);
    same_id.send_raw(&encode_request(
        5,
        "lookup",
        &[("i", &open_id), ("d", "9000")],
        "delete from sales_17.orders",
    ));
    let mut trace = format!("{}\n", same_id.next_answer());
    same_number.submit(7, "lookup", 9000);
    let _open = engines.next_line();
    same_number.request_health(7);
    writeln!(trace, "{}", same_number.next_answer()).unwrap();
    assert_eq!(engines.next_line().field(0), "STOP");
    received.reply("HIT", "sheets=1", "own");
    writeln!(trace, "{}", client.next_answer()).unwrap();
    // Once the request is answered, its id may be used again.
    client.submit(1, "lookup", 9000);
    engines.next_line().reply("HIT", "sheets=1", "again");
    trace += &client.next_answer();
    expect![[r"
        5: Failed why=field i is that of an open request
        closed
        1: done own\tb\tc\n
        1: done again\tb\tc\n"]]
    .assert_eq(&trace);
    engines.expect_no_line();
}

/// The engines for a job follow from its table group alone, not from the rest of the statement. Otherwise jobs on the
/// same tables would be spread over more engines than the two of their pair.
#[test]
fn statements_on_one_table_group_go_to_its_pair_of_engines() {
    let (engines, bus) = (EngineStandIns::start(6), EventBusStandIn::start());
    let program = Program::start(&engines, &bus);
    let mut client = program.connect();

    let mut engines_used: BTreeMap<usize, u32> = BTreeMap::new();
    for message in 0..12 {
        let statement = format!("select '{message}' -- crm_{message}.x\n from \"sales_17\".orders");
        client.send_raw(&encode_request(
            message,
            "lookup",
            &[("i", &wire_id(message)), ("d", "9000")],
            &statement,
        ));
        let received = engines.next_line();
        received.reply("HIT", "sheets=1", "");
        client.next_answer();
        *engines_used.entry(received.engine).or_default() += 1;
    }

    assert!(engines_used.len() <= 2, "a hashed pair has two engines: {engines_used:?}");
}
