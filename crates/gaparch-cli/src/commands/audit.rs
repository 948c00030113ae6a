//! `gaparch audit`: the record of a router that is down.

use crate::Outcome;
use clap::{Args, Subcommand};
use gaparch_router::shell::verify_record;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Debug, Args)]
pub struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Say whether a record is whole; what is missing or altered is named, and the exit code is 1 then
    Verify {
        /// The state folder of a router that is not running
        folder: PathBuf,
    },
}

pub async fn run(options: Options) -> Outcome {
    let Command::Verify { folder } = options.command;
    if !folder.is_dir() {
        return Err(format!("{}: there is no such folder", folder.display()).into());
    }
    let chain = verify_record(&folder)?;
    for gap in chain.gaps() {
        println!("gap: {gap}");
    }
    let segments = chain.segments();
    println!("{segments} segments, {}", if chain.gaps().is_empty() { "no gap" } else { "NOT whole" });
    Ok(if chain.gaps().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
