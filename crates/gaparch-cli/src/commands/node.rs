//! `gaparch node`

use crate::CommandResult;
use clap::Args;
use gaparch_platform_router::RouterError;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for a configuration that cannot be read or used.
const INVALID_CONFIG: u8 = 2;

#[derive(Debug, Args)]
pub struct Options {
    /// Configuration file of the platform
    #[arg(env = "ROUTER_CONFIG")]
    config: PathBuf,
}

pub async fn run(options: Options) -> CommandResult {
    match gaparch_platform_router::run(options.config).await {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(error @ (RouterError::Read { .. } | RouterError::Config { .. })) => {
            crate::print_error(format_args!("{error}"));
            Ok(ExitCode::from(INVALID_CONFIG))
        }
        Err(error) => Err(error.into()),
    }
}
