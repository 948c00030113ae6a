//! `gaparch lab`: plays what can happen to a site, on processes of this program.

use crate::Outcome;
use clap::{Args, Subcommand};
use gaparch_net::Clock;
use gaparch_router::shell::{Disks, FleetDisks};
use gaparch_store::StateDirectory;
use gaparch_testbed::fleet::faulty_directory::{DiskFault, FaultyDirectory};
use gaparch_testbed::fleet::scenario::Scenario;
use gaparch_testbed::fleet::{picture, process, runner, scenarios};
use gaparch_testbed::scale::{self, Row};
use gaparch_testbed::soak;
use indicatif::{ProgressBar, ProgressStyle};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Their processes are idle most of the time.
const SMALL_AT_ONCE: usize = 6;

#[derive(Debug, Args)]
pub struct Options {
    #[command(subcommand)]
    command: Command,
}

impl Options {
    /// Whether it is a measurement, which may be left where it stands.
    pub fn is_measurement(&self) -> bool {
        matches!(self.command, Command::Scale(_))
    }

    /// Whether it is one router in service, which runs on one thread.
    pub fn is_node(&self) -> bool {
        matches!(self.command, Command::Node { .. })
    }
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Break a fleet of routers and judge what they do: a group, a day by name, or a file
    Fleet(Fleet),
    /// Measure what a fleet of many routers before many workers costs, and where its budgets break
    Scale(Scale),
    /// Run a router as `gaparch node` does, until this command's parent ends
    #[command(hide = true)]
    Node {
        /// The configuration file
        file: PathBuf,
    },
    /// Break routers in service and their workers, dozens of processes, two or three troubles at a time, and judge them
    Soak(Soak),
    /// Run a worker of the soak test until this command's parent ends
    #[command(hide = true)]
    SoakWorker {
        #[arg(long)]
        listen: SocketAddr,
        /// It reads prompts; else it writes answers
        #[arg(long)]
        reads: bool,
        /// The file of what it sees
        #[arg(long)]
        record: PathBuf,
    },
    /// Run a router as `gaparch serve` does, on a disk that lies or by a clock that is off, until this command's parent ends
    Serve(Serve),
}

#[derive(Debug, Args)]
struct Serve {
    /// How its disk lies: forget, torn, flip, swapped, stale, full, broken, read-only, slow
    #[arg(long)]
    disk: Option<DiskFault>,
    /// Seconds that its wall clock is ahead, or behind if negative
    #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
    ahead: i32,
    /// The settings file
    file: PathBuf,
}

#[derive(Debug, Args)]
struct Scale {
    /// Routers that watch the catalogue, at most; 1,300 if not told
    #[arg(long)]
    routers: Option<usize>,
    /// Workers, at most: 10,000 in lists, 800 in hollow fleets (200 with --quick) if not told
    #[arg(long)]
    workers: Option<usize>,
    /// Zones; 15 if not told
    #[arg(long)]
    zones: Option<usize>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Rows to measure: decision, router, list, messages, connections, knowledge; all if not told
    #[arg(long, value_delimiter = ',')]
    rows: Vec<Row>,
    /// Ends within a minute: shorter days, smaller hollow fleets, one seed
    #[arg(long)]
    quick: bool,
    /// JSON instead of a table
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
struct Soak {
    /// The first seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs, each with the next seed
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Seconds of load in each run
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u8).range(1..=60))]
    routers: u8,
    /// Workers, each other one a reader
    #[arg(long, default_value_t = 14, value_parser = clap::value_parser!(u8).range(2..=100))]
    workers: u8,
    /// Requests a second to each router
    #[arg(long, default_value_t = 6.0)]
    rate: f64,
    /// Another build of the program, whose routers are tried instead of this one's
    #[arg(long)]
    program: Option<PathBuf>,
    /// Milliseconds that a busy machine adds to every limit of the rules
    #[arg(long, default_value_t = 150)]
    slack_ms: u64,
    /// Copy logs and records of the last run into this folder
    #[arg(long)]
    keep: Option<PathBuf>,
}

