//! A client that does not read its answers.

use super::client::{Client, SELECT, encode_request, wire_id};
use super::engines::EngineStandIns;
use super::program::Program;

/// The number of answers that are left unread: more than the system buffers for a connection with small buffers.
pub const UNREAD_ANSWERS: u32 = 100;
/// How many of these jobs are open at the same time: more than one, so that all are answered quickly even on a busy
/// machine: a client that has not read its answers for two seconds is disconnected.
const JOBS_OPEN_AT_A_TIME: u32 = 4;
/// The message number of the first job.
const FIRST_MESSAGE: u32 = 100;
const END_MESSAGE: u32 = FIRST_MESSAGE + UNREAD_ANSWERS;

/// Submits and completes [`UNREAD_ANSWERS`] jobs of this client with these rows. The client reads none of the answers.
pub fn leave_answers_unread(engines: &EngineStandIns, program: &Program, slow: &mut Client, rows: &str) {
    for first in (FIRST_MESSAGE..END_MESSAGE).step_by(JOBS_OPEN_AT_A_TIME as usize) {
        let messages = first..first + JOBS_OPEN_AT_A_TIME;
        messages.clone().for_each(|message| slow.submit(message, "lookup", 20_000));
        messages.for_each(|_| engines.next_line().reply("HIT", "sheets=1", rows));
    }
    wait_until_answered(engines, program, END_MESSAGE - JOBS_OPEN_AT_A_TIME..END_MESSAGE);
}

/// Waits until the program has answered the jobs with these message numbers. It rejects the id of an open request, so
/// another client submits jobs with the same ids until they reach an engine.
fn wait_until_answered(engines: &EngineStandIns, program: &Program, jobs: std::ops::Range<u32>) {
    let mut other = program.connect();
    let mut message = 0;
    for job in jobs {
        let id = wire_id(job);
        loop {
            message += 1;
            other.send_raw(&encode_request(message, "lookup", &[("i", &id), ("d", "20000")], SELECT));
            if let Some(received) = engines.next_line_if_soon() {
                received.reply("HIT", "sheets=1", "");
                break;
            }
        }
        // The answers before it are those of the rejected attempts.
        while !other.next_answer().ends_with("done ") {}
    }
}
