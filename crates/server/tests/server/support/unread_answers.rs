//! A client that does not read its answers.

use super::client::{Client, SELECT, encode_request, wire_id};
use super::engines::EngineStandIns;
use super::program::Program;

/// More answers than the system buffers for a connection.
pub const UNREAD_ANSWERS: u32 = 100;
const FIRST_MESSAGE: u32 = 100;
const LAST_MESSAGE: u32 = FIRST_MESSAGE + UNREAD_ANSWERS - 1;

/// Has [`UNREAD_ANSWERS`] jobs of this client completed with these rows; it reads none of the answers.
pub fn leave_answers_unread(engines: &EngineStandIns, program: &Program, slow: &mut Client, rows: &str) {
    for message in FIRST_MESSAGE..=LAST_MESSAGE {
        slow.submit(message, "lookup", 20_000);
        engines.next_line().reply("HIT", "-", rows);
    }
    // The last job has been answered once another client may submit one under its id.
    let id = wire_id(LAST_MESSAGE);
    let mut other = program.connect();
    for message in 1.. {
        other.send_raw(&encode_request(message, "lookup", &[("i", &id), ("d", "20000")], SELECT));
        if let Some(received) = engines.next_line_if_soon() {
            received.reply("HIT", "-", "");
            break;
        }
    }
    while !other.next_answer().ends_with("done ") {}
}
