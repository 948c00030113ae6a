//! `gaparch serve FILE`

use crate::CommandResult;
use clap::Args;
use gaparch_config::Config;
use gaparch_net::Clock;
use gaparch_router::shell::{serve_on, Disks};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Interval at which the lag of the task that owns the scheduler is logged.
const LAG_LOG_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Args)]
pub struct Options {
    /// Settings file
    file: PathBuf,
}

/// Prints a line on standard output. The parent process may have closed it, which must not fail the router.
fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

pub async fn run(options: Options) -> CommandResult {
    serve(super::read_settings(&options.file)?, None, Clock::default()).await
}

/// Runs a router until it is told to stop, on its own state directory or on the given disks.
pub async fn serve(config: Config, disks: Option<Disks>, clock: Clock) -> CommandResult {
    let name = config.router.clone();
    let router = serve_on(config, disks, clock).await?;
    for address in router.addresses() {
        print_line(&format!("gaparch: {name} listens on http://{address}"));
    }
    if let Some(socket) = router.operations_socket() {
        print_line(&format!("gaparch: {name} accepts operators at {}", socket.display()));
    }
    if let Some(address) = router.operations_address() {
        print_line(&format!("gaparch: {name} accepts operators at {address}"));
    }
    if let Some(address) = router.fleet_address() {
        print_line(&format!("gaparch: {name} takes part in the fleet at {address}"));
    }
    let mut lag_log = tokio::time::interval(LAG_LOG_INTERVAL);
    let stop = super::shutdown_signal();
    tokio::pin!(stop);
    let why = loop {
        tokio::select! {
            why = &mut stop => break why?,
            () = router.asked_to_stop() => break "stopped by an operator",
            _ = lag_log.tick() => {
                let lag = router.lag();
                let most_us = lag.max.as_micros() as u64;
                if lag.late > 0 {
                    tracing::warn!(most_us, late = lag.late, rounds = lag.rounds, "scheduler task lagged");
                } else {
                    tracing::info!(most_us, rounds = lag.rounds, "scheduler task lag");
                }
            }
        }
    };
    tracing::info!(why, "shutting down; no new requests are accepted");
    if let Some(counts) = router.stop().await {
        print_line(&format!(
            "gaparch: {why}; {} requests: {} served, {} refused, {} failed, {} left",
            counts.requests, counts.served, counts.rejected, counts.failed, counts.client_disconnected
        ));
    }
    Ok(ExitCode::SUCCESS)
}
