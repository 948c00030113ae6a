//! The stream of batches: one JSON line in, one reply line out.

use crate::error::StreamError;
use crate::host::Host;
use std::io::{BufRead, Write};

/// Answers the batches of the input, one per line, until its end. Blank lines are skipped.
///
/// # Errors
/// If the input cannot be read, a line cannot be answered, or the output cannot be written.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), StreamError> {
    let mut host = Host::default();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        let read_result = input.read_until(b'\n', &mut line);
        let length = read_result.map_err(|source| StreamError::Input { line: number, source })?;
        if length == 0 {
            break;
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let answer = host.answer(&line);
        let mut reply = answer.map_err(|source| StreamError::Batch { line: number, source })?;
        reply.push('\n');
        output.write_all(reply.as_bytes()).map_err(StreamError::Output)?;
        output.flush().map_err(StreamError::Output)?;
    }
    Ok(())
}
