//! Nothing is sent to an engine for a client that has cancelled its job or has disconnected (rule 1).

use crate::support::SingleEngine;
use crate::support::client::{Client, SELECT, encode_request, wire_id};
use crate::support::config::ProgramConfig;
use crate::support::engines::EngineStandIns;
use crate::support::event_bus::{EventBusStandIn, IN_SERVICE, TERMINATING, endpoint};
use crate::support::program::Program;
use expect_test::expect;
use std::time::Duration;

/// Without the cancellation of its dispatch, an engine would run a job for a client that no longer waits. A
/// cancellation affects only its own job: the client's connection stays usable.
#[test]
fn dispatches_are_cancelled_when_their_clients_cancel_or_disconnect() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    // With a shorter dial timeout the engine connection could count as silent and be closed instead of receiving
    // the cancellation.
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address).dial_timeout_ms(5000.0));
    let mut client = program.connect();

    client.submit(1, "lookup", 9000);
    let mut trace = vec![engines.next_line().field(0).to_string()];
    client.cancel(1);
    trace.push(engines.next_line().line);
    let mut other = program.connect();
    other.submit(2, "load", 9000);
    engines.next_line().reply("INFO", "-", "");
    other.disconnect();
    trace.push(engines.next_line().line);
    // The connection on which job 1 was cancelled still works, and job 1 gets no answer.
    client.submit(3, "lookup", 9000);
    engines.next_line().reply("HIT", "sheets=1", "");
    trace.push(client.next_answer());

    expect![[r"
        REQ
        STOP 0000000000000001
        STOP 0000000000000002
        3: done "]]
    .assert_eq(&trace.join("\n"));
}

/// A job and its cancellation, or the end of its client's connection, may be read at the same time, here because the
/// program was suspended. If the job were admitted before all is read, it would be dispatched for a client that no
/// longer waits.
#[test]
fn a_job_cancelled_before_it_was_read_is_never_dispatched() {
    let SingleEngine { engines, bus: _bus, program, mut client } = SingleEngine::start();
    let (mut disconnecting, mut other) = (program.connect(), program.connect());

    for client in [&mut client, &mut disconnecting, &mut other] {
        client.request_health(99);
        assert_eq!(client.next_answer(), "99: well true");
    }
    program.while_suspended(|| {
        (1..20).for_each(|message| client.submit(message, "load", 9000));
        (1..20).for_each(|message| client.cancel(message));
        (20..40).for_each(|message| disconnecting.submit(message, "load", 9000));
        disconnecting.disconnect();
    });
    // Once this is answered, the cancellations that were sent before it have been read.
    client.request_health(98);
    assert_eq!(client.next_answer(), "98: well true");
    other.submit(50, "load", 9000);
    let received = engines.next_line();
    assert_eq!((received.field(0), received.field(1)), ("REQ", &*wire_id(50)));
    received.reply("HIT", "sheets=1", "");
    assert_eq!(other.next_answer(), "50: done ");
    engines.expect_no_line();
}

/// After each refused request the program pauses reading the connection, for longer each time. While a request of the
/// client is open, the pause must stay short: a cancellation has to be read well within 0.1 s, since no dispatch of its
/// job may be sent after that.
#[test]
fn a_cancellation_is_read_in_time_after_refused_requests() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    // With a shorter dial timeout the engine connection could count as silent and be closed instead of receiving
    // the cancellation.
    let config = ProgramConfig::new(&engines, &bus.address).dial_timeout_ms(9000.0);
    let program = Program::start_with(config);
    let (mut client, mut other) = (program.connect(), program.connect());

    client.submit(1, "load", 9000);
    assert_eq!(engines.next_line().field(0), "REQ");
    for message in 2..32 {
        client.send_raw(&encode_request(message, "nonsense", &[], ""));
        assert!(client.next_answer().contains("unknown reservation type"));
    }
    client.cancel(1);
    // The pause is 20 ms while a request is open, and would be 100 ms otherwise.
    std::thread::sleep(Duration::from_millis(60));
    other.submit(40, "load", 9000);
    let order: Vec<String> = (0..2).map(|_| engines.next_line().field(0).to_string()).collect();

    assert_eq!(order, ["STOP", "REQ"]);
}

