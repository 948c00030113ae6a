//! `gaparch check FILE`

use crate::Outcome;
use clap::Args;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Debug, Args)]
pub struct Options {
    /// Settings files
    #[arg(required = true)]
    files: Vec<PathBuf>,
}

pub fn run(options: &Options) -> Outcome {
    let mut code = ExitCode::SUCCESS;
    for file in &options.files {
        match super::settings(file) {
            Ok(config) => println!(
                "{}: sound: router {}, {} engines, {} classes, {} tenants",
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
