//! `gaparch doctor`

use crate::Outcome;
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

/// Engines that are asked at once, and the time that each has.
const AT_ONCE: usize = 32;
const WITHIN: Duration = Duration::from_secs(3);
/// No clock may be before this: the first of 2026.
const BUILT_AFTER: u64 = 1_767_225_600_000_000_000;

#[derive(Debug, Args)]
pub struct Options {
    /// The settings file
    #[arg(default_value = "gaparch.xml")]
    file: PathBuf,
    /// Only what is not as it should be
    #[arg(long)]
    quiet: bool,
}

pub async fn run(options: Options) -> Outcome {
    let config = super::settings(&options.file)?;
    let seen = look(&config, &options.file).await;
    let findings = judge(&config, &seen);
    let wrong = findings.iter().filter(|f| f.level == Level::Trouble).count();
    for finding in findings.iter().filter(|f| !options.quiet || f.level != Level::Fine) {
        println!("{finding}");
    }
    match wrong {
        0 => println!("nothing is wrong"),
        1 => println!("one thing is wrong"),
        n => println!("{n} things are wrong"),
    }
    Ok(if wrong == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn look(config: &Config, file: &Path) -> Seen {
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
    let state = operations.map(|o| state(&o.state));
    Seen {
        settings_mode: mode(file).ok(),
        keys: keys.collect(),
        ports: listens.map(|address| (address.to_string(), port(address))).collect(),
        engines: engines(config).await,
        list: match &config.list {
            Some(list) => Some(reach(list.address).await.map(drop)),
            None => None,
        },
        room: operations.and_then(|o| room(&o.state)),
        state,
        open_files: rustix::process::getrlimit(rustix::process::Resource::Nofile).current,
        now: Clock::default().now(),
        built_at: BUILT_AFTER,
    }
}

fn port(address: SocketAddr) -> PortSeen {
    match TcpListener::bind(address) {
        Ok(_) => PortSeen::Free,
        Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => PortSeen::Taken,
        Err(error) => PortSeen::Impossible(error.to_string()),
    }
}

/// Bytes free where a folder is or will be.
fn room(folder: &Path) -> Option<u64> {
    let there = folder.ancestors().find(|f| f.exists()).unwrap_or(Path::new("."));
    let there = if there.as_os_str().is_empty() { Path::new(".") } else { there };
    let seen = rustix::fs::statvfs(there).ok()?;
    Some(seen.f_bavail.saturating_mul(seen.f_frsize))
}

/// Looks at what is kept, if no router has it.
fn state(folder: &Path) -> StateSeen {
    let read = || -> Result<StateSeen, StoreError> {
        let folder = StateDirectory::open(folder)?;
        let (_, found) = Journal::open(folder.share(), "intents", CHANGE_SCHEMA)?;
        let mut last_event_at = 0;
        let take = |_, bytes: &[u8]| {
            let at = from_bytes::<Event>(bytes).map_or(0, |event| event.at);
            last_event_at = last_event_at.max(at);
        };
        History::open(folder, "events", 1, HistoryLimits::default(), take)?;
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

async fn reach(address: SocketAddr) -> Result<TcpStream, String> {
    match timeout(WITHIN, TcpStream::connect(address)).await {
        Ok(Ok(socket)) => Ok(socket),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("no connection in time".to_owned()),
    }
}

async fn engines(config: &Config) -> Vec<(String, EngineSeen)> {
    let mut seen = Vec::new();
    for some in config.engines.chunks(AT_ONCE) {
        let tasks: Vec<_> = some
            .iter()
            .map(|engine| {
                let (name, address) = (engine.name.clone(), engine.address);
                tokio::spawn(async move { (name, engine_at(address).await) })
            })
            .collect();
        for task in tasks {
            seen.extend(task.await);
        }
    }
    seen
}

/// Says hello as a router does, and hears who answers.
async fn engine_at(address: SocketAddr) -> EngineSeen {
    let greet = async {
        let mut socket = reach(address).await?;
        let peer = Peer::Router { run: RouterRun(u64::from(std::process::id())), name: "doctor".to_owned() };
        let mut bytes = Default::default();
        encode(&EngineFrame::Hello { version: VERSION, peer }, &mut bytes);
        socket.write_all(&bytes).await.map_err(|e| e.to_string())?;
        let (reader, _writer) = socket.split();
        match FrameReader::new(reader, DEFAULT_MAX_FRAME).read_one().await.map_err(|e| e.to_string())? {
            EngineFrame::Hello { version: VERSION, peer: Peer::Engine(facts) } => {
                Ok(EngineSeen::Answers { name: facts.name, role: facts.role, started_at: facts.started_at })
            }
            EngineFrame::Hello { version, .. } => Err(format!("it speaks version {version}, not {VERSION}")),
            EngineFrame::Bye { reason } => Err(format!("it says: {reason}")),
            _ => Err("its first frame is no hello".to_owned()),
        }
    };
    match timeout(WITHIN, greet).await {
        Ok(Ok(seen)) => seen,
        Ok(Err(why)) => EngineSeen::Silent(why),
        Err(_) => EngineSeen::Silent("it says no hello".to_owned()),
    }
}
