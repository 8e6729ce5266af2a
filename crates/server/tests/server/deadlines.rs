//! Rule 1: the time within which a request is answered counts from its arrival.

use crate::support::SingleEngine;
use expect_test::expect;
use std::time::{Duration, Instant};

/// A program that was suspended finds requests whose timeout has run on: the deadline that it gives an engine is no later
/// than the client's, and a request whose timeout is over is not dispatched at all.
#[test]
fn time_spent_unread_counts_against_the_clients_timeout() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let mut other = program.connect();

    for client in [&mut client, &mut other] {
        client.request_health(1);
        assert_eq!(client.next_answer(), "1: well true");
    }
    let (asked, mut fresh) = program.while_suspended(|| {
        let asked = Instant::now();
        client.submit(2, "lookup", 700);
        other.submit(3, "load", 5000);
        let mut fresh = program.connect();
        fresh.submit(4, "lookup", 700);
        std::thread::sleep(Duration::from_millis(900));
        (asked, fresh)
    });
    let seen = engines.next_line();
    let limit = seen.line.split_once("limit=").unwrap().1;
    let limit: u128 = limit[..limit.find([',', ' ']).unwrap()].parse().unwrap();
    let left = 5000 - asked.elapsed().as_millis();
    let told = if limit <= left + 150 { "within" } else { "past" };
    let answers = [client.next_answer(), fresh.next_answer()].join("; ");
    engines.expect_no_line();
    let trace = format!("{} {} {told} what is left; {answers}", seen.field(0), seen.field(1));

    expect!["REQ 0000000000000003 within what is left; 2: Busy w=1000; 4: Busy w=1000"].assert_eq(&trace);
}

/// A request's timeout counts from its arrival, however long its connection was idle before, used or not.
#[test]
fn idle_time_before_a_request_does_not_count_against_its_timeout() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let mut fresh = program.connect();

    client.request_health(1);
    let mut trace = vec![client.next_answer()];
    std::thread::sleep(Duration::from_millis(3200));
    for (message, client) in (2..).zip([&mut client, &mut fresh]) {
        client.submit(message, "lookup", 3000);
        engines.next_line().reply("HIT", "-", "");
        trace.push(client.next_answer());
    }

    expect!["1: well true|2: done |3: done "].assert_eq(&trace.join("|"));
}
