//! `gaparch console`

use super::ctl::Target;
use crate::Outcome;
use clap::Args;
use std::io::IsTerminal;
use std::process::ExitCode;

#[derive(Debug, Args)]
pub struct Options {
    #[command(flatten)]
    target: Target,
}

pub async fn run(options: Options) -> Outcome {
    if !std::io::stdout().is_terminal() {
        return Err("console: there is no terminal here; scripts use `gaparch ctl`".into());
    }
    let (place, credentials) = options.target.resolve()?;
    gaparch_console::shell::run(place, credentials).await?;
    Ok(ExitCode::SUCCESS)
}
