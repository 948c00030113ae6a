//! `gaparch check FILE`

use crate::CommandResult;
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Debug, Args)]
pub struct Options {
    /// Settings files
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

pub fn run(options: &Options) -> CommandResult {
    let mut code = ExitCode::SUCCESS;
    for file in &options.files {
        match super::read_settings(file) {
            Ok(config) => println!(
                "{}: valid: router {}, {} engines, {} classes, {} tenants",
                file.display(),
                config.router,
                config.engines.len(),
                config.names.classes.len(),
                config.names.tenants.len()
            ),
            Err(problems) => {
                eprintln!("{problems}");
                code = ExitCode::FAILURE;
            }
        }
    }
    Ok(code)
}
