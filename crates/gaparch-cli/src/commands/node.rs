//! `gaparch node`

use crate::Outcome;
use clap::Args;
use gaparch_platform_router::RouterError;
use std::path::PathBuf;
use std::process::ExitCode;

/// The configuration can't be used.
const UNUSABLE: u8 = 2;

#[derive(Debug, Args)]
pub struct Options {
    /// The platform's configuration
    #[arg(env = "ROUTER_CONFIG")]
    config: PathBuf,
}

pub async fn run(options: Options) -> Outcome {
    match gaparch_platform_router::run(options.config).await {
        Ok(()) => Ok(ExitCode::SUCCESS),
        Err(error @ (RouterError::Read { .. } | RouterError::Config { .. })) => {
            crate::complain(format_args!("{error}"));
            Ok(ExitCode::from(UNUSABLE))
        }
        Err(error) => Err(error.into()),
    }
}
