//! `gaparch demo`

use crate::Outcome;
use clap::Args;
use gaparch_testbed::demo::{play, Session};
use gaparch_testbed::terminal::Piece;
use std::io::{IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// A pause in a recording that is played is at most so long.
const MOST_PAUSE: Duration = Duration::from_secs(3);

#[derive(Debug, Args)]
pub struct Options {
    /// Write a recording (asciicast, version 2)
    #[arg(long)]
    record: Option<PathBuf>,
    /// Play a recording in this terminal instead
    #[arg(long, conflicts_with = "record")]
    play: Option<PathBuf>,
    /// Do not show the session, only what came of it
    #[arg(long)]
    quiet: bool,
    /// Between two things that the operator does, in milliseconds
    #[arg(long, default_value_t = 1200, value_parser = clap::value_parser!(u64).range(0..=10_000))]
    pause: u64,
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u16).range(80..=300))]
    columns: u16,
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u16).range(24..=100))]
    lines: u16,
}

pub async fn run(options: Options) -> Outcome {
    if let Some(file) = &options.play {
        return replay(file).await;
    }
    let program = std::env::current_exe()?;
    let show = !options.quiet && std::io::stdout().is_terminal();
    let seen = move |bytes: &[u8]| {
        if show {
            let mut out = std::io::stdout();
            // Who can't see it can still have the recording.
            let _ = out.write_all(bytes).and_then(|()| out.flush());
        }
    };
    let size = (options.columns, options.lines);
    let session = Session { size, pause: Duration::from_millis(options.pause) };
    let played = play(&program, session, seen).await;
    if show {
        // Out of the other screen, with a cursor, whatever the killed console left.
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
        "the drain was shown as kept {} ms after the key; {} requests ended meanwhile, {} of them served",
        played.drain_shown.as_millis(),
        played.requests,
        played.served
    );
    Ok(ExitCode::SUCCESS)
}

/// A recording as asciicast, version 2: a head, then a line for each piece of output.
fn cast(pieces: &[Piece], size: (u16, u16)) -> Result<String, serde_json::Error> {
    let head =
        serde_json::json!({ "version": 2, "width": size.0, "height": size.1, "title": "gaparch demo" });
    let mut text = head.to_string() + "\n";
    // A character may be cut between two pieces.
    let mut rest: Vec<u8> = Vec::new();
    for (at, bytes) in pieces {
        rest.extend_from_slice(bytes);
        let whole = match std::str::from_utf8(&rest) {
            Ok(_) => rest.len(),
            Err(error) => error.valid_up_to(),
        };
        let data = String::from_utf8_lossy(&rest[..whole]).into_owned();
        rest.drain(..whole);
        text += &serde_json::to_string(&(at.as_secs_f64(), "o", data))?;
        text.push('\n');
    }
    Ok(text)
}

async fn replay(file: &Path) -> Outcome {
    let wrong = |line: usize, what: &str| format!("{}: line {line}: {what}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
    let mut lines = text.lines().enumerate();
    let head = lines.next().and_then(|(_, line)| serde_json::from_str::<serde_json::Value>(line).ok());
    if head.as_ref().and_then(|h| h["version"].as_u64()) != Some(2) {
        return Err(wrong(1, "no head of an asciicast of version 2").into());
    }
    let mut out = std::io::stdout();
    let mut last = 0.0;
    for (n, line) in lines {
        let (at, kind, data): (f64, String, String) =
            serde_json::from_str(line).map_err(|e| wrong(n + 1, &e.to_string()))?;
        let pause = Duration::try_from_secs_f64(at - last).unwrap_or(Duration::ZERO);
        last = at;
        tokio::time::sleep(pause.min(MOST_PAUSE)).await;
        if kind == "o" {
            out.write_all(data.as_bytes())?;
            out.flush()?;
        }
    }
    print!("\x1b[?1049l\x1b[?25h\x1b[0m\r\n");
    Ok(ExitCode::SUCCESS)
}
