//! `gaparch list`

use crate::CommandResult;
use clap::Args;
use gaparch_net::Clock;
use gaparch_protocol::list::ListEntry;
use gaparch_scheduler::api::ServerState;
use gaparch_testbed::list_service::ListService;
use gaparch_testbed::record::Record;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::io::{AsyncBufReadExt, BufReader};

#[derive(Debug, Args)]
pub struct Options {
    /// Settings file whose engines are listed
    file: PathBuf,
    /// Address to listen on; port 0 selects a free port
    #[arg(long, default_value = "127.0.0.1:0")]
    address: SocketAddr,
}

pub async fn run(options: Options) -> CommandResult {
    let config = super::read_settings(&options.file)?;
    let entry = |e: &gaparch_config::EngineConfig| ListEntry {
        engine: e.name.clone(),
        address: e.address.to_string(),
        kind: e.kind.clone(),
        zone: e.zone.clone(),
        rack: e.rack.clone(),
        state: e.state,
        weight: e.weight,
        started_at: None,
    };
    let entries = config.engines.iter().map(entry).collect();
    let list = ListService::start(options.address, entries, Clock::default(), Record::default()).await?;
    println!("gaparch: list service listens on {}", list.address());
    let mut lines = BufReader::new(tokio::io::stdin()).lines();
    let mut stdin_open = true;
    loop {
        tokio::select! {
            why = super::shutdown_signal() => {
                tracing::info!(why = why?, "shutting down");
                return Ok(ExitCode::SUCCESS);
            }
            line = lines.next_line(), if stdin_open => match line? {
                Some(line) => apply_command(&list, &line),
                None => stdin_open = false,
            },
        }
    }
}

fn apply_command(list: &ListService, line: &str) {
    let words: Vec<&str> = line.split_whitespace().collect();
    let set = |engine: &str, state| {
        if !list.set_state(engine, state) {
            eprintln!("gaparch: unknown engine '{engine}'");
        }
    };
    match words[..] {
        [] => {}
        ["ready", engine] => set(engine, ServerState::Ready),
        ["drain", engine] => set(engine, ServerState::Draining),
        ["gone", engine] => set(engine, ServerState::Removed),
        ["silent", on] => list.silent(on == "on"),
        ["failing", on] => list.failing(on == "on"),
        _ => eprintln!("gaparch: unknown command; use ready|drain|gone ENGINE or silent|failing on|off"),
    }
}
