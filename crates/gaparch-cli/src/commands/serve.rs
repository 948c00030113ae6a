//! `gaparch serve FILE`

use crate::Outcome;
use clap::Args;
use gaparch_config::Config;
use gaparch_net::Clock;
use gaparch_router::shell::{serve_on, Disks};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Between two looks at the owner's lag.
const LOOK_EVERY: Duration = Duration::from_secs(10);

#[derive(Debug, Args)]
pub struct Options {
    /// The settings file
    file: PathBuf,
}

/// A line on standard output; whoever started the router may have closed it since, which is no reason to end badly.
fn say(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

pub async fn run(options: Options) -> Outcome {
    serve(super::settings(&options.file)?, None, Clock::default()).await
}

/// Runs a router until it is told to end, on its own disks or on others.
pub async fn serve(config: Config, disks: Option<Disks>, clock: Clock) -> Outcome {
    let name = config.router.clone();
    let router = serve_on(config, disks, clock).await?;
    for address in router.addresses() {
        say(&format!("gaparch: {name} listens at http://{address}"));
    }
    if let Some(socket) = router.operations_socket() {
        say(&format!("gaparch: {name} is operated at {}", socket.display()));
    }
    if let Some(address) = router.operations_address() {
        say(&format!("gaparch: {name} is operated at {address}"));
    }
    if let Some(address) = router.fleet_address() {
        say(&format!("gaparch: {name} is one of a fleet, at {address}"));
    }
    let mut looks = tokio::time::interval(LOOK_EVERY);
    let stop = super::asked_to_stop();
    tokio::pin!(stop);
    let why = loop {
        tokio::select! {
            why = &mut stop => break why?,
            () = router.asked_to_stop() => break "stopped by an operator",
            _ = looks.tick() => {
                let lag = router.lag();
                if lag.late > 0 {
                    tracing::warn!(most_us = lag.max.as_micros() as u64, late = lag.late, rounds = lag.rounds, "owner late");
                } else {
                    tracing::info!(most_us = lag.max.as_micros() as u64, rounds = lag.rounds, "owner lag");
                }
            }
        }
    };
    tracing::info!(why, "ending: nothing new is taken");
    if let Some(counts) = router.stop().await {
        say(&format!(
            "gaparch: {why}; {} requests: {} served, {} refused, {} failed, {} left",
            counts.requests, counts.served, counts.rejected, counts.failed, counts.client_disconnected
        ));
    }
    Ok(ExitCode::SUCCESS)
}
