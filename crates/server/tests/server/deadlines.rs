//! A client's timeout counts from the arrival of its request, not from when the program reads it (rule 1).

use crate::support::SingleEngine;
use expect_test::expect;
use std::time::{Duration, Instant};

/// Requests arrive while the program is suspended. If their timeouts counted from when they are read, an engine would
/// get a later deadline than the client has, and a request whose client no longer waits would be dispatched.
#[test]
fn time_spent_unread_counts_against_the_clients_timeout() {
    /// How much longer than the time left the engine's limit may be: that time is measured later, when the line is
    /// read.
    const LIMIT_TOLERANCE_MS: u128 = 150;
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let mut other = program.connect();

    for client in [&mut client, &mut other] {
        client.request_health(1);
        assert_eq!(client.next_answer(), "1: well true");
    }
    let (sent_at, mut fresh) = program.while_suspended(|| {
        let sent_at = Instant::now();
        client.submit(2, "lookup", 700);
        other.submit(3, "load", 5000);
        let mut fresh = program.connect();
        fresh.submit(4, "lookup", 700);
        std::thread::sleep(Duration::from_millis(900));
        (sent_at, fresh)
    });
    let received = engines.next_line();
    let limit = received.line.split_once("limit=").unwrap().1;
    let limit: u128 = limit[..limit.find([',', ' ']).unwrap()].parse().unwrap();
    let left = 5000 - sent_at.elapsed().as_millis();
    let bound = if limit <= left + LIMIT_TOLERANCE_MS { "within" } else { "beyond" };
    let answers = [client.next_answer(), fresh.next_answer()].join("; ");
    engines.expect_no_line();
    let trace =
        format!("{} {}, limit {bound} the time left; {answers}", received.field(0), received.field(1));

    expect!["REQ 0000000000000003, limit within the time left; 2: Busy w=1000; 4: Busy w=1000"]
        .assert_eq(&trace);
}

/// The program may assume an arrival as early as its previous wait for events. The idle time of a connection before a
/// request, used or not, must not count against the request's timeout, or the request would be rejected at once.
#[test]
fn idle_time_before_a_request_does_not_count_against_its_timeout() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let mut fresh = program.connect();

    client.request_health(1);
    let mut trace = vec![client.next_answer()];
    // Longer than the timeouts of the requests.
    std::thread::sleep(Duration::from_millis(3200));
    for (message, client) in (2..).zip([&mut client, &mut fresh]) {
        client.submit(message, "lookup", 3000);
        engines.next_line().reply("HIT", "sheets=1", "");
        trace.push(client.next_answer());
    }

    expect!["1: well true|2: done |3: done "].assert_eq(&trace.join("|"));
}
