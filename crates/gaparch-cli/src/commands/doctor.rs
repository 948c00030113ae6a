//! `gaparch doctor`

use crate::CommandResult;
use clap::Args;
use gaparch_config::{Config, KeySource};
use gaparch_net::{read_key, Clock, FrameReader, KeyError};
use gaparch_ops::CHANGE_SCHEMA;
use gaparch_protocol::engine::{EngineFrame, Peer, RouterRun, VERSION};
use gaparch_protocol::frame::encode;
use gaparch_protocol::ops::from_bytes;
use gaparch_protocol::ops::view::Event;
use gaparch_protocol::DEFAULT_MAX_FRAME;
use gaparch_setup::doctor::{judge, EngineSeen, FileSeen, Level, PortSeen, Seen, StateSeen};
use gaparch_store::{History, HistoryLimits, Journal, StateDirectory, StoreError};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Engines that are checked concurrently.
const CONCURRENT_CHECKS: usize = 32;
/// Timeout for connecting to an endpoint, and for the whole check of an engine.
const CHECK_TIMEOUT: Duration = Duration::from_secs(3);
/// 2026-01-01 in nanoseconds since the Unix epoch; a clock before this is wrong.
const BUILT_AFTER: u64 = 1_767_225_600_000_000_000;

#[derive(Debug, Args)]
pub struct Options {
    /// Settings file
    #[arg(default_value = "gaparch.xml")]
    file: PathBuf,
    /// Show only warnings and problems
    #[arg(long)]
    quiet: bool,
}

pub async fn run(options: Options) -> CommandResult {
    let config = super::read_settings(&options.file)?;
    let seen = inspect(&config, &options.file).await;
    let findings = judge(&config, &seen);
    let problems = findings.iter().filter(|f| f.level == Level::Trouble).count();
    for finding in findings.iter().filter(|f| !options.quiet || f.level != Level::Fine) {
        println!("{finding}");
    }
    match problems {
        0 => println!("no problems found"),
        1 => println!("1 problem found"),
        n => println!("{n} problems found"),
    }
    Ok(if problems == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Collects what the diagnosis is based on.
async fn inspect(config: &Config, file: &Path) -> Seen {
    let mode = |file: &Path| std::fs::metadata(file).map(|m| m.permissions().mode() & 0o777);
    let key = |file: &PathBuf| {
        let seen = match read_key(file) {
            Ok(_) => FileSeen::Sound,
            Err(KeyError::Missing) => FileSeen::Missing,
            Err(KeyError::ReadableByOthers { mode }) => FileSeen::Open(mode),
            Err(error @ (KeyError::Io(_) | KeyError::TooShort)) => FileSeen::Unusable(error.to_string()),
        };
        (file.display().to_string(), seen)
    };
    let operations = config.operations.as_ref();
    let operators = operations.iter().flat_map(|o| &o.operators);
    let keys = operators.filter_map(|o| match &o.key {
        KeySource::File(file) => Some(key(file)),
        KeySource::Text(_) => None,
    });
    let listens = config.listeners.iter().map(|l| l.address).chain(operations.and_then(|o| o.address));
    let state = operations.map(|o| state_directory(&o.state));
    Seen {
        settings_mode: mode(file).ok(),
        keys: keys.collect(),
        ports: listens.map(|address| (address.to_string(), check_port(address))).collect(),
        engines: check_engines(config).await,
        list: match &config.list {
            Some(list) => Some(connect(list.address).await.map(drop)),
            None => None,
        },
        room: operations.and_then(|o| free_space(&o.state)),
        state,
        open_files: rustix::process::getrlimit(rustix::process::Resource::Nofile).current,
        now: Clock::default().now(),
        built_at: BUILT_AFTER,
    }
}

fn check_port(address: SocketAddr) -> PortSeen {
    match TcpListener::bind(address) {
        Ok(_) => PortSeen::Free,
        Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => PortSeen::Taken,
        Err(error) => PortSeen::Impossible(error.to_string()),
    }
}

/// Free space, in bytes, on the file system of a directory that may not exist yet.
fn free_space(folder: &Path) -> Option<u64> {
    let existing = folder.ancestors().find(|f| f.exists()).unwrap_or(Path::new("."));
    let existing = if existing.as_os_str().is_empty() { Path::new(".") } else { existing };
    let stats = rustix::fs::statvfs(existing).ok()?;
    Some(stats.f_bavail.saturating_mul(stats.f_frsize))
}

/// Checks the state directory, unless a router has it open.
fn state_directory(folder: &Path) -> StateSeen {
    let read = || -> Result<StateSeen, StoreError> {
        let folder = StateDirectory::open(folder)?;
        let (_, found) = Journal::open(folder.share(), "intents", CHANGE_SCHEMA)?;
        let mut last_event_at = 0;
        let on_record = |_, bytes: &[u8]| {
            let at = from_bytes::<Event>(bytes).map_or(0, |event| event.at);
            last_event_at = last_event_at.max(at);
        };
        History::open(folder, "events", 1, HistoryLimits::default(), on_record)?;
        Ok(StateSeen::Sound { orders: found.records.len(), damaged: found.damaged, last_event_at })
    };
    match read() {
        Ok(seen) => seen,
        Err(StoreError::InUse { process: by, .. }) => {
            StateSeen::InUse(by.unwrap_or_else(|| "unknown".to_owned()))
        }
        Err(error) => StateSeen::Wrong(error.to_string()),
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, String> {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(socket)) => Ok(socket),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("the connection timed out".to_owned()),
    }
}

async fn check_engines(config: &Config) -> Vec<(String, EngineSeen)> {
    let mut seen = Vec::new();
    for batch in config.engines.chunks(CONCURRENT_CHECKS) {
        let tasks: Vec<_> = batch
            .iter()
            .map(|engine| {
                let (name, address) = (engine.name.clone(), engine.address);
                tokio::spawn(async move { (name, check_engine(address).await) })
            })
            .collect();
        for task in tasks {
            seen.extend(task.await);
        }
    }
    seen
}

/// Performs the handshake of a router with an engine.
async fn check_engine(address: SocketAddr) -> EngineSeen {
    let handshake = async {
        let mut socket = connect(address).await?;
        let peer = Peer::Router { run: RouterRun(u64::from(std::process::id())), name: "doctor".to_owned() };
        let mut bytes = Default::default();
        encode(&EngineFrame::Hello { version: VERSION, peer }, &mut bytes);
        socket.write_all(&bytes).await.map_err(|e| e.to_string())?;
        let (reader, _writer) = socket.split();
        match FrameReader::new(reader, DEFAULT_MAX_FRAME).read_one().await.map_err(|e| e.to_string())? {
            EngineFrame::Hello { version: VERSION, peer: Peer::Engine(facts) } => {
                Ok(EngineSeen::Answers { name: facts.name, role: facts.role, started_at: facts.started_at })
            }
            EngineFrame::Hello { version, .. } => {
                Err(format!("it uses protocol version {version}, not {VERSION}"))
            }
            EngineFrame::Bye { reason } => Err(format!("it closed the connection: {reason}")),
            _ => Err("its first frame is not a hello frame".to_owned()),
        }
    };
    match timeout(CHECK_TIMEOUT, handshake).await {
        Ok(Ok(seen)) => seen,
        Ok(Err(why)) => EngineSeen::Silent(why),
        Err(_) => EngineSeen::Silent("the handshake timed out".to_owned()),
    }
}
