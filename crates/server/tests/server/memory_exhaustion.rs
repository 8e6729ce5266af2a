//! Some clients use up the memory for statements and results. The requests of the others still get their answers
//! (rule 1): a request for which no memory is left is rejected, but no connection with open requests is closed.

use crate::support::client::{Client, SELECT, encode_request, wire_id};
use crate::support::config::ProgramConfig;
use crate::support::engines::{EngineStandIns, ReceivedLine};
use crate::support::event_bus::EventBusStandIn;
use crate::support::program::Program;
use expect_test::expect;
use pebblevane_server::limits::{Limits, ResourceQuotas};
use std::time::Duration;

/// The message number of the first job that only uses memory.
const FIRST_FILLER: u32 = 1000;
/// The lengths of the statements that use up the memory: smaller ones fill what the larger ones leave.
const FILLER_STATEMENT_BYTES: [usize; 4] = [120_000, 30_000, 8_000, 0];
/// The maximum number of open requests on a connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// The length of a statement that needs a permit.
const LONG_STATEMENT_BYTES: usize = 16_000;
/// How long the client of each job waits.
const TIMEOUT_MS: u32 = 60_000;

/// The program with one engine, and with the least memory for statements and results, 8 MB.
struct SmallBudget {
    engines: EngineStandIns,
    _bus: EventBusStandIn,
    program: Program,
}

impl SmallBudget {
    fn start() -> SmallBudget {
        let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
        let config = ProgramConfig::new(&engines, &bus.address).limits(1.0, 24, 100);
        let program = Program::start_with_debug_log(config);
        SmallBudget { engines, _bus: bus, program }
    }

    /// Waits until the program has read what clients have sent before.
    fn wait_until_read(&self) {
        let mut client = self.program.connect();
        client.request_health(1);
        assert_eq!(client.next_answer(), "1: well true");
    }
}

/// Open jobs that use the memory.
struct Fillers<'a> {
    program: &'a Program,
    /// The clients of these jobs, each with as many as may be open on its connection.
    clients: Vec<Client>,
    jobs: u32,
}

impl Fillers<'_> {
    /// Submits jobs until the smallest one is rejected.
    fn exhaust_memory(program: &Program) -> Fillers<'_> {
        let mut fillers = Fillers { program, clients: Vec::new(), jobs: 0 };
        for statement_bytes in FILLER_STATEMENT_BYTES {
            fillers.submit_until_rejected(statement_bytes);
        }
        fillers
    }

    /// Submits jobs with statements of at least this length until one is rejected.
    fn submit_until_rejected(&mut self, statement_bytes: usize) {
        while self.submit(statement_bytes) {}
    }

    /// Submits a job, and returns whether it is open now.
    fn submit(&mut self, statement_bytes: usize) -> bool {
        if self.jobs as usize == self.clients.len() * MAX_OPEN_REQUESTS {
            self.clients.push(self.program.connect());
        }
        let client = self.clients.last_mut().expect("a client was added");
        let message = FIRST_FILLER + self.jobs;
        client.send_raw(&long_request(message, statement_bytes));
        // A rejection is sent before the answer to the health check.
        client.request_health(0);
        let answer = client.next_answer();
        if answer == "0: well true" {
            self.jobs += 1;
            return true;
        }
        assert_eq!(
            [answer, client.next_answer()],
            [format!("{message}: Busy w=1000"), "0: well true".into()]
        );
        false
    }
}

/// A request with a statement of at least this length.
fn long_request(message: u32, statement_bytes: usize) -> Vec<u8> {
    let statement = format!("{SELECT}{}", " ".repeat(statement_bytes));
    encode_request(message, "lookup", &[("i", &wire_id(message)), ("d", &TIMEOUT_MS.to_string())], &statement)
}

