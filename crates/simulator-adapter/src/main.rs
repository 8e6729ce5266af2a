//! Hosts many instances of the decision module on the simulator's wire: a batch of events on each line of
//! standard input, one reply on each line of standard output. It decodes events into calls and encodes what
//! the calls return; it decides nothing.

mod decode;
mod encode;
mod host;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("pebblevane-wirehost: {trouble}");
            ExitCode::FAILURE
        }
    }
}

fn serve(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut line = String::new();
    for number in 1u64.. {
        line.clear();
        let read = input.read_line(&mut line).map_err(|e| format!("line {number}: cannot read: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        if line.trim().is_empty() {
            continue;
        }
        let mut reply = host.batch(&line).map_err(|e| format!("line {number}: {e}"))?;
        reply.push('\n');
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("line {number}: cannot write the reply: {e}"))?;
    }
    Ok(())
}
