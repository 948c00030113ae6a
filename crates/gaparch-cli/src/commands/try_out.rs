//! `gaparch try`

use crate::Outcome;
use clap::Args;
use gaparch_testbed::load::{stream_events, Patience, Question};
use gaparch_testbed::record::Ask;
use gaparch_testbed::site::{Plan, Site};
use std::process::ExitCode;

#[derive(Debug, Args)]
pub struct Options {
    /// Names of the events: own or messages
    #[arg(long, default_value = "own", value_parser = ["own", "messages"])]
    dialect: String,
    /// Tokens of the answer
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u32).range(1..=400))]
    tokens: u32,
}

pub async fn run(options: Options) -> Outcome {
    let dialect = if options.dialect == "own" { "own" } else { "messages" };
    let site = Site::start(Plan { dialect, ..Plan::small(2, 2) }).await?;
    site.settle().await;
    let address = site.address(0);
    println!("gaparch: a router at http://{address}, two readers and two writers in two racks");
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
    println!("gaparch: status {status}; it was {path}");
    let whole = matches!(last.as_str(), "closed" | "message_stop");
    Ok(if whole { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// The engines that did it, by what they saw on their sockets.
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
        "not done".to_owned()
    } else {
        steps.join(" and ")
    }
}
