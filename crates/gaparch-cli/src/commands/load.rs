//! `gaparch load`

use crate::CommandResult;
use clap::Args;
use gaparch_net::Clock;
use gaparch_protocol::client::Dialect;
use gaparch_testbed::load::{self, Mix};
use gaparch_testbed::record::Record;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

#[derive(Debug, Args)]
pub struct Options {
    /// Address of the router
    #[arg(long, default_value = "127.0.0.1:8080")]
    address: SocketAddr,
    /// Requests per second
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Duration in seconds
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Dialect of the listener: own or messages
    #[arg(long, default_value = "own", value_parser = ["own", "messages"])]
    dialect: String,
    /// Traffic class of the requests
    #[arg(long, default_value = "question")]
    class: String,
    /// Key of a tenant
    #[arg(long)]
    key: Option<String>,
    /// Tokens of a prompt
    #[arg(long, default_value_t = 800)]
    prompt: u32,
    /// Tokens of an answer
    #[arg(long, default_value_t = 60)]
    answer: u32,
}

pub async fn run(options: Options) -> CommandResult {
    if !(0.01..=10_000.0).contains(&options.rate) {
        return Err("--rate: must be from 0.01 to 10000 requests per second".into());
    }
    let dialect = Dialect::builtin(&options.dialect).ok_or("unknown dialect")?;
    let client =
        load::Client { clock: Clock::default(), record: Record::default(), dialect: Arc::new(dialect) };
    let mix = Mix {
        rate: options.rate,
        seconds: Duration::from_secs(options.seconds),
        seed: options.seed,
        class: options.class,
        key: options.key,
        prompt_tokens: options.prompt,
        answer_tokens: options.answer,
    };
    let summary = load::run_mix(&client, &mix, options.address).await;
    print!("{summary}");
    Ok(ExitCode::SUCCESS)
}
