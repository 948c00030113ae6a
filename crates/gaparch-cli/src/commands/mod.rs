//! The subcommands, each with its own options.

pub mod audit;
pub mod badday;
pub mod check;
pub mod console;
pub mod ctl;
pub mod demo;
pub mod doctor;
pub mod engine;
pub mod init;
pub mod lab;
pub mod list;
pub mod load;
pub mod node;
pub mod serve;
pub mod try_out;

use gaparch_config::Config;
use gaparch_net::{Signal, Signals};
use std::path::Path;

/// Reads a settings file. The error has a line with file, line and element for each problem.
pub fn read_settings(file: &Path) -> Result<Config, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    let mut config = Config::parse(&text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(|p| format!("{name}: {p}")).collect();
        lines.join("\n")
    })?;
    let folder = file.parent().unwrap_or(Path::new(""));
    config.operations = config.operations.map(|operations| operations.resolve_paths(folder));
    config.fleet = config.fleet.map(|fleet| fleet.resolve_paths(folder));
    Ok(config)
}

/// Waits for Ctrl-C or SIGTERM.
pub async fn shutdown_signal() -> std::io::Result<&'static str> {
    let signals = Signals::install(&[Signal::Terminate, Signal::Interrupt])?;
    match signals.next().await {
        Signal::Interrupt => Ok("interrupted"),
        Signal::Terminate | Signal::Hangup => Ok("terminated"),
    }
}
