//! Structured logs on standard error, written by a thread of their own: a reader that stalls or has gone, or a full disk
//! behind it, costs lines and nothing else.

use clap::{Args, ValueEnum};
use std::io::IsTerminal;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

#[cfg(test)]
#[path = "logging_tests.rs"]
mod tests;

/// Most lines that wait to be written; more are dropped.
const WAITING_LINES: usize = 4096;

/// Crates that were renamed, with their name now: filters that name the old target still work.
const RENAMED_TARGETS: [(&str, &str); 4] = [
    ("gaparch_node", "gaparch_platform_router"),
    ("gaparch_platform", "gaparch_platform_protocol"),
    ("gaparch_site", "gaparch_platform_settings"),
    ("gaparch_lab", "gaparch_testbed"),
];

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

/// A filter with the targets of renamed crates in place of their old ones.
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

/// Starts the log. What waits when the guard is dropped is still written, unless nobody takes it.
pub fn start(options: &Options) -> WorkerGuard {
    let filter = EnvFilter::try_new(with_current_targets(&options.log)).unwrap_or_else(|error| {
        super::complain(format_args!("--log: {error}; logging warnings"));
        EnvFilter::new("warn")
    });
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(WAITING_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stderr());
    let colours = std::io::stderr().is_terminal() && std::env::var_os("NO_COLOR").is_none();
    let logs = tracing_subscriber::fmt().with_env_filter(filter).with_ansi(colours).with_writer(writer);
    // Its own failures would go to the same place, and panic where that fails.
    let logs = logs.log_internal_errors(false);
    match options.log_format {
        Format::Text => logs.init(),
        Format::Json => logs.json().init(),
    }
    guard
}
