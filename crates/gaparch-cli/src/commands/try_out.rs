//! `gaparch try`

use crate::CommandResult;
use clap::Args;
use gaparch_testbed::load::{stream_events, Patience, Question};
use gaparch_testbed::record::Ask;
use gaparch_testbed::site::{Plan, Site};
use std::process::ExitCode;

#[derive(Debug, Args)]
pub struct Options {
    /// Dialect of the events: own or messages
    #[arg(long, default_value = "own", value_parser = ["own", "messages"])]
    dialect: String,
    /// Number of tokens of the answer
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=400))]
    tokens: u32,
}

pub async fn run(options: Options) -> CommandResult {
    let dialect = if options.dialect == "own" { "own" } else { "messages" };
    let site = Site::start(Plan { dialect, ..Plan::small(2, 2) }).await?;
    site.settle().await;
    let address = site.address(0);
    println!("gaparch: router at http://{address} with two read engines and two write engines in two racks");
    let question = Question {
        ask: Ask(1),
        router: Site::router_name(0),
        address,
        key: None,
        class: 0,
        class_name: "question".to_owned(),
        tenant: 0,
        session: Some("try".to_owned()),
        prefix: None,
        prompt_tokens: 600,
        max_tokens: 400,
        answer_tokens: options.tokens,
        stream: true,
        aim: 0,
        deadline: 0,
        patience: Patience::Stays,
    };
    println!("POST /v1/messages\n{}\n", gaparch_testbed::load::body(&question));
    let mut last = String::new();
    let status = stream_events(&question, |event| {
        println!("event: {}\ndata: {}\n", event.name, event.data);
        last.clone_from(&event.name);
    })
    .await?;
    let path = path_of(&site);
    println!("gaparch: status {status}; the request was {path}");
    let complete = matches!(last.as_str(), "closed" | "message_stop");
    Ok(if complete { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Describes which engines processed the request, from the traffic that they recorded.
fn path_of(site: &Site) -> String {
    use gaparch_testbed::record::{Seen, What};
    let step = |what: &What| match what {
        What::Frame { engine, seen: Seen::ReadDone { .. }, .. } => Some(format!("read by {engine}")),
        What::Frame { engine, seen: Seen::Outcome { ok: true, .. }, .. } => {
            Some(format!("written by {engine}"))
        }
        _ => None,
    };
    let steps: Vec<String> = site.record.entries().iter().filter_map(|e| step(&e.what)).collect();
    if steps.is_empty() {
        "not processed".to_owned()
    } else {
        steps.join(" and ")
    }
}
