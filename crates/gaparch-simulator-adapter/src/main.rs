//! The adapter as a program: lines of the simulator's wire on standard input, replies on standard output.

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
