//! What the router's own work costs: requests and tokens a second, and the time to the first token, against a
//! relay that decides nothing, in turns within one run, over the same stand-in engines.
//!
//! `cargo run --release -p gaparch-lab --example relay`

use gaparch_engine::EngineSpec;
use gaparch_lab::load::{Client, Patience, Question, Summary};
use gaparch_lab::plain_relay::PlainRelay;
use gaparch_lab::record::Record;
use gaparch_lab::site::{Plan, Site};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

static NUMBER: AtomicU64 = AtomicU64::new(1);

fn question(site: &Site, address: SocketAddr, tokens: u32) -> Question {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    Question { address, patience: Patience::Stays, prompt_tokens: 50, ..site.question(number, tokens) }
}

/// So many clients, each with one question after the other.
async fn closed(
    site: &Site,
    client: &Client,
    address: SocketAddr,
    clients: usize,
    span: Duration,
) -> Summary {
    let began = Instant::now();
    let tasks: Vec<_> = (0..clients)
        .map(|_| {
            let client = client.clone();
            let questions: Vec<Question> =
                (0..20_000 / clients).map(|_| question(site, address, 60)).collect();
            tokio::spawn(async move {
                let mut answers = Vec::new();
                for question in questions {
                    if began.elapsed() >= span {
                        break;
                    }
                    answers.push(client.put(question).await);
                }
                answers
            })
        })
        .collect();
    let mut summary = Summary::default();
    for task in tasks {
        task.await.iter().flatten().for_each(|answered| summary.add(answered));
    }
    summary.took = began.elapsed();
    summary
}

/// Questions at even gaps; times to the first token in microseconds.
async fn paced(site: &Site, client: &Client, address: SocketAddr, rate: f64, count: usize) -> Vec<u64> {
    let began = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    for n in 0..count {
        tokio::time::sleep_until(began + Duration::from_secs_f64(n as f64 / rate)).await;
        let (client, question) = (client.clone(), question(site, address, 60));
        tasks.push(tokio::spawn(async move { client.put(question).await }));
    }
    let mut times = Vec::new();
    for task in tasks {
        let first = task.await.ok().and_then(|a| a.first_after);
        times.extend(first.map(|t| u64::try_from(t.as_micros()).unwrap_or(u64::MAX)));
    }
    times.sort_unstable();
    times
}

#[tokio::main]
async fn main() {
    let quick = |spec: EngineSpec| EngineSpec {
        slots: 4096,
        queue: 4096,
        memory: 50_000_000,
        read_rate: 50_000_000.0,
        step: 1_000_000,
        step_per_answer: 0,
        near_rate: 1e9,
        far_rate: 1e9,
        ..spec
    };
    let plan = Plan::small(2, 4);
    let plan = Plan { engines: plan.engines.into_iter().map(quick).collect(), ..plan };
    let site = Site::start(plan).await.expect("a site");
    site.settle().await;
    let relay = PlainRelay::start(&site).await.expect("a relay");
    let record = Record::default();
    let client = Client { record, ..site.client().expect("a client") };
    let client = Client { dialect: Arc::clone(&client.dialect), ..client };
    let places = [("plain", relay.address()), ("router", site.address(0))];
    let mut most = f64::MAX;
    for round in 0..3 {
        let mut rates = Vec::new();
        for (name, address) in places {
            let summary = closed(&site, &client, address, 256, Duration::from_secs(3)).await;
            let seconds = summary.took.as_secs_f64();
            let (requests, tokens) = (summary.served as f64 / seconds, summary.tokens as f64 / seconds);
            println!(
                "round {round} {name:>6}: {requests:.0} requests, {tokens:.0} tokens a second; {} not served",
                summary.asked - summary.served
            );
            rates.push(requests);
        }
        println!("round {round} router to plain: {:.3}", rates[1] / rates[0]);
        most = most.min(rates[1]);
    }
    for (name, address) in places {
        let times = paced(&site, &client, address, most / 2.0, (most * 1.5) as usize).await;
        let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
        println!(
            "half load {name:>6}: first token us at 50%, 90%, 99%: {}, {}, {}",
            at(0.5),
            at(0.9),
            at(0.99)
        );
    }
    let lag = site.router(0).map(|r| r.lag());
    println!("owner: {lag:?}");
}
