//! `gaparch console`

use super::ctl::Target;
use crate::CommandResult;
use clap::Args;
use std::io::IsTerminal;
use std::process::ExitCode;

#[derive(Debug, Args)]
pub struct Options {
    #[command(flatten)]
    target: Target,
}

pub async fn run(options: Options) -> CommandResult {
    if !std::io::stdout().is_terminal() {
        return Err("console: standard output is not a terminal; use `gaparch ctl` in scripts".into());
    }
    let (address, credentials) = options.target.resolve()?;
    gaparch_console::shell::run(address, credentials).await?;
    Ok(ExitCode::SUCCESS)
}