async fn soak(command: Soak) -> Outcome {
    let mut failed = Vec::new();
    let stop = super::asked_to_stop();
    tokio::pin!(stop);
    for seed in command.seed..command.seed + command.runs {
        let options = soak::Options {
            program: std::env::current_exe()?,
            routers_program: command.program.clone().map_or_else(std::env::current_exe, Ok)?,
            seed,
            span: Duration::from_secs(command.seconds),
            routers: usize::from(command.routers),
            workers: usize::from(command.workers),
            requests_per_s: command.rate,
            slack: Duration::from_millis(command.slack_ms),
            keep: command.keep.clone(),
        };
        let report = tokio::select! {
            report = soak::play(&options) => report?,
            // What was started ends with this process.
            why = &mut stop => return Err(why?.into()),
        };
        println!("{report}");
        if !report.holds() {
            failed.push(seed);
        }
    }
    println!("soak: {} of {} runs hold", command.runs - failed.len() as u64, command.runs);
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure_scale(command: Scale) -> Outcome {
    let rows = if command.rows.is_empty() { Row::ALL.to_vec() } else { command.rows };
    let options = scale::Options {
        routers: command.routers,
        workers: command.workers,
        zones: command.zones,
        seed: command.seed,
        rows,
        quick: command.quick,
        program: std::env::current_exe()?,
    };
    let bar = ProgressBar::new(0);
    bar.set_style(ProgressStyle::with_template("{bar:30} {pos}/{len} {msg} {elapsed}")?);
    let of_steps = bar.clone();
    let progress = Arc::new(move |row: Row, all: u64| {
        of_steps.set_length(all);
        of_steps.set_message(row.to_string());
        of_steps.inc(1);
    });
    let stop = super::asked_to_stop();
    let report = tokio::select! {
        report = scale::run(&options, progress) => report?,
        // What was started ends as its handles are dropped.
        why = stop => return Err(why?.into()),
    };
    bar.finish_and_clear();
    match command.json {
        true => println!("{}", report.to_json()?),
        false => println!("{report}"),
    }
    Ok(if report.short.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// A router in service that ends with the one who started it.
async fn node(file: PathBuf) -> Outcome {
    process::end_with_parent()?;
    gaparch_platform_router::run(file).await?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(options: &Serve) -> Outcome {
    process::end_with_parent()?;
    let config = super::settings(&options.file)?;
    let disks = match options.disk {
        None => None,
        Some(fault) => {
            let operations = config.operations.as_ref();
            let operations =
                operations.ok_or("its settings have no <operations>: it keeps nothing on disk")?;
            let disk = FaultyDirectory::new(StateDirectory::open(&operations.state)?, fault)?;
            let share = || Box::new(disk.clone());
            let fleet = FleetDisks::of(|| share());
            Some(Disks { intents: share(), events: share(), endings: share(), fleet })
        }
    };
    super::serve::serve(config, disks, Clock::default().with_offset(options.ahead)).await
}

#[derive(Debug, Args)]
struct Fleet {
    /// `membership`, the name of a day, or a file with a day (schema/fleet-day.xsd)
    what: String,
    /// Routers, instead of the day's own number; those the day names must be among them
    #[arg(long, value_parser = clap::value_parser!(u16).range(2..=200))]
    routers: Option<u16>,
    /// The seed, instead of the day's own
    #[arg(long)]
    seed: Option<u64>,
    /// Days at once; more on a small machine make all late
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=16))]
    at_once: u8,
    /// The form for continuous integration: six days at once
    #[arg(long)]
    small: bool,
    /// Routers run plain SWIM, without the refinements: to see what those are for
    #[arg(long)]
    plain: bool,
    /// JSON instead of lines
    #[arg(long)]
    json: bool,
    /// Copy the routers' state folders into this folder at the day's end; for one day
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Draw who thought what of whom, an SVG a day, into this folder
    #[arg(long)]
    pictures: Option<PathBuf>,
}

fn texts(what: &str) -> Result<Vec<String>, String> {
    if let Some(group) = scenarios::group(what) {
        return Ok(group.into_iter().map(str::to_owned).collect());
    }
    if let Some(day) = scenarios::one(what) {
        return Ok(vec![day.to_owned()]);
    }
    let file = std::path::Path::new(what);
    match std::fs::read_to_string(file) {
        Ok(text) => Ok(vec![text]),
        Err(error) => {
            Err(format!("{what}: {error}; it is no day either: there are {}", scenarios::names().join(", ")))
        }
    }
}

pub async fn run(options: Options) -> Outcome {
    match options.command {
        Command::Fleet(options) => fleet(options).await,
        Command::Serve(options) => serve(&options).await,
        Command::Scale(options) => measure_scale(options).await,
        Command::Node { file } => node(file).await,
        Command::Soak(options) => soak(options).await,
        Command::SoakWorker { listen, reads, record } => {
            process::end_with_parent()?;
            soak::run_worker(listen, reads, &record).await?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

async fn fleet(options: Fleet) -> Outcome {
    let mut waiting = Vec::new();
    for text in texts(&options.what)? {
        let mut day =
            Scenario::parse(&text).map_err(|wrong| format!("{}: {}", options.what, wrong.join("\n")))?;
        if let Some(routers) = options.routers {
            let named = day.highest_router();
            if usize::from(routers) <= named {
                return Err(
                    format!("--routers {routers}: the day '{}' names router {named}", day.name).into()
                );
            }
            day.routers = usize::from(routers);
        }
        day.seed = options.seed.unwrap_or(day.seed);
        day.plain = options.plain;
        day.keep.clone_from(&options.keep);
        waiting.push(day);
    }
    let at_once = if options.small { SMALL_AT_ONCE } else { usize::from(options.at_once) };
    let program: PathBuf = std::env::current_exe()?;
    let (mut short, count) = (Vec::new(), waiting.len());
    let mut waiting = waiting.into_iter();
    let mut playing = JoinSet::new();
    let stop = super::asked_to_stop();
    tokio::pin!(stop);
    loop {
        while playing.len() < at_once {
            let Some(day) = waiting.next() else { break };
            let program = program.clone();
            playing.spawn(async move {
                let name = day.name.clone();
                runner::run(day, &program).await.map_err(|e| format!("{name}: {e}"))
            });
        }
        let done = tokio::select! {
            done = playing.join_next() => done,
            // What was started is killed as the days are dropped.
            why = &mut stop => return Err(why?.into()),
        };
        let Some(done) = done else { break };
        let report = done??;
        match options.json {
            true => println!("{}", report.to_json()),
            false => println!("{report}"),
        }
        if let Some(folder) = &options.pictures {
            std::fs::create_dir_all(folder)?;
            std::fs::write(folder.join(format!("{}.svg", report.name)), picture::draw(&report)?)?;
        }
        if !report.passed() {
            short.push(report.name);
        }
    }
    match (short.is_empty(), options.json) {
        (true, false) => println!("fleet: {count} days hold"),
        (false, false) => println!("fleet: {} of {count} days fall short: {}", short.len(), short.join(", ")),
        (_, true) => {}
    }
    Ok(if short.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
