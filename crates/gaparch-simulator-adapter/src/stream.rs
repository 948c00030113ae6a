//! The stream of batches: one line in, one reply out.

use crate::error::StreamError;
use crate::host::Host;
use std::io::{BufRead, Write};

/// Answers the batches of an input, a line each, until it ends. Empty lines are skipped.
///
/// # Errors
/// When the input can't be read, a line is no batch that can be answered, or the output can't be written.
pub fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), StreamError> {
    let mut host = Host::default();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        let read = input.read_until(b'\n', &mut line);
        let length = read.map_err(|source| StreamError::Input { line: number, source })?;
        if length == 0 {
            break;
        }
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let answered = host.answer(&line);
        let mut reply = answered.map_err(|source| StreamError::Batch { line: number, source })?;
        reply.push('\n');
        output.write_all(reply.as_bytes()).map_err(StreamError::Output)?;
        output.flush().map_err(StreamError::Output)?;
    }
    Ok(())
}
