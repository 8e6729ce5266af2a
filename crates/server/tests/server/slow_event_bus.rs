//! An event bus that is slow to answer. It must be followed all the same, or the program works on with an old endpoint
//! list for good: jobs go to engines that drain (rule 3), and retries to engines that do not share idempotency keys
//! (rule 2).

use crate::support::config::ProgramConfig;
use crate::support::engines::EngineStandIns;
use crate::support::event_bus::{IN_SERVICE, endpoint, update_event};
use crate::support::program::Program;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// What is in the event bus counts as known to the program after this time.
const KNOWN_WITHIN: Duration = Duration::from_secs(7);
/// Follows the event: the bus has no further ones.
const HEARTBEAT: &[u8] = b"{\"offset\":2}\n";

/// Listens as an event bus that sends `line` on each connection in this many parts, with a pause before each, and
/// heartbeats after that.
fn listen(address: &str, line: String, parts: usize, pause: Duration) -> String {
    let listener = TcpListener::bind(address).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let line = line.clone();
            std::thread::spawn(move || send_slowly(stream, line.as_bytes(), parts, pause));
        }
    });
    address
}

fn send_slowly(mut stream: TcpStream, line: &[u8], parts: usize, pause: Duration) {
    for part in line.chunks(line.len().div_ceil(parts)) {
        std::thread::sleep(pause);
        if stream.write_all(part).is_err() {
            return;
        }
    }
    while stream.write_all(HEARTBEAT).is_ok() {
        std::thread::sleep(Duration::from_secs(1));
    }
}

fn event_line(name: &str) -> String {
    format!("{}\n", update_event(2, &[endpoint(name, "127.0.0.1:1", IN_SERVICE)]))
}

/// The bus needs 2.5 s for the first line of each connection. A program that waits for less and then makes a new
/// connection in place of the silent one never reads anything. The same holds after a reload.
#[test]
fn an_event_bus_that_is_slow_to_send_its_first_line_is_followed() {
    let engines = EngineStandIns::start(1);
    let slow = listen("127.0.0.1:0", event_line("e1"), 1, Duration::from_millis(2500));
    let config = ProgramConfig::new(&engines, &slow);
    let started_at = Instant::now();
    let program = Program::start_with(config.clone());
    program.wait_for_log("endpoint list changed event=2 ");
    assert!(started_at.elapsed() < KNOWN_WITHIN, "{:?}", started_at.elapsed());

    let third = format!("{}\n", update_event(3, &[endpoint("e2", "127.0.0.1:1", IN_SERVICE)]));
    let other = listen("127.0.0.1:0", third, 1, Duration::from_millis(2500));
    std::fs::write(&program.config_file, config.set("/bus", other.into()).text()).unwrap();
    program.signal("HUP");
    let reloaded_at = Instant::now();
    program.wait_for_log("endpoint list changed event=3 ");
    assert!(reloaded_at.elapsed() < KNOWN_WITHIN, "{:?}", reloaded_at.elapsed());
}

/// A long list arrives in parts, over more than the time in which a line has to be complete. Each new connection
/// receives it as slowly, so only one that stays open while its bytes arrive ever has the complete line.
#[test]
fn an_endpoint_list_that_arrives_slowly_is_read() {
    let engines = EngineStandIns::start(1);
    let bus = listen("127.0.0.1:0", event_line(&"e".repeat(2000)), 8, Duration::from_millis(500));
    let started_at = Instant::now();
    let program = Program::start_with(ProgramConfig::new(&engines, &bus));

    program.wait_for_log("endpoint list changed event=2 ");
    assert!(started_at.elapsed() < KNOWN_WITHIN, "{:?}", started_at.elapsed());
}

/// The bus sends a part of a long line on each connection and then nothing more. The parts on all connections together
/// take no more memory than one line may, or several silent connections would use up the memory limit.
#[test]
fn incomplete_lines_of_all_connections_share_the_memory_of_one() {
    /// A sixteenth of the memory limit, the maximum length of a line.
    const MAX_LINE_BYTES: usize = 24 * 1024 * 1024 / 16;
    let engines = EngineStandIns::start(1);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        let part = vec![b' '; MAX_LINE_BYTES * 2 / 3];
        let mut open = Vec::new();
        for mut stream in listener.incoming().flatten() {
            let _ = stream.write_all(&part);
            open.push(stream);
        }
    });
    let program = Program::start_with(ProgramConfig::new(&engines, &address).limits(1.0, 24, 100));

    program.wait_for_log(&format!("line longer than {MAX_LINE_BYTES} bytes"));
}

/// While the bus stays silent, the program makes further connections. Their number is bounded, and the oldest one stays
/// open: it is the one that a very slow bus answers first.
#[test]
fn a_silent_event_bus_is_sent_a_bounded_number_of_connections() {
    const MAX_CONNECTIONS: usize = 4;
    let engines = EngineStandIns::start(1);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let _program =
        Program::start_with(ProgramConfig::new(&engines, &silent.local_addr().unwrap().to_string()));

    let mut accepted: Vec<TcpStream> = (0..=MAX_CONNECTIONS).map(|_| silent.accept().unwrap().0).collect();
    let open: Vec<bool> = accepted.iter_mut().map(is_open).collect();

    assert_eq!(open, [true, false, true, true, true]);
}

/// Whether the program has not closed its connection. It closes one before it makes the next.
fn is_open(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let mut buffer = [0; 64];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        }
    }
}
