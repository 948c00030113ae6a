//! Speaks the simulator's wire on standard input and output. It hosts one instance of the decision
//! module for each `who`; the instances share nothing. Decides nothing itself.

mod host;
mod wire;

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("gaparch-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut host = host::Host::default();
    let mut line = Vec::new();
    let mut reply = String::new();
    for number in 1u64.. {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            break;
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        reply.clear();
        host.batch(&line, &mut reply).map_err(|e| format!("line {number}: {e}"))?;
        reply.push('\n');
        output.write_all(reply.as_bytes()).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
    Ok(())
}
