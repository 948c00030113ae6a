//! The gaparch program: one binary, a sub-command for each thing to do.

mod commands;
mod logging;

use clap::{Parser, Subcommand};
use std::io::Write;
use std::process::ExitCode;

/// Routes language-model requests over engines that read prompts and engines that write answers.
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
    /// Run a router by a settings file, until Ctrl-C or SIGTERM
    Serve(commands::serve::Options),
    /// Run a router in service on the platform, by the configuration in ROUTER_CONFIG, until SIGTERM
    Node(commands::node::Options),
    /// Write the files of a new router: checked settings, keys, a service unit
    Init(commands::init::Options),
    /// Say in plain words what is wrong around a router, and what to do
    Doctor(commands::doctor::Options),
    /// Run a stand-in engine
    Engine(commands::engine::Options),
    /// Run a stand-in list service; it takes commands on standard input
    List(commands::list::Options),
    /// Check a settings file and name every mistake in it
    Check(commands::check::Options),
    /// Look at a running router and run it, from a terminal
    Console(commands::console::Options),
    /// Look at a running router and change what it does, for scripts
    Ctl(commands::ctl::Options),
    /// Start a small site on loopback, ask it one question and show the events as they come
    Try(commands::try_out::Options),
    /// Play a session at the console on a site of stand-ins, and show or record it
    Demo(commands::demo::Options),
    /// Put load on a router and print what came of it
    Load(commands::load::Options),
    /// Play a bad day on loopback and judge the five rules by what went over the sockets
    Badday(commands::badday::Options),
    /// Look at what a router that is down has recorded
    Audit(commands::audit::Options),
    /// Break a fleet of routers, as processes of this program, and judge what they do
    Lab(commands::lab::Options),
}

impl Command {
    /// Whether it is one router in service.
    fn is_node(&self) -> bool {
        match self {
            Command::Node(_) => true,
            Command::Lab(options) => options.is_node(),
            _ => false,
        }
    }
}

/// What goes wrong ends up here: one line on standard error, exit code 1.
type Outcome = Result<ExitCode, Box<dyn std::error::Error + Send + Sync>>;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let _log = logging::start(&cli.logging);
    let runtime = match &cli.command {
        // In service it has a part of one core.
        command if command.is_node() => tokio::runtime::Builder::new_current_thread().enable_all().build(),
        _ => tokio::runtime::Builder::new_multi_thread().enable_all().build(),
    };
    let measures = matches!(&cli.command, Command::Lab(options) if options.is_measurement());
    let outcome = match runtime {
        Ok(runtime) => {
            let outcome = runtime.block_on(run(cli.command));
            if measures {
                // A measurement that was stopped is not waited for.
                runtime.shutdown_background();
            }
            outcome
        }
        Err(error) => Err(error.into()),
    };
    outcome.unwrap_or_else(|error| {
        complain(format_args!("{error}"));
        ExitCode::FAILURE
    })
}

/// A line on standard error, if anybody is there to read it.
fn complain(what: std::fmt::Arguments<'_>) {
    let _ = writeln!(std::io::stderr(), "gaparch: {what}");
}

async fn run(command: Command) -> Outcome {
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
