//! Structured logs on standard error.

use clap::{Args, ValueEnum};
use std::io::IsTerminal;
use tracing_subscriber::EnvFilter;

#[derive(Debug, Args)]
pub struct Options {
    /// What to log: a level, or `target=level` pairs with commas between them
    #[arg(long, global = true, env = "GAPARCH_LOG", default_value = "warn")]
    log: String,
    /// How to write it
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    log_format: Format,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Format {
    Text,
    Json,
}

pub fn start(options: &Options) {
    let filter = EnvFilter::try_new(&options.log).unwrap_or_else(|error| {
        eprintln!("gaparch: --log: {error}; logging warnings");
        EnvFilter::new("warn")
    });
    let colours = std::io::stderr().is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let logs =
        tracing_subscriber::fmt().with_env_filter(filter).with_ansi(colours).with_writer(std::io::stderr);
    match options.log_format {
        Format::Text => logs.init(),
        Format::Json => logs.json().init(),
    }
}
