//! The adapter as a program: reads batches from standard input, and writes replies to standard output.

use gaparch_simulator_adapter::stream;
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = std::io::stdin().lock();
    let output = std::io::BufWriter::new(std::io::stdout().lock());
    match stream::run(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gaparch-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
