//! `gaparch engine`

use crate::Outcome;
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
    /// Its name in the list
    #[arg(long)]
    name: String,
    /// Where it listens; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
    /// What it does
    #[arg(long, value_enum)]
    role: Role,
    #[arg(long, default_value = "")]
    zone: String,
    #[arg(long, default_value = "")]
    rack: String,
    /// Tokens of memory
    #[arg(long)]
    memory: Option<u64>,
    /// Prompt tokens read a second
    #[arg(long)]
    read_rate: Option<f64>,
    /// Requests in work at once
    #[arg(long)]
    slots: Option<usize>,
    /// Milliseconds of a step of work, in which each answer grows by a token
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..=60_000))]
    step_ms: Option<u64>,
    /// Begin warm, as if it had been running for long
    #[arg(long)]
    warm: bool,
    /// Faults to switch, one a line, such as `2.5s slow 4`
    #[arg(long)]
    script: Option<PathBuf>,
}

pub async fn run(options: Options) -> Outcome {
    let script = match &options.script {
        Some(file) => {
            let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
            let text = std::fs::read_to_string(file).map_err(|e| wrong(&e))?;
            text.parse::<Script>().map_err(|e| wrong(&e))?
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
    let began = clock.now();
    let observer = Arc::new(Unobserved);
    let engine =
        start(EngineOptions { spec, address: options.address, clock, observer, warm: options.warm }).await?;
    println!("gaparch: engine {} listens at {}", options.name, engine.address());
    let faults = async {
        for (at, fault) in script.0 {
            tokio::time::sleep_until(clock.instant(began + at).into()).await;
            tracing::warn!(?fault, "switched");
            if !engine.fault(fault).await {
                return;
            }
        }
        std::future::pending::<()>().await;
    };
    tokio::select! {
        why = super::asked_to_stop() => tracing::info!(why = why?, "ending"),
        () = faults => {}
    }
    Ok(ExitCode::SUCCESS)
}
