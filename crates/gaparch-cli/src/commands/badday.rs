//! `gaparch badday`

use crate::CommandResult;
use clap::Args;
use gaparch_testbed::badday::{play, Day};
use std::process::ExitCode;
use std::time::Duration;

#[derive(Debug, Args)]
pub struct Options {
    /// First seed; it determines which engines have faults and what clients do
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of days, each with the next seed
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    days: u64,
    /// Length of a day in seconds
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    /// Write the recorded traffic to this file, one entry per line; with several days that of the last one
    #[arg(long)]
    record: Option<std::path::PathBuf>,
    /// Requests per second, over all routers
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
}

pub async fn run(options: Options) -> CommandResult {
    if !(1.0..=1000.0).contains(&options.rate) {
        return Err("--rate: must be from 1 to 1000 requests per second".into());
    }
    let mut code = ExitCode::SUCCESS;
    for seed in options.seed..options.seed + options.days {
        let length = Duration::from_secs(options.seconds);
        let report = play(Day { seed, length, rate: options.rate }).await?;
        println!("day with seed {seed}, {} s, {} requests per second", options.seconds, options.rate);
        println!("{report}");
        if let Some(file) = &options.record {
            let lines: String = report.entries.iter().map(|e| format!("{} {:?}\n", e.at, e.what)).collect();
            std::fs::write(file, lines).map_err(|e| format!("{}: {e}", file.display()))?;
        }
        if !report.verdict.holds() || report.overdue > 0 {
            code = ExitCode::FAILURE;
        }
    }
    Ok(code)
}
