//! `gaparch engine`

use crate::CommandResult;
use clap::{Args, ValueEnum};
use gaparch_engine::observe::Unobserved;
use gaparch_engine::server::{start, EngineOptions};
use gaparch_engine::{EngineSpec, Script};
use gaparch_net::Clock;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Role {
    Read,
    Write,
    Both,
}

#[derive(Debug, Args)]
pub struct Options {
    /// Name of the engine in the endpoint list
    #[arg(long)]
    name: String,
    /// Address to listen on; port 0 selects a free port
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// Role of the engine
    #[arg(long, value_enum)]
    role: Role,
    #[arg(long, default_value = "")]
    zone: String,
    #[arg(long, default_value = "")]
    rack: String,
    /// Capacity of the KV cache in tokens
    #[arg(long)]
    memory: Option<u64>,
    /// Prompt tokens processed per second
    #[arg(long)]
    read_rate: Option<f64>,
    /// Requests processed at the same time
    #[arg(long)]
    slots: Option<usize>,
    /// Duration of a step in milliseconds; each step adds a token to every answer
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    step_ms: Option<u64>,
    /// Start warmed up, as if the engine had been running for a long time
    #[arg(long)]
    warm: bool,
    /// File of timed faults, one per line, such as `2.5s slow 4`
    #[arg(long)]
    script: Option<PathBuf>,
}

pub async fn run(options: Options) -> CommandResult {
    let script = match &options.script {
        Some(file) => {
            let with_file = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
            let text = std::fs::read_to_string(file).map_err(|e| with_file(&e))?;
            text.parse::<Script>().map_err(|e| with_file(&e))?
        }
        None => Script::default(),
    };
    let (name, zone, rack) = (options.name.as_str(), options.zone.as_str(), options.rack.as_str());
    let spec = match options.role {
        Role::Read => EngineSpec::reader(name, zone, rack),
        Role::Write => EngineSpec::writer(name, zone, rack),
        Role::Both => EngineSpec::mixed(name, zone, rack),
    };
    let spec = EngineSpec {
        memory: options.memory.unwrap_or(spec.memory),
        slots: options.slots.unwrap_or(spec.slots),
        step: options.step_ms.map_or(spec.step, |ms| ms * 1_000_000),
        step_per_answer: if options.step_ms.is_some() { 0 } else { spec.step_per_answer },
        read_rate: options.read_rate.unwrap_or(spec.read_rate).max(1.0),
        ..spec
    };
    let clock = Clock::default();
    let started_at = clock.now();
    let observer = Arc::new(Unobserved);
    let engine =
        start(EngineOptions { spec, address: options.address, clock, observer, warm: options.warm }).await?;
    println!("gaparch: engine {} listens on {}", options.name, engine.address());
    let faults = async {
        for (at, fault) in script.0 {
            tokio::time::sleep_until(clock.instant(started_at + at).into()).await;
            tracing::warn!(?fault, "fault command applied");
            if !engine.fault(fault).await {
                return;
            }
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        why = super::shutdown_signal() => tracing::info!(why = why?, "shutting down"),
        () = faults => {}
    }
    Ok(ExitCode::SUCCESS)
}
