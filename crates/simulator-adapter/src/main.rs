//! Connects instances of the admission controller to the simulator: reads one batch of events from each line of
//! standard input and writes one reply to each line of standard output. The adapter decodes events into calls of the
//! controller and encodes the returned actions; all decisions are the controller's.

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

/// Writes a reply for each batch until the end of the input. Skips empty lines.
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
