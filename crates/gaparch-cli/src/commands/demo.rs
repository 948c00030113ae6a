//! `gaparch demo`

use crate::CommandResult;
use clap::Args;
use gaparch_testbed::demo::{play, Session};
use gaparch_testbed::terminal::Piece;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Longest pause between two pieces of output when a recording is played.
const MAX_PAUSE: Duration = Duration::from_secs(3);

#[derive(Debug, Args)]
pub struct Options {
    /// Write a recording of the session (asciicast, version 2) to this file
    #[arg(long)]
    record: Option<PathBuf>,
    /// Play a recording in this terminal instead of a session
    #[arg(long, conflicts_with = "record")]
    play: Option<PathBuf>,
    /// Do not show the session, only its results
    #[arg(long)]
    quiet: bool,
    /// Pause between two operator actions, in milliseconds
    #[arg(long, default_value_t = 1200, value_parser = clap::value_parser!(u64).range(0..=10_000))]
    pause: u64,
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u16).range(80..=300))]
    columns: u16,
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u16).range(24..=100))]
    lines: u16,
}

pub async fn run(options: Options) -> CommandResult {
    if let Some(file) = &options.play {
        return replay(file).await;
    }
    let program = std::env::current_exe()?;
    let show = !options.quiet && std::io::stdout().is_terminal();
    let on_output = move |bytes: &[u8]| {
        if show {
            let mut out = std::io::stdout();
            // A closed standard output must not prevent the recording.
            let _ = out.write_all(bytes).and_then(|()| out.flush());
        }
    };
    let size = (options.columns, options.lines);
    let session = Session { size, pause: Duration::from_millis(options.pause) };
    let played = play(&program, session, on_output).await;
    if show {
        // Leaves the alternate screen and restores the cursor and colours if the killed console did not.
        print!("\x1b[?1049l\x1b[?25h\x1b[0m\r\n");
    }
    let played = played?;
    if let Some(file) = &options.record {
        let text = cast(&played.pieces, size)?;
        std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    for step in &played.steps {
        println!("{step}");
    }
    println!(
        "the drain was shown as persisted {} ms after the key press; meanwhile {} requests ended, \
         {} of them served",
        played.drain_shown.as_millis(),
        played.requests,
        played.served
    );
    Ok(ExitCode::SUCCESS)
}

/// Encodes a recording as asciicast, version 2: a header line, then a line for each piece of output.
fn cast(pieces: &[Piece], size: (u16, u16)) -> Result<String, serde_json::Error> {
    let header =
        serde_json::json!({ "version": 2, "width": size.0, "height": size.1, "title": "gaparch demo" });
    let mut text = header.to_string() + "\n";
    // A UTF-8 character may be split between two pieces.
    let mut pending: Vec<u8> = Vec::new();
    for (at, bytes) in pieces {
        pending.extend_from_slice(bytes);
        let valid = match std::str::from_utf8(&pending) {
            Ok(_) => pending.len(),
            Err(error) => error.valid_up_to(),
        };
        let data = String::from_utf8_lossy(&pending[..valid]).into_owned();
        pending.drain(..valid);
        text += &serde_json::to_string(&(at.as_secs_f64(), "o", data))?;
        text.push('\n');
    }
    Ok(text)
}

async fn replay(file: &Path) -> CommandResult {
    let error_at = |line: usize, message: &str| format!("{}: line {line}: {message}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let mut lines = text.lines().enumerate();
    let header = lines.next().and_then(|(_, line)| serde_json::from_str::<serde_json::Value>(line).ok());
    if header.as_ref().and_then(|h| h["version"].as_u64()) != Some(2) {
        return Err(error_at(1, "not an asciicast version 2 header").into());
    }
    let mut out = std::io::stdout();
    let mut last = 0.0;
    for (n, line) in lines {
        let (at, kind, data): (f64, String, String) =
            serde_json::from_str(line).map_err(|e| error_at(n + 1, &e.to_string()))?;
        let pause = Duration::try_from_secs_f64(at - last).unwrap_or(Duration::ZERO);
        last = at;
        tokio::time::sleep(pause.min(MAX_PAUSE)).await;
        if kind == "o" {
            out.write_all(data.as_bytes())?;
            out.flush()?;
        }
    }
    print!("\x1b[?1049l\x1b[?25h\x1b[0m\r\n");
    Ok(ExitCode::SUCCESS)
}
