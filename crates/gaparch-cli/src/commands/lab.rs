//! `gaparch lab`: fault injection, load and scale tests with processes of this program.

use crate::CommandResult;
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
use std::num::NonZero;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Maximum number of scenarios run concurrently with `--small`. Their processes are idle most of the time, but one
/// scenario takes half a processor.
const MAX_SMALL_CONCURRENCY: usize = 6;

#[derive(Debug, Args)]
pub struct Options {
    #[command(subcommand)]
    command: Command,
}

impl Options {
    /// Whether the command is a measurement, which may be abandoned at any point.
    pub fn is_measurement(&self) -> bool {
        matches!(self.command, Command::Scale(_))
    }

    /// Whether the command runs a platform router, which has one thread.
    pub fn is_platform_router(&self) -> bool {
        matches!(self.command, Command::Node { .. })
    }
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run fault scenarios on a fleet of routers and check their behaviour: a scenario, a group or a file
    Fleet(Fleet),
    /// Measure the cost of a fleet of many routers and workers, and the size at which it exceeds its budgets
    Scale(Scale),
    /// Run a platform router like `gaparch node`, until the parent process exits
    #[command(hide = true)]
    Node {
        /// Configuration file
        file: PathBuf,
    },
    /// Inject overlapping faults into dozens of platform routers and workers, and check their behaviour
    Soak(Soak),
    /// Run a worker of the soak test, until the parent process exits
    #[command(hide = true)]
    SoakWorker {
        #[arg(long)]
        listen: SocketAddr,
        /// Act as a prefill worker instead of a decode worker
        #[arg(long)]
        reads: bool,
        /// File that the worker records requests in
        #[arg(long)]
        record: PathBuf,
    },
    /// Run a router like `gaparch serve`, with a faulty disk or a wrong clock, until the parent process exits
    Serve(Serve),
}

#[derive(Debug, Args)]
struct Serve {
    /// Fault of the disk: forget, torn, flip, swapped, stale, full, broken, read-only, slow
    #[arg(long)]
    disk: Option<DiskFault>,
    /// Offset of the wall clock in seconds; negative if it is behind
    #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
    ahead: i32,
    /// Settings file
    file: PathBuf,
}

#[derive(Debug, Args)]
struct Scale {
    /// Maximum number of routers that watch the discovery service; 1,300 by default
    #[arg(long)]
    routers: Option<usize>,
    /// Maximum number of workers; by default 10,000 in lists and 800 in simulated fleets (200 with --quick)
    #[arg(long)]
    workers: Option<usize>,
    /// Number of zones; 15 by default
    #[arg(long)]
    zones: Option<usize>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Rows to measure: decision, router, list, messages, connections, knowledge; all by default
    #[arg(long, value_delimiter = ',')]
    rows: Vec<Row>,
    /// Finish within a minute, with shorter simulations, smaller fleets and one seed
    #[arg(long)]
    quick: bool,
    /// Print JSON instead of a table
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
struct Soak {
    /// First seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of runs, each with the next seed
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Duration of the load in each run, in seconds
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u8).range(1..=60))]
    routers: u8,
    /// Number of workers; every other one is a prefill worker
    #[arg(long, default_value_t = 14, value_parser = clap::value_parser!(u8).range(2..=100))]
    workers: u8,
    /// Requests per second to each router
    #[arg(long, default_value_t = 6.0)]
    rate: f64,
    /// Another build of the program, to test its routers instead of those of this build
    #[arg(long)]
    program: Option<PathBuf>,
    /// Tolerance in milliseconds added to every time limit of the rules, for a busy machine
    #[arg(long, default_value_t = 150)]
    slack_ms: u64,
    /// Copy logs and records of the last run into this directory
    #[arg(long)]
    keep: Option<PathBuf>,
}

