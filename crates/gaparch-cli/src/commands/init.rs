//! `gaparch init`

use crate::CommandResult;
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
    /// Directory that the files are written to
    #[arg(default_value = ".")]
    folder: PathBuf,
    /// Name of the router
    #[arg(long)]
    name: Option<String>,
    /// Address on which the router accepts clients
    #[arg(long)]
    listen: Option<SocketAddr>,
    /// An engine, such as write-1=write@127.0.0.1:7201/rack-a; can be repeated
    #[arg(long = "engine")]
    engines: Vec<Engine>,
    /// Address of the list service, if there is one
    #[arg(long)]
    list: Option<SocketAddr>,
    /// Loopback address for operators, in addition to the local socket
    #[arg(long)]
    operations: Option<SocketAddr>,
    #[arg(long, default_value_t = 200_000)]
    reader_tokens: u32,
    #[arg(long, default_value_t = 130_000)]
    writer_tokens: u32,
    /// Latency objective for the first token, in milliseconds
    #[arg(long, default_value_t = 1500)]
    aim: u32,
    /// Deadline of requests that have none of their own, in milliseconds
    #[arg(long, default_value_t = 8000)]
    deadline: u32,
    /// User that the service unit runs as
    #[arg(long, default_value = "gaparch")]
    user: String,
    /// Do not prompt; options that are not given have their defaults
    #[arg(long)]
    no_questions: bool,
}

pub fn run(options: Options) -> CommandResult {
    let interactive = !options.no_questions && std::io::stdin().is_terminal();
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
    if interactive {
        if options.name.is_none() {
            answers.name = prompt("Name of the router", &answers.name)?;
        }
        if options.listen.is_none() {
            answers.listen = prompt("Address for clients", &answers.listen)?;
        }
        if answers.engines.is_empty() && answers.list.is_none() {
            println!(
                "Engines, one per line, such as write-1=write@127.0.0.1:7201/rack-a; \
                 finish with an empty line."
            );
            while let Some(engine) = prompt_optional::<Engine>("Engine")? {
                answers.engines.push(engine);
            }
        }
    }
    if answers.engines.is_empty() && answers.list.is_none() {
        return Err("init: no --engine and no --list: the router would have no engines".into());
    }
    let secrets = Secrets { tenant: generate_key()?, office: generate_key()?, wall: generate_key()? };
    create_directory(&options.folder)?;
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
    // Writes all files or none: existing files are not overwritten.
    if let Some(existing) = files.iter().find(|f| folder.join(f.name).exists()) {
        let path = folder.join(existing.name);
        return Err(format!("init: {} already exists; no files were written", path.display()).into());
    }
    for file in &files {
        write(&folder, file)?;
        let secret = if file.secret { " (mode 600)" } else { "" };
        println!("wrote {}{secret}", folder.join(file.name).display());
    }
    println!(
        "\nNext:\n  gaparch doctor {0}/gaparch.xml\n  gaparch serve {0}/gaparch.xml\n  \
         gaparch console --settings {0}/gaparch.xml",
        folder.display()
    );
    Ok(ExitCode::SUCCESS)
}

/// Generates a key: 192 random bits from the system, in hexadecimal.
fn generate_key() -> Result<String, String> {
    let mut bytes = [0; 24];
    getrandom::fill(&mut bytes).map_err(|e| format!("init: cannot get random bytes for keys: {e}"))?;
    Ok(bytes.iter().map(|b| format!("{b:02x}")).collect())
}

fn create_directory(folder: &Path) -> Result<(), String> {
    let made = std::fs::DirBuilder::new().recursive(true).mode(0o700).create(folder);
    made.map_err(|e| format!("init: {}: {e}", folder.display()))
}

fn write(folder: &Path, file: &File) -> Result<(), String> {
    let path = folder.join(file.name);
    let with_path = |e: std::io::Error| format!("init: {}: {e}", path.display());
    let mode = if file.secret { 0o600 } else { 0o644 };
    let mut options = std::fs::OpenOptions::new();
    // Does not overwrite a file that was created since the check either.
    let mut out = options.write(true).create_new(true).mode(mode).open(&path).map_err(with_path)?;
    out.write_all(file.content.as_bytes()).and_then(|()| out.sync_all()).map_err(with_path)
}

fn read_answer(question: &str) -> std::io::Result<String> {
    print!("{question}: ");
    std::io::stdout().flush()?;
    let mut answer = String::new();
    std::io::stdin().lock().read_line(&mut answer)?;
    Ok(answer.trim().to_owned())
}

/// Prompts until the answer can be parsed; an empty answer selects the default.
fn prompt<T: FromStr + std::fmt::Display + Clone>(question: &str, default: &T) -> std::io::Result<T>
where
    T::Err: std::fmt::Display,
{
    loop {
        let text = read_answer(&format!("{question} [{default}]"))?;
        if text.is_empty() {
            return Ok(default.clone());
        }
        match text.parse() {
            Ok(value) => return Ok(value),
            Err(error) => println!("{error}"),
        }
    }
}

/// Prompts until the answer can be parsed; an empty answer is `None`.
fn prompt_optional<T: FromStr>(question: &str) -> std::io::Result<Option<T>>
where
    T::Err: std::fmt::Display,
{
    loop {
        let text = read_answer(question)?;
        if text.is_empty() {
            return Ok(None);
        }
        match text.parse() {
            Ok(value) => return Ok(Some(value)),
            Err(error) => println!("{error}"),
        }
    }
}
