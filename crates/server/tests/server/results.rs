//! Results reach the client complete and in order, or not at all (rule 1).

use crate::support::SingleEngine;
use crate::support::client::wire_id;
use crate::support::engines::ReceivedLine;
use expect_test::expect;
use std::fmt::Write as _;

/// Pages of a result may arrive out of order or twice, have a number that was not requested, or be missing. None of
/// these may complete a job with wrong rows.
#[test]
fn result_pages_are_ordered_and_checked() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    client.submit(1, "lookup", 5000);
    let request = engines.next_line();
    request.reply("HIT", "sheets=4", "0");
    let fetches: Vec<ReceivedLine> = (0..3).map(|_| engines.next_line()).collect();
    let mut trace: Vec<String> = fetches.iter().map(|received| received.line.clone()).collect();
    fetches[2].reply("PART", "sheet=3", "3");
    fetches[2].reply("PART", "sheet=9", "9");
    fetches[0].reply("PART", "sheet=1", "1");
    fetches[0].reply("PART", "sheet=1", "again");
    fetches[1].reply("PART", "sheet=2", "2");
    trace.push(client.next_answer());
    trace.push(engines.next_line().line);
    // The engine fails instead of sending the second page.
    client.submit(2, "load", 5000);
    engines.next_line().reply("HIT", "sheets=2", "0");
    let page = engines.next_line();
    trace.push(page.line.clone());
    page.reply("FAULT", "-", "");
    trace.push(client.next_answer());
    expect![[r"
        FETCH 0000000000000001 1
        FETCH 0000000000000001 2
        FETCH 0000000000000001 3
        1: done 0\tb\tc\n1\tb\tc\n2\tb\tc\n3\tb\tc\n
        END 0000000000000001
        FETCH 0000000000000002 1
        2: Failed why=cancelled"]]
    .assert_eq(&trace.join("\n"));
    engines.expect_no_line();
}

/// Noise hits the field that holds the number of pages. The first page must not complete the job, since the client could
/// not tell that the other pages are missing: a retryable job is sent again, and one that must not run twice fails.
#[test]
fn a_result_whose_page_count_is_unreadable_is_not_passed_on() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    let mut trace = Vec::new();
    for (message, fields) in [(1, "sheetp=3"), (2, "-"), (3, "sheets=0")] {
        client.submit(message, "lookup", 9000);
        engines.next_line().reply("HIT", fields, "0");
        let again = engines.next_line();
        trace.push(again.line.split(' ').take(2).collect::<Vec<&str>>().join(" "));
        again.reply("HIT", "sheets=1", "complete");
        trace.push(client.next_answer());
    }
    client.submit(4, "load", 9000);
    engines.next_line().reply("HIT", "sheetp=3", "0");
    trace.push(client.next_answer());

    expect![[r"
        REQ 0000000000000001
        1: done complete\tb\tc\n
        REQ 0000000000000002
        2: done complete\tb\tc\n
        REQ 0000000000000003
        3: done complete\tb\tc\n
        4: Failed why=cancelled"]]
    .assert_eq(&trace.join("\n"));
    engines.expect_no_line();
}

/// A page of more than 6000 bytes violates the engine protocol. The job fails and none of the rows are passed on.
#[test]
fn a_result_page_over_the_size_limit_is_not_passed_on() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    client.submit(1, "load", 5000);
    engines.next_line().reply("HIT", "sheets=1", &"x".repeat(6_001));

    expect!["1: Failed why=cancelled"].assert_eq(&client.next_answer());
}

/// An answer that is malformed, or incomplete while its connection stays open, must not complete a job, and no later
/// dispatch may use its connection. Dispatches on other connections must not be affected.
#[test]
fn a_malformed_engine_answer_closes_only_its_own_connection() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    client.submit(99, "load", 9000);
    let other = engines.next_line();
    let mut trace = String::new();
    for (message, what, answer) in [
        (1, "stops", "HIT sheets=1 12\r\na\tb"),
        (2, "noise", "HIT sheets=1 6\r\n\u{1}\u{7}\tb\t\n\r\n"),
        (3, "two columns", "HIT sheets=1 4\r\na\tb\n\r\n"),
        (4, "half a row", "HIT sheets=1 5\r\na\tb\tc\r\n"),
        (5, "length", "HIT sheets=1 3000000000\r\na\tb\tc\n"),
        (6, "no length", "HIT sheets=1 -4\r\n\r\n"),
        (7, "endless", &"x".repeat(5000)),
    ] {
        client.submit(message, "lookup", 9000);
        let malformed = engines.next_line();
        malformed.send_raw(format!("{} {answer}", wire_id(message)).as_bytes());
        let again = engines.next_line();
        assert!(!again.shares_connection_with(&malformed) && !again.shares_connection_with(&other));
        again.reply("HIT", "sheets=1", what);
        writeln!(trace, "{}", client.next_answer()).unwrap();
    }
    other.reply("HIT", "sheets=1", "other");
    trace += &client.next_answer();

    expect![[r"
        1: done stops\tb\tc\n
        2: done noise\tb\tc\n
        3: done two columns\tb\tc\n
        4: done half a row\tb\tc\n
        5: done length\tb\tc\n
        6: done no length\tb\tc\n
        7: done endless\tb\tc\n
        99: done other\tb\tc\n"]]
    .assert_eq(&trace);
}

/// An answer with the id of no dispatch in flight, or a second one with the same id, must not be taken for the answer
/// to another job.
#[test]
fn duplicate_and_unknown_engine_answers_are_dropped() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    client.submit(1, "lookup", 9000);
    let received = engines.next_line();
    received.reply_as("ffffffffffffffff", "HIT", "sheets=1", "not asked for");
    received.reply_as("p99", "PONG", "-", "");
    received.reply("HIT", "sheets=1", "right");
    received.reply("HIT", "sheets=1", "again");
    received.reply("FAULT", "-", "");
    let mut trace = vec![client.next_answer()];
    client.submit(2, "lookup", 9000);
    engines.next_line().reply("HIT", "sheets=1", "second");
    trace.push(client.next_answer());

    expect![[r"
        1: done right\tb\tc\n
        2: done second\tb\tc\n"]]
    .assert_eq(&trace.join("\n"));
}