/// A request arrives in pieces while no memory is left for the first ones. The program closed the connection, so that
/// the requests that were open on it got no answer.
#[test]
fn a_request_that_can_not_be_buffered_is_rejected_and_costs_no_other() {
    let setup = SmallBudget::start();
    let SmallBudget { engines, program, .. } = &setup;
    let mut client = program.connect();
    client.submit(1, "lookup", TIMEOUT_MS);
    let in_flight = engines.next_line();
    let fillers = Fillers::exhaust_memory(&setup.program);

    let (request, behind) = (long_request(2, LONG_STATEMENT_BYTES), long_request(3, 0));
    for piece in [&request[..12_000], &request[12_000..14_000]] {
        client.send_raw(piece);
        setup.wait_until_read();
    }
    client.send_raw(&[&request[14_000..], &behind].concat());
    let mut trace = vec![client.next_answer(), client.next_answer()];
    in_flight.reply("HIT", "sheets=1", "");
    trace.push(client.next_answer());
    // Once the memory is free again, the same connection can send a long request.
    drop(fillers);
    let mut message = 4;
    loop {
        let request = long_request(message, LONG_STATEMENT_BYTES);
        client.send_raw(&request[..12_000]);
        setup.wait_until_read();
        client.send_raw(&request[12_000..]);
        client.request_health(0);
        if client.next_answer() == "0: well true" {
            break;
        }
        assert_eq!(client.next_answer(), "0: well true");
        message += 1;
    }
    engines.complete(message);
    trace.push(client.next_answer().replace(&message.to_string(), "later"));

    expect![[r"
        2: Busy w=1000
        3: Busy w=1000
        1: done 
        later: done "]]
    .assert_eq(&trace.join("\n"));
}

/// As above, with the first request of a new connection, one byte of a header at a time. It was read, so it must be
/// answered.
#[test]
fn the_first_request_of_a_connection_that_can_not_be_buffered_is_rejected() {
    let setup = SmallBudget::start();
    let _fillers = Fillers::exhaust_memory(&setup.program);
    let mut client = setup.program.connect();

    // The fields contain values of several kilobytes, so that headers follow after the discarded bytes.
    let long = "x".repeat(4_000);
    let fields = [
        ("a", long.as_str()),
        ("b", &long),
        ("c", &long),
        ("i", &wire_id(1)),
        ("d", &TIMEOUT_MS.to_string()),
    ];
    let request = encode_request(1, "lookup", &fields, &SELECT.repeat(300));
    client.send_raw(&request[..8_000]);
    setup.wait_until_read();
    let last_header = request.len() - SELECT.len() * 300 - 3;
    client.send_raw(&request[8_000..last_header]);
    setup.wait_until_read();
    for at in last_header..last_header + 3 {
        client.send_raw(&request[at..=at]);
        setup.wait_until_read();
    }
    client.send_raw(&request[last_header + 3..]);

    expect!["1: Busy w=1000"].assert_eq(&client.next_answer());
}

/// A stop closes connections on which nothing is open and no message has begun. A message of which the bytes so far were
/// discarded has begun: its rest may be on the way, and its request must be answered.
#[test]
fn a_stop_waits_for_the_rest_of_a_discarded_message() {
    /// After this time a stop closes the connections that it does not need.
    const UNTIL_CONNECTIONS_CLOSE: Duration = Duration::from_millis(1300);
    let setup = SmallBudget::start();
    let mut client = setup.program.connect();
    client.request_health(1);
    assert_eq!(client.next_answer(), "1: well true");
    let _fillers = Fillers::exhaust_memory(&setup.program);

    let request = long_request(2, LONG_STATEMENT_BYTES);
    client.send_raw(&request[..12_000]);
    setup.wait_until_read();
    setup.program.signal("TERM");
    std::thread::sleep(UNTIL_CONNECTIONS_CLOSE);
    client.send_raw(&request[12_000..]);

    expect!["2: Busy w=1000"].assert_eq(&client.next_answer());
}

/// Messages that are discarded arrive slowly, on many connections. If their bytes were kept until the end, that memory
/// would be beyond the budget.
#[test]
fn a_message_that_is_discarded_retains_no_memory() {
    /// The number of these connections.
    const CLIENTS: usize = 500;
    /// The part of each message that arrives.
    const SENT_BYTES: usize = 100_000;
    /// How much the resident memory may grow: 4 KiB for each connection, and what is read at a time.
    const MAX_GROWTH_KB: usize = CLIENTS * 4 + 256;
    let setup = SmallBudget::start();
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| setup.program.connect()).collect();
    let _fillers = Fillers::exhaust_memory(&setup.program);
    let resident_before_kb = setup.program.resident_kb();

    let request = long_request(1, SENT_BYTES);
    for client in &mut clients {
        client.send_raw(&request[..SENT_BYTES]);
        setup.wait_until_read();
    }
    let growth_kb = setup.program.resident_kb().saturating_sub(resident_before_kb);

    println!("{growth_kb} KB");
    assert!(growth_kb <= MAX_GROWTH_KB, "{growth_kb} KB");
}

/// Bytes that are not of the protocol end a connection also if they follow bytes that were discarded.
#[test]
fn malformed_bytes_of_a_discarded_message_close_its_connection() {
    let setup = SmallBudget::start();
    let _fillers = Fillers::exhaust_memory(&setup.program);
    let mut client = setup.program.connect();

    let long = "x".repeat(4_000);
    let request = encode_request(1, "lookup", &[("a", &long), ("b", &long)], "");
    let fields_end = request.len() - 2;
    client.send_raw(&request[..fields_end]);
    setup.wait_until_read();
    client.send_raw(b"\xc1");

    expect!["closed"].assert_eq(&client.next_answer());
}

/// A client reads its answers a little later than they are sent. The program closed its connection when no memory was
/// left for the unread part, although each job had reserved the memory for its result.
#[test]
fn unread_answers_need_no_memory_beyond_that_of_their_jobs() {
    const JOBS: u32 = MAX_OPEN_REQUESTS as u32;
    /// The memory of a job that was answered is free after this time.
    const RELEASE_TIME: Duration = Duration::from_millis(10);
    let setup = SmallBudget::start();
    let SmallBudget { engines, program, .. } = &setup;
    let mut slow = program.connect_with_small_buffers();
    (1..=JOBS).for_each(|message| slow.submit(message, "lookup", TIMEOUT_MS));
    let in_flight: Vec<ReceivedLine> = (0..JOBS).map(|_| engines.next_line()).collect();
    let mut fillers = Fillers::exhaust_memory(&setup.program);

    let row = "x".repeat(4_000);
    for received in &in_flight {
        received.reply("HIT", "sheets=1", &row);
        program.wait_for_log("job answered");
        std::thread::sleep(RELEASE_TIME);
        fillers.submit_until_rejected(0);
    }
    let answers: Vec<String> = (0..JOBS).map(|_| slow.next_answer()).collect();
    let complete = answers.iter().filter(|answer| answer.ends_with(&format!("done {row}\\tb\\tc\\n")));

    assert_eq!(complete.count(), JOBS as usize);
}

/// Hundreds of clients send a large request slowly, all at the same pace, and stop before its end. The buffers must not take
/// much more memory than their bytes, which the budget counts: the other half of the available memory is for open jobs.
#[test]
fn many_large_requests_that_arrive_slowly_leave_memory_for_jobs() {
    const CLIENTS: usize = 330;
    const LIMITS: Limits = Limits { sockets: 1024, memory_mb: 32 };
    const PART_BYTES: usize = 4096;
    const PARTS: usize = 18;
    let (engines, bus) = (EngineStandIns::start(1), EventBusStandIn::start());
    let config = ProgramConfig::new(&engines, &bus.address);
    let program = Program::start_with(config.limits(1.0, LIMITS.memory_mb as u32, LIMITS.sockets as u32));
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| program.connect()).collect();

    let request = long_request(1, PARTS * PART_BYTES);
    for part in request.chunks(PART_BYTES).take(PARTS) {
        for client in &mut clients {
            client.send_raw(part);
        }
        let mut other = program.connect();
        other.request_health(1);
        assert_eq!(other.next_answer(), "1: well true");
    }
    let bytes_for_jobs = ResourceQuotas::from_limits(LIMITS).buffer_bytes;
    let max_kb = LIMITS.memory_mb * 1024 - bytes_for_jobs / 1024;
    let peak_kb = program.peak_resident_kb();
    println!("{peak_kb} KB of {max_kb}");
    assert!(peak_kb < max_kb, "{peak_kb} KB of {max_kb}");
}
