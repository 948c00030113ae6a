//! The `gaparch` command-line program: one binary with a subcommand for each task.

mod commands;
mod logging;

use clap::{Parser, Subcommand};
use std::io::Write;
use std::process::ExitCode;

/// Routes language-model requests to engines that read prompts and engines that write answers
#[derive(Debug, Parser)]
#[command(name = "gaparch", version, propagate_version = true)]
struct Cli {
    #[command(flatten)]
    logging: logging::Options,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a router with a settings file, until Ctrl-C or SIGTERM
    Serve(commands::serve::Options),
    /// Run a platform router with the configuration file named by ROUTER_CONFIG, until SIGTERM
    Node(commands::node::Options),
    /// Write the files of a new router: validated settings, keys and a service unit
    Init(commands::init::Options),
    /// Diagnose the environment of a router and suggest remedies
    Doctor(commands::doctor::Options),
    /// Run a stand-in engine
    Engine(commands::engine::Options),
    /// Run a stand-in list service that takes commands on standard input
    List(commands::list::Options),
    /// Validate settings files and report every error in them
    Check(commands::check::Options),
    /// Observe and operate a running router in the terminal
    Console(commands::console::Options),
    /// Query and operate a running router from scripts
    Ctl(commands::ctl::Options),
    /// Start a small site on loopback, send it one request and print the events as they arrive
    Try(commands::try_out::Options),
    /// Play a scripted console session on a site of stand-in engines, and show or record it
    Demo(commands::demo::Options),
    /// Generate load on a router and print a summary of the results
    Load(commands::load::Options),
    /// Run a simulated day with faults on loopback and check the five rules against the recorded traffic
    Badday(commands::badday::Options),
    /// Inspect the audit log of a router that is not running
    Audit(commands::audit::Options),
    /// Inject faults into a fleet of router processes and check their behaviour
    Lab(commands::lab::Options),
}

impl Command {
    /// Whether the command runs a platform router.
    fn is_platform_router(&self) -> bool {
        match self {
            Command::Node(_) => true,
            Command::Lab(options) => options.is_platform_router(),
            _ => false,
        }
    }
}

/// Result of a command. An error is printed as one line on standard error, and the exit code is then 1.
type CommandResult = Result<ExitCode, Box<dyn std::error::Error + Send + Sync>>;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let _log = logging::start(&cli.logging);
    let runtime = match &cli.command {
        // A platform router is allotted less than one core.
        command if command.is_platform_router() => {
            tokio::runtime::Builder::new_current_thread().enable_all().build()
        }
        _ => tokio::runtime::Builder::new_multi_thread().enable_all().build(),
    };
    let is_measurement = matches!(&cli.command, Command::Lab(options) if options.is_measurement());
    let result = match runtime {
        Ok(runtime) => {
            let result = runtime.block_on(run(cli.command));
            if is_measurement {
                // Does not wait for the tasks of a measurement that was stopped.
                runtime.shutdown_background();
            }
            result
        }
        Err(error) => Err(error.into()),
    };
    result.unwrap_or_else(|error| {
        print_error(format_args!("{error}"));
        ExitCode::FAILURE
    })
}

/// Prints a line on standard error; a closed standard error is ignored.
fn print_error(message: std::fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stderr(), "gaparch: {message}");
}

async fn run(command: Command) -> CommandResult {
    match command {
        Command::Serve(options) => commands::serve::run(options).await,
        Command::Node(options) => commands::node::run(options).await,
        Command::Init(options) => commands::init::run(options),
        Command::Doctor(options) => commands::doctor::run(options).await,
        Command::Engine(options) => commands::engine::run(options).await,
        Command::List(options) => commands::list::run(options).await,
        Command::Check(options) => commands::check::run(&options),
        Command::Console(options) => commands::console::run(options).await,
        Command::Ctl(options) => commands::ctl::run(options).await,
        Command::Try(options) => commands::try_out::run(options).await,
        Command::Demo(options) => commands::demo::run(options).await,
        Command::Load(options) => commands::load::run(options).await,
        Command::Badday(options) => commands::badday::run(options).await,
        Command::Audit(options) => commands::audit::run(options).await,
        Command::Lab(options) => commands::lab::run(options).await,
    }
}
