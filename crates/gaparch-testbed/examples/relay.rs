//! What the router's own work costs: requests and tokens a second, and the time to the first token, against a
//! relay that decides nothing, in turns within one run, over the same stand-in engines.
//!
//! `cargo run --release -p gaparch-testbed --example relay`

use gaparch_testbed::load::{closed, Client, Patience, Question};
use gaparch_testbed::plain_relay::PlainRelay;
use gaparch_testbed::record::Record;
use gaparch_testbed::site::{Plan, Site};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

static NUMBER: AtomicU64 = AtomicU64::new(1);

fn question(site: &Site, address: SocketAddr, tokens: u32) -> Question {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    Question { address, patience: Patience::Stays, prompt_tokens: 50, ..site.question(number, tokens) }
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
    let plan = Plan::small(2, 4).quick();
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
            let ask = || question(&site, address, 60);
            let summary = closed(&client, 256, Duration::from_secs(3), ask).await;
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