/// Jobs wait for an engine. While the program is suspended, their clients cancel or disconnect, and an engine is
/// listed. The program has many other requests to read first, so it places the jobs before it has read the
/// cancellations and disconnects. Each dispatch needs a peek at its client's unread bytes, or it would be sent for a
/// client that no longer waits.
#[test]
fn a_job_is_not_dispatched_while_its_cancellation_or_disconnect_is_unread() {
    const JOBS: u32 = 24;
    /// Clients whose health checks the program has to read before the cancellations.
    const BUSY_CLIENTS: usize = 40;
    const HEALTH_CHECKS_PER_CLIENT: usize = 4000;
    /// How old the cancellations are when the engine is listed: more than the 0.1 s after which no dispatch may be
    /// sent.
    const CANCELLATION_AGE: Duration = Duration::from_millis(150);
    let (engines, mut bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let draining = endpoint("e0", &engines.addresses[0], TERMINATING);
    let config = ProgramConfig::new(&engines, &bus.address).known_endpoints(&[draining]);
    let program = Program::start_with(config);
    assert_eq!(bus.next_subscription(), "from 1");
    bus.send_update(2, &[endpoint("e1", "127.0.0.1:1", TERMINATING)]);
    let mut busy_clients: Vec<Client> = (0..BUSY_CLIENTS).map(|_| program.connect()).collect();
    let mut clients: Vec<Client> = (0..JOBS).map(|_| program.connect()).collect();
    for (message, client) in (1..).zip(&mut clients) {
        client.submit(message, "load", 9000);
        client.request_health(99);
        assert_eq!(client.next_answer(), "99: well true");
    }
    program.while_suspended(|| {
        for client in &mut busy_clients {
            let requests = b"\x94\x00\x01\xa6isWell\x91\x80".repeat(HEALTH_CHECKS_PER_CLIENT);
            client.send_raw(&requests);
        }
        for (message, client) in (1..).zip(&mut clients) {
            if message % 2 == 0 { client.disconnect() } else { client.cancel(message) }
        }
        std::thread::sleep(CANCELLATION_AGE);
        bus.send_update(3, &[endpoint("e0", &engines.addresses[0], IN_SERVICE)]);
    });
    program.wait_for_log("endpoint list changed event=3 ");
    let mut sent = 0;
    while let Some(received) = engines.next_line_if_soon() {
        sent += u32::from(received.field(0) == "REQ");
    }

    expect!["0 of 24 sent"].assert_eq(&format!("{sent} of {JOBS} sent"));
}

/// A client submits more than the system's buffers hold and disconnects, while the program is suspended. The end of its
/// connection is visible only behind all that it has sent, so none of its jobs may be admitted before that is read.
#[test]
fn a_disconnect_behind_many_unread_requests_is_noticed_before_any_is_dispatched() {
    const CLIENTS: u32 = 8;
    const JOBS_PER_CLIENT: u32 = 48;
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address));
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| program.connect()).collect();
    for client in &mut clients {
        client.request_health(999);
        assert_eq!(client.next_answer(), "999: well true");
    }
    let statement = format!("{SELECT} /* {} */", "x".repeat(6000));
    program.while_suspended(|| {
        for (first, client) in (1..).step_by(JOBS_PER_CLIENT as usize).zip(&mut clients) {
            for message in first..first + JOBS_PER_CLIENT {
                let fields = [("i", &*wire_id(message)), ("d", "9000")];
                client.send_raw(&encode_request(message, "load", &fields, &statement));
            }
            client.disconnect();
        }
    });

    engines.expect_no_line();
}
