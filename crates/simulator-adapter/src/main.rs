//! Hosts many instances of the admission controller on the simulator's wire: a batch of events on each line of
//! standard input, one reply on each line of standard output. It decodes events into calls of the controller and
//! encodes the actions that it returns; it decides nothing.

mod codec;
mod error;
mod host;
mod instance;

use error::ServeError;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pebblevane-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers each line of the input until its end. Empty lines are skipped.
fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), ServeError> {
    let mut host = host::Host::default();
    let mut batch = String::new();
    for line in 1u64.. {
        batch.clear();
        let read = input.read_line(&mut batch).map_err(|source| ServeError::Read { line, source })?;
        if read == 0 {
            return Ok(());
        }
        if batch.trim().is_empty() {
            continue;
        }
        let mut reply = host.handle_batch(&batch).map_err(|source| ServeError::Batch { line, source })?;
        reply.push('\n');
        write_reply(output, &reply).map_err(|source| ServeError::Write { line, source })?;
    }
    Ok(())
}

fn write_reply(output: &mut impl Write, reply: &str) -> io::Result<()> {
    output.write_all(reply.as_bytes())?;
    output.flush()
}
