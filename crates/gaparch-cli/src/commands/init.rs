//! `gaparch init`

use crate::Outcome;
use clap::Args;
use gaparch_setup::init::{files, Answers, Engine, File, Place, Secrets};
use std::io::{BufRead, IsTerminal, Write};
use std::net::SocketAddr;
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::str::FromStr;

#[derive(Debug, Args)]
pub struct Options {
    /// The folder that the files go to
    #[arg(default_value = ".")]
    folder: PathBuf,
    /// The router's name
    #[arg(long)]
    name: Option<String>,
    /// Where clients come in
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// An engine, as write-1=write@127.0.0.1:7201/rack-a; may be given again and again
    #[arg(long = "engine")]
    engines: Vec<Engine>,
    /// The list service, if there is one
    #[arg(long)]
    list: Option<SocketAddr>,
    /// An address of loopback for operators, besides the local socket
    #[arg(long)]
    operations: Option<SocketAddr>,
    #[arg(long, default_value_t = 200_000)]
    reader_tokens: u32,
    #[arg(long, default_value_t = 130_000)]
    writer_tokens: u32,
    /// How soon a first token is wanted, in milliseconds
    #[arg(long, default_value_t = 1500)]
    aim: u32,
    /// When a client without one is answered for, in milliseconds
    #[arg(long, default_value_t = 8000)]
    deadline: u32,
    /// The user of the service unit
    #[arg(long, default_value = "gaparch")]
    user: String,
    /// Ask nothing; what is not told is as by default
    #[arg(long)]
    no_questions: bool,
}

pub fn run(options: Options) -> Outcome {
    let asks = !options.no_questions && std::io::stdin().is_terminal();
    let listen = SocketAddr::from(([127, 0, 0, 1], 8080));
    let mut answers = Answers {
        name: options.name.clone().unwrap_or_else(|| "router-1".to_owned()),
        listen: options.listen.unwrap_or(listen),
        engines: options.engines,
        list: options.list,
        memory: (options.reader_tokens, options.writer_tokens),
        aim_ms: options.aim,
        deadline_ms: options.deadline,
        operations: options.operations,
    };
    if asks {
        if options.name.is_none() {
            answers.name = ask("The router's name", &answers.name)?;
        }
        if options.listen.is_none() {
            answers.listen = ask("Where clients come in", &answers.listen)?;
        }
        if answers.engines.is_empty() && answers.list.is_none() {
            println!("Engines, one a line, as write-1=write@127.0.0.1:7201/rack-a; an empty line ends them.");
            while let Some(engine) = ask_or_end::<Engine>("Engine")? {
                answers.engines.push(engine);
            }
        }
    }
    if answers.engines.is_empty() && answers.list.is_none() {
        return Err(
            "init: neither an --engine nor a --list: the router would have nothing to route to".into()
        );
    }
    let secrets = Secrets { tenant: secret()?, office: secret()?, wall: secret()? };
    make_folder(&options.folder)?;
    let folder = std::fs::canonicalize(&options.folder)?;
    let place = Place {
        program: std::env::current_exe()?.display().to_string(),
        folder: folder.display().to_string(),
        user: options.user,
    };
    let files = files(&answers, &secrets, &place).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(|p| format!("init: {p}")).collect();
        lines.join("\n")
    })?;
    // All or none: nothing that is there is written over.
    if let Some(there) = files.iter().find(|f| folder.join(f.name).exists()) {
        let path = folder.join(there.name);
        return Err(format!("init: {} is there already; nothing was written", path.display()).into());
    }
    for file in &files {
        write(&folder, file)?;
        let secret = if file.secret { " (for you alone: mode 600)" } else { "" };
        println!("wrote {}{secret}", folder.join(file.name).display());
    }
    println!(
        "\nNext:\n  gaparch doctor {0}/gaparch.xml\n  gaparch serve {0}/gaparch.xml\n  gaparch console --settings {0}/gaparch.xml",
        folder.display()
    );
    Ok(ExitCode::SUCCESS)
}

/// 192 bits of the system's randomness, in hexadecimal.
fn secret() -> Result<String, String> {
    let mut bytes = [0; 24];
    getrandom::fill(&mut bytes).map_err(|e| format!("init: no randomness for keys: {e}"))?;
    Ok(bytes.iter().map(|b| format!("{b:02x}")).collect())
}

fn make_folder(folder: &Path) -> Result<(), String> {
    let made = std::fs::DirBuilder::new().recursive(true).mode(0o700).create(folder);
    made.map_err(|e| format!("init: {}: {e}", folder.display()))
}

fn write(folder: &Path, file: &File) -> Result<(), String> {
    let path = folder.join(file.name);
    let wrong = |e: std::io::Error| format!("init: {}: {e}", path.display());
    let mode = if file.secret { 0o600 } else { 0o644 };
    let mut options = std::fs::OpenOptions::new();
    // A file that is there by now is not written over either.
    let mut out = options.write(true).create_new(true).mode(mode).open(&path).map_err(wrong)?;
    out.write_all(file.content.as_bytes()).and_then(|()| out.sync_all()).map_err(wrong)
}

fn line(question: &str) -> std::io::Result<String> {
    print!("{question}: ");
    std::io::stdout().flush()?;
    let mut line = String::new();
    std::io::stdin().lock().read_line(&mut line)?;
    Ok(line.trim().to_owned())
}

/// Asks until the answer makes sense; an empty one is the default.
fn ask<T: FromStr + std::fmt::Display + Clone>(question: &str, default: &T) -> std::io::Result<T>
where
    T::Err: std::fmt::Display,
{
    loop {
        let text = line(&format!("{question} [{default}]"))?;
        if text.is_empty() {
            return Ok(default.clone());
        }
        match text.parse() {
            Ok(value) => return Ok(value),
            Err(error) => println!("{error}"),
        }
    }
}

fn ask_or_end<T: FromStr>(question: &str) -> std::io::Result<Option<T>>
where
    T::Err: std::fmt::Display,
{
    loop {
        let text = line(question)?;
        if text.is_empty() {
            return Ok(None);
        }
        match text.parse() {
            Ok(value) => return Ok(Some(value)),
            Err(error) => println!("{error}"),
        }
    }
}
