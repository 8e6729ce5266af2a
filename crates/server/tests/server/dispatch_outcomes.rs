//! How dispatches end, and what each end proves: a job that must not run twice is retried only if it cannot have run
//! (rule 2).

use crate::support::SingleEngine;
use crate::support::config::ProgramConfig;
use crate::support::engines::{EngineStandIns, ReceivedLine, UnacceptingEngine};
use crate::support::event_bus::{EventBusStandIn, IN_SERVICE, TERMINATING, endpoint};
use crate::support::program::Program;
use expect_test::expect;
use std::fmt::Write as _;
use std::time::Duration;

/// An engine ends dispatches in different ways. A job that may be retried is sent again unless its deadline has passed;
/// one that must not run twice is sent again only if the end proves that it did not run.
#[test]
fn a_non_idempotent_job_is_retried_only_if_it_cannot_have_run() {
    /// Ends a dispatch in the way that `what` names.
    fn end(what: &str, received: &ReceivedLine) {
        match what {
            "overloaded" => received.reply("SHED", "-", ""),
            "expired" => received.reply("LATE", "-", ""),
            "error" => received.reply("FAULT", "-", ""),
            "reset" => received.close_connection(),
            "garbage" => received.send_raw(b"what?\r\n"),
            _ => {
                received.reply("HIT", "sheets=2", "0");
                received.close_connection();
            }
        }
    }
    // Every dispatch of a job ends in the same way until the job is answered. A job that an overloaded engine has
    // rejected is retried every 500 ms, so no retry coincides with the job's timeout of 1250 ms.
    let run = |what: &'static str, class: &'static str| {
        move || {
            let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();
            client.submit(1, class, 1250);
            let answer = std::thread::spawn(move || client.next_answer());
            let mut sends = 0;
            while !answer.is_finished() {
                if let Some(received) =
                    engines.next_line_if_soon().filter(|received| received.field(0) == "REQ")
                {
                    sends += 1;
                    end(what, &received);
                }
            }
            let again = if sends > 1 { "sent again" } else { "sent once" };
            format!("{what} {class}: {again}, {}\n", answer.join().unwrap())
        }
    };
    let ends = ["overloaded", "expired", "error", "reset", "garbage", "first page only"];
    let cases = ends.iter().flat_map(|what| [(what, "lookup"), (what, "load")]);
    let runs: Vec<_> = cases.map(|(what, class)| std::thread::spawn(run(what, class))).collect();
    let trace: String = runs.into_iter().map(|run| run.join().unwrap()).collect();

    expect![[r"
        overloaded lookup: sent again, 1: Busy w=1000
        overloaded load: sent again, 1: Busy w=1000
        expired lookup: sent once, 1: Busy w=1000
        expired load: sent once, 1: Busy w=1000
        error lookup: sent again, 1: Busy w=1000
        error load: sent once, 1: Failed why=cancelled
        reset lookup: sent again, 1: Busy w=1000
        reset load: sent once, 1: Failed why=cancelled
        garbage lookup: sent again, 1: Busy w=1000
        garbage load: sent once, 1: Failed why=cancelled
        first page only lookup: sent again, 1: Busy w=1000
        first page only load: sent once, 1: Failed why=cancelled
    "]]
    .assert_eq(&trace);
}

/// Without an established connection nothing can have run, so even a job that must not run twice is sent to another
/// engine.
#[test]
fn a_non_idempotent_job_is_retried_after_a_refused_connection() {
    let (mut engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    engines.add_unreachable();
    let program = Program::start(&engines, &bus);
    let mut client = program.connect();

    for message in 1..=8 {
        client.submit(message, "load", 9000);
        engines.next_line().reply("HIT", "sheets=1", "");
        assert_eq!(client.next_answer(), format!("{message}: done "));
    }
}

/// An engine does not answer a dispatch before its deadline. No later dispatch may use its connection, on which a late
/// answer could still arrive; dispatches on other connections continue.
#[test]
fn an_unanswered_dispatch_ends_at_its_deadline_and_its_connection_is_not_reused() {
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    // A job waits an eighth of this time for a connection of its own, and then shares one.
    let program = Program::start_with(ProgramConfig::new(&engines, &bus.address).dial_timeout_ms(1000.0));
    let mut client = program.connect();

    client.submit(1, "load", 9000);
    let other = engines.next_line();
    client.submit(2, "load", 1500);
    let silent = engines.next_line();
    let mut trace = vec![client.next_answer()];
    client.submit(3, "load", 9000);
    let third = engines.next_line();
    trace.push(format!(
        "shares the unanswered connection: {}, the other one: {}",
        third.shares_connection_with(&silent),
        third.shares_connection_with(&other)
    ));
    silent.reply("HIT", "sheets=1", "too late");
    third.reply("HIT", "sheets=1", "later");
    trace.push(client.next_answer());
    other.reply("HIT", "sheets=1", "in time");
    trace.push(client.next_answer());

    expect![[r"
        2: Failed why=cancelled
        shares the unanswered connection: false, the other one: false
        3: done later\tb\tc\n
        1: done in time\tb\tc\n"]]
    .assert_eq(&trace.join("\n"));
}

/// Connections to an engine are reset repeatedly, but it accepts new ones. Resets alone must not eject it: it is the
/// only engine, and jobs would be rejected.
#[test]
fn connection_resets_do_not_eject_an_engine_that_accepts_new_ones() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    for message in 1..=12 {
        client.submit(message, "lookup", 9000);
        engines.next_line().close_connection();
        engines.next_line().reply("HIT", "sheets=1", "");
        assert_eq!(client.next_answer(), format!("{message}: done "));
    }
    client.submit(20, "lookup", 9000);
    for _ in 0..3 {
        engines.next_line().close_connection();
    }
    engines.next_line().reply("HIT", "sheets=1", "");

    assert_eq!(client.next_answer(), "20: done ");
}

/// On the connection of the earlier attempt, a late answer to that attempt could be mistaken for the answer to the
/// retry.
#[test]
fn a_retry_uses_another_connection() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    client.submit(1, "lookup", 9000);
    let first = engines.next_line();
    first.reply("FAULT", "-", "");
    let second = engines.next_line();
    first.reply("HIT", "sheets=1", "late and wrong");
    second.reply("HIT", "sheets=1", "right");

    expect![[r"1: done right\tb\tc\n"]].assert_eq(&client.next_answer());
}

/// A job with an idempotency key may have run and is retried, but the connection for the retry is established only
/// after a second, when the deduplication window of 600 ms has passed: the job could run a second time. The retry must
/// not be sent then. The job is rejected at the end of the window, and its client may submit it again.
#[test]
fn a_retry_is_not_sent_once_its_deduplication_window_has_closed() {
    let (engines, mut bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let config =
        ProgramConfig::new(&engines, &bus.address).idempotency_key_for_loads(600.0).dial_timeout_ms(9000.0);
    let mut program = Program::start_with(config);
    let mut client = program.connect();
    let unaccepting = UnacceptingEngine::start();

    client.submit(1, "load", 20_000);
    let first = engines.next_line();
    let endpoints = vec![
        endpoint("e0", &engines.addresses[0], TERMINATING),
        endpoint("e1", &unaccepting.address, IN_SERVICE),
    ];
    bus.send_update(2, &endpoints);
    program.wait_for_log("endpoint list changed event=2 ");
    first.close_connection();
    // The window passes before the connection for the retry is established.
    std::thread::sleep(Duration::from_millis(700));
    let mut late = unaccepting.accept();
    program.signal("TERM");
    let answer = client.next_answer();
    program.wait_for_exit();
    let mut read = Vec::new();
    let _ = std::io::Read::read_to_end(&mut late, &mut read);

    expect!["1: Busy w=1000, read there: "]
        .assert_eq(&format!("{answer}, read there: {}", String::from_utf8_lossy(&read)));
}

/// An engine that has reported progress has begun to run the job. A rejection after that does not prove that nothing
/// ran, so the program must not reject the job: its client would submit it again.
#[test]
fn a_rejection_by_the_engine_after_progress_does_not_prove_that_nothing_ran() {
    let SingleEngine { engines, bus: _bus, program: _program, mut client } = SingleEngine::start();

    let mut trace = String::new();
    let rejections = [("LATE", "advance,val=0.4"), ("SHED", "advance,val=0.4"), ("SHED", "disk,val=20")];
    for (message, (word, note)) in (1..).zip(rejections) {
        client.submit(message, "load", 9000);
        let received = engines.next_line();
        received.reply("INFO", &format!("tell={note}"), "");
        received.reply(word, "-", "");
        writeln!(trace, "{word} after {note}: {}", client.next_answer()).unwrap();
    }
    // A job that waits for memory has not begun to run.
    client.submit(4, "load", 9000);
    let received = engines.next_line();
    received.reply("INFO", "tell=stall,val=1", "");
    received.reply("LATE", "-", "");
    writeln!(trace, "LATE after stall: {}", client.next_answer()).unwrap();

    expect![[r"
        LATE after advance,val=0.4: 1: Failed why=cancelled
        SHED after advance,val=0.4: 2: Failed why=cancelled
        SHED after disk,val=20: 3: Failed why=cancelled
        LATE after stall: 4: Busy w=1000
    "]]
    .assert_eq(&trace);
}
