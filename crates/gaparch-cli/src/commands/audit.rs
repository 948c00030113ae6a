//! `gaparch audit`: inspects the audit log of a router that is not running.

use crate::CommandResult;
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
    /// Verify an audit log; each missing or altered part is reported, and the exit code is then 1
    Verify {
        /// State directory of a router that is not running
        folder: PathBuf,
    },
}

pub async fn run(options: Options) -> CommandResult {
    let Command::Verify { folder } = options.command;
    if !folder.is_dir() {
        return Err(format!("{}: no such directory", folder.display()).into());
    }
    let chain = verify_record(&folder)?;
    for gap in chain.gaps() {
        println!("gap: {gap}");
    }
    let segments = chain.segments();
    println!("{segments} segments, {}", if chain.gaps().is_empty() { "no gaps" } else { "INCOMPLETE" });
    Ok(if chain.gaps().is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