async fn soak(command: Soak) -> CommandResult {
    let mut failed = Vec::new();
    let stop = super::shutdown_signal();
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
            // The child processes exit with this process.
            why = &mut stop => return Err(why?.into()),
        };
        println!("{report}");
        if !report.holds() {
            failed.push(seed);
        }
    }
    println!("soak: {} of {} runs passed", command.runs - failed.len() as u64, command.runs);
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn measure_scale(command: Scale) -> CommandResult {
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
    let step_bar = bar.clone();
    let progress = Arc::new(move |row: Row, steps: u64| {
        step_bar.set_length(steps);
        step_bar.set_message(row.to_string());
        step_bar.inc(1);
    });
    let stop = super::shutdown_signal();
    let report = tokio::select! {
        report = scale::run(&options, progress) => report?,
        // The child processes are killed when their handles are dropped.
        why = stop => return Err(why?.into()),
    };
    bar.finish_and_clear();
    match command.json {
        true => println!("{}", report.to_json()?),
        false => println!("{report}"),
    }
    Ok(if report.short.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a platform router that exits with its parent process.
async fn run_platform_router(file: PathBuf) -> CommandResult {
    process::end_with_parent()?;
    gaparch_platform_router::run(file).await?;
    Ok(ExitCode::SUCCESS)
}

async fn serve(options: &Serve) -> CommandResult {
    process::end_with_parent()?;
    let config = super::read_settings(&options.file)?;
    let disks = match options.disk {
        None => None,
        Some(fault) => {
            let operations = config.operations.as_ref();
            let operations = operations
                .ok_or("--disk: the settings have no <operations>, so the router has no state directory")?;
            let disk = FaultyDirectory::new(StateDirectory::open(&operations.state)?, fault)?;
            let share = || Box::new(disk.clone());
            let fleet = FleetDisks::of(|| share());
            Some(Disks { intents: share(), events: share(), outcomes: share(), fleet })
        }
    };
    super::serve::serve(config, disks, Clock::default().with_offset(options.ahead)).await
}

#[derive(Debug, Args)]
struct Fleet {
    /// Name of a scenario or of a group such as `membership`, or a scenario file (schema/fleet-day.xsd)
    what: String,
    /// Number of routers, instead of that of the scenario; must cover the routers that the scenario names
    #[arg(long, value_parser = clap::value_parser!(u16).range(2..=200))]
    routers: Option<u16>,
    /// Seed, instead of that of the scenario
    #[arg(long)]
    seed: Option<u64>,
    /// Number of scenarios run concurrently; too many for the machine delay all of them
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u8).range(1..=16))]
    at_once: u8,
    /// Run up to six scenarios concurrently, one per processor at most, for continuous integration
    #[arg(long)]
    small: bool,
    /// Run the routers with plain SWIM and without peer lists, to show the effect of these refinements
    #[arg(long)]
    plain: bool,
    /// Print JSON instead of text
    #[arg(long)]
    json: bool,
    /// Copy the state directories of the routers into this directory at the end; for a single scenario
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Write an SVG per scenario, with the member states as each router saw them, into this directory
    #[arg(long)]
    pictures: Option<PathBuf>,
}

/// Scenario texts of a group, a built-in scenario or a file.
fn scenario_texts(what: &str) -> Result<Vec<String>, String> {
    if let Some(group) = scenarios::group(what) {
        return Ok(group.into_iter().map(str::to_owned).collect());
    }
    if let Some(scenario) = scenarios::one(what) {
        return Ok(vec![scenario.to_owned()]);
    }
    let file = std::path::Path::new(what);
    match std::fs::read_to_string(file) {
        Ok(text) => Ok(vec![text]),
        Err(error) => {
            Err(format!("{what}: {error}; built-in scenarios and groups: {}", scenarios::names().join(", ")))
        }
    }
}

pub async fn run(options: Options) -> CommandResult {
    match options.command {
        Command::Fleet(options) => fleet(options).await,
        Command::Serve(options) => serve(&options).await,
        Command::Scale(options) => measure_scale(options).await,
        Command::Node { file } => run_platform_router(file).await,
        Command::Soak(options) => soak(options).await,
        Command::SoakWorker { listen, reads, record } => {
            process::end_with_parent()?;
            soak::run_worker(listen, reads, &record).await?;
            Ok(ExitCode::SUCCESS)
        }
    }
}

/// Number of scenarios run concurrently with `--small`.
fn small_concurrency() -> usize {
    let processors = std::thread::available_parallelism().map_or(1, NonZero::get);
    processors.min(MAX_SMALL_CONCURRENCY)
}

async fn fleet(options: Fleet) -> CommandResult {
    let mut scenarios = Vec::new();
    for text in scenario_texts(&options.what)? {
        let mut scenario = Scenario::parse(&text)
            .map_err(|problems| format!("{}: {}", options.what, problems.join("\n")))?;
        if let Some(routers) = options.routers {
            let highest_named = scenario.highest_router();
            if usize::from(routers) <= highest_named {
                let name = &scenario.name;
                return Err(
                    format!("--routers {routers}: scenario '{name}' names router {highest_named}").into()
                );
            }
            scenario.routers = usize::from(routers);
        }
        scenario.seed = options.seed.unwrap_or(scenario.seed);
        scenario.plain = options.plain;
        scenario.keep.clone_from(&options.keep);
        scenarios.push(scenario);
    }
    let concurrency = if options.small { small_concurrency() } else { usize::from(options.at_once) };
    let program: PathBuf = std::env::current_exe()?;
    let (mut failed, count) = (Vec::new(), scenarios.len());
    let mut scenarios = scenarios.into_iter();
    let mut running = JoinSet::new();
    let stop = super::shutdown_signal();
    tokio::pin!(stop);
    loop {
        while running.len() < concurrency {
            let Some(scenario) = scenarios.next() else { break };
            let program = program.clone();
            running.spawn(async move {
                let name = scenario.name.clone();
                runner::run(scenario, &program).await.map_err(|e| format!("{name}: {e}"))
            });
        }
        let done = tokio::select! {
            done = running.join_next() => done,
            // The child processes are killed when the tasks are dropped.
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
            failed.push(report.name);
        }
    }
    match (failed.is_empty(), options.json) {
        (true, false) => println!("fleet: {count} scenarios passed"),
        (false, false) => {
            println!("fleet: {} of {count} scenarios failed: {}", failed.len(), failed.join(", "))
        }
        (_, true) => {}
    }
    Ok(if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
