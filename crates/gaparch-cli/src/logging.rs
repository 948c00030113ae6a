//! Structured logs on standard error, written by a separate thread: if standard error blocks, is closed or is
//! redirected to a full disk, only log lines are lost.

use clap::{Args, ValueEnum};
use std::io::IsTerminal;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

#[cfg(test)]
#[path = "logging_tests.rs"]
mod tests;

/// Lines buffered for the writer thread; further lines are dropped.
const BUFFERED_LINES: usize = 4096;

/// Old and current names of renamed crates, so that filters with the old target still work.
const RENAMED_TARGETS: [(&str, &str); 4] = [
    ("gaparch_node", "gaparch_platform_router"),
    ("gaparch_platform", "gaparch_platform_protocol"),
    ("gaparch_site", "gaparch_platform_settings"),
    ("gaparch_lab", "gaparch_testbed"),
];

#[derive(Debug, Args)]
pub struct Options {
    /// Log filter: a level, or comma-separated `target=level` pairs
    #[arg(long, global = true, env = "GAPARCH_LOG", default_value = "warn")]
    log: String,
    /// Log format
    #[arg(long, global = true, value_enum, default_value_t = Format::Text)]
    log_format: Format,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Format {
    Text,
    Json,
}

/// Replaces the old names of renamed crates in a filter.
fn with_current_targets(filter: &str) -> String {
    let directives: Vec<String> = filter.split(',').map(with_current_target).collect();
    directives.join(",")
}

fn with_current_target(directive: &str) -> String {
    let crate_end = directive.find([':', '=', '[']).unwrap_or(directive.len());
    let (name, rest) = directive.split_at(crate_end);
    let renamed = RENAMED_TARGETS.iter().find(|(old, _)| *old == name.trim());
    let current = renamed.map_or(name, |(_, current)| *current);
    format!("{current}{rest}")
}

/// Initializes logging. Dropping the guard writes the buffered lines, unless standard error accepts none.
pub fn start(options: &Options) -> WorkerGuard {
    let filter = EnvFilter::try_new(with_current_targets(&options.log)).unwrap_or_else(|error| {
        super::print_error(format_args!("--log: {error}; using the level `warn`"));
        EnvFilter::new("warn")
    });
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stderr());
    let colours = std::io::stderr().is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_ansi(colours).with_writer(writer);
    // Errors of the log writer would be printed on standard error as well, which panics if that has failed.
    let logs = logs.log_internal_errors(false);
    match options.log_format {
        Format::Text => logs.init(),
        Format::Json => logs.json().init(),
    }
    guard
}
