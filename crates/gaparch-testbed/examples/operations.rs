//! What the operations side costs and how quick it is, all in one run:
//!
//! - drains under full load, from the order to the acknowledgement and to the last new frame;
//! - requests a second with 0, 1 and 10 subscribers, in turns;
//! - orders kept a second, on a real folder; a start with a million records; the ledger at its bound.
//!
//! `cargo run --release -p gaparch-testbed --example operations`; with `subscribers` or `ledger` after it only
//! these

use gaparch_engine::observe::Way;
use gaparch_net::{Incoming, OpsClient};
use gaparch_ops::{read_change, OrderRegistry, CHANGE_SCHEMA};
use gaparch_ops::{OutcomeLog, OutcomeLogLimits};
use gaparch_protocol::ops::intent::{AcceptedChange, Change, ChangeNote, DrainMode};
use gaparch_protocol::ops::outcome::{
    AttemptEnd, AttemptRecord, EngineEvidence, GlobalRequestId, OutcomeCause, OutcomeKind, RequestOutcome,
};
use gaparch_protocol::ops::{to_bytes, Answer, Query};
use gaparch_store::{Journal, StateDirectory};
use gaparch_testbed::load::{closed, Client, Question};
use gaparch_testbed::record::{Record, Seen, What};
use gaparch_testbed::site::{Plan, Site};
use hdrhistogram::Histogram;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

static NUMBER: AtomicU64 = AtomicU64::new(1);

fn question(site: &Site, tokens: u32) -> Question {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    Question { prompt_tokens: 50, ..site.question(number, tokens) }
}

fn show(name: &str, histogram: &Histogram<u64>) {
    let at = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
    println!(
        "{name}: ms at 50%, 90%, 99%, most: {:.1}, {:.1}, {:.1}, {:.1} of {}",
        at(0.5),
        at(0.9),
        at(0.99),
        histogram.max() as f64 / 1000.0,
        histogram.len()
    );
}

/// A subscriber that reads all it is told.
async fn subscriber(site: &Site) -> tokio::task::JoinHandle<u64> {
    let mut client: OpsClient = site.operator(0).await.expect("in").client;
    client.send(Query::Subscribe {}).await.expect("asked");
    tokio::spawn(async move {
        let mut updates = 0;
        while let Ok(Incoming::Update(_) | Incoming::Answer { .. }) = client.next().await {
            updates += 1;
        }
        updates
    })
}

async fn drains(site: &Site, client: &Client) {
    let mut acknowledged = Histogram::<u64>::new(3).expect("sound");
    let mut last_new = Histogram::<u64>::new(3).expect("sound");
    let watching: Vec<_> = vec![subscriber(site).await, subscriber(site).await];
    let mut operator = site.operator(0).await.expect("in");
    let mut presses = Vec::new();
    let work = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        for n in 0..100 {
            let engine = format!("write-{}", n % 4);
            let (pressed, answer) = operator.drain(&engine).await.expect("answered");
            assert!(matches!(answer, Answer::Done { .. }), "{answer:?}");
            acknowledged.saturating_record((site.clock.now() - pressed) / 1000);
            tokio::time::sleep(Duration::from_millis(100)).await;
            let (freed, _) = operator.undrain(&engine).await.expect("answered");
            presses.push((engine, pressed, freed));
        }
    };
    let load = closed(client, 256, Duration::from_secs(13), || question(site, 60));
    let (summary, ()) = tokio::join!(load, work);
    let entries = site.record.entries();
    for (engine, pressed, freed) in presses {
        let new = |what: &What| match what {
            What::Frame { engine: e, way: Way::In, seen: Seen::Read { .. } | Seen::Write { .. }, .. } => {
                *e == engine
            }
            _ => false,
        };
        let from = entries.partition_point(|e| e.at < pressed);
        let to = entries.partition_point(|e| e.at < freed);
        let last = entries[from..to].iter().rev().find(|e| new(&e.what)).map_or(0, |e| e.at - pressed);
        last_new.saturating_record(last / 1000);
    }
    let rate = summary.served as f64 / summary.took.as_secs_f64();
    println!("under {rate:.0} requests a second served, {} not:", summary.asked - summary.served);
    show("  drain to acknowledgement", &acknowledged);
    show("  drain to last new frame ", &last_new);
    watching.iter().for_each(|w| w.abort());
}

async fn subscribers(site: &Site, client: &Client) {
    // Once as a rehearsal: the record's memory has its size then.
    closed(client, 256, Duration::from_secs(4), || question(site, 60)).await;
    for round in 0..6 {
        let mut rates = [0.0; 3];
        // Each comes first, second and third as often.
        for turn in 0..3 {
            let place = (round + turn) % 3;
            let count = [0, 1, 10][place];
            site.record.forget();
            let mut watching = Vec::new();
            for _ in 0..count {
                watching.push(subscriber(site).await);
            }
            let summary = closed(client, 256, Duration::from_secs(3), || question(site, 60)).await;
            rates[place] = summary.served as f64 / summary.took.as_secs_f64();
            watching.iter().for_each(|w| w.abort());
        }
        println!(
            "round {round}: {:.0} requests a second with no subscriber; with 1: {:.3}, with 10: {:.3} of that",
            rates[0],
            rates[1] / rates[0],
            rates[2] / rates[0]
        );
    }
}

fn taken(revision: u64) -> AcceptedChange {
    let change = Change::Drain { engine: format!("write-{}", revision % 400), mode: DrainMode::Drain };
    let note = ChangeNote {
        operator: "office".to_owned(),
        reason: "a measurement of the store".to_owned(),
        at: revision,
    };
    AcceptedChange { revision, change, note }
}

fn store() {
    let folder = tempfile::tempdir().expect("a folder");
    let (mut journal, _) =
        Journal::open(StateDirectory::open(folder.path()).expect("free"), "intents", CHANGE_SCHEMA)
            .expect("opens");
    journal.rewrite::<Vec<u8>>([]).expect("written");
    let one_by_one = Instant::now();
    (0..2000).for_each(|n| journal.append(&[to_bytes(&taken(n))]).expect("kept"));
    let one_by_one = 2000.0 / one_by_one.elapsed().as_secs_f64();
    let batches = Instant::now();
    for batch in 0..500u64 {
        let records: Vec<Vec<u8>> = (0..64).map(|n| to_bytes(&taken(batch * 64 + n))).collect();
        journal.append(&records).expect("kept");
    }
    let batched = 32_000.0 / batches.elapsed().as_secs_f64();
    println!("store: {one_by_one:.0} orders kept a second one by one, {batched:.0} by 64");
    journal.rewrite((0..1_000_000).map(|n| to_bytes(&taken(n)))).expect("written");
    let bytes = journal.bytes();
    drop(journal);
    let began = Instant::now();
    let folder = StateDirectory::open(folder.path()).expect("free");
    let (mut journal, found) = Journal::open(folder, "intents", CHANGE_SCHEMA).expect("opens");
    let read = began.elapsed();
    let changes = found.records.iter().filter_map(|record| read_change(CHANGE_SCHEMA, record, 0));
    let book = OrderRegistry::restore(changes);
    println!(
        "store: {} records ({} MiB) read in {} ms, the book restored in {} ms in all",
        found.records.len(),
        bytes >> 20,
        read.as_millis(),
        began.elapsed().as_millis()
    );
    journal.rewrite(book.changes().iter().map(to_bytes)).expect("written");
    println!("store: {} KiB once written anew", journal.bytes() >> 10);
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn ledger() {
    let before = resident_kib();
    let mut ledger = OutcomeLog::new(OutcomeLogLimits { max_bytes: 32 << 20 });
    let evidence = |n: u64| {
        let one = |engine: u64| EngineEvidence {
            engine: format!("write-{engine}"),
            avoid_reason: "full".to_owned(),
            memory_utilization: (n / 50) as f64,
            queued_prompt_tokens: 0.0,
            latency_ratio: 1.0,
        };
        (0..24).map(one).collect()
    };
    let step = |n: u64| AttemptRecord {
        engine: format!("read-{}", n % 8),
        stage: gaparch_protocol::ops::outcome::Stage::Prefill,
        sent_after_us: n,
        took_us: 9,
        end: AttemptEnd::Completed,
    };
    let began = Instant::now();
    for n in 0..300_000 {
        let request = GlobalRequestId { run: 1, number: n };
        let ending = RequestOutcome {
            class: "question".to_owned(),
            tenant: "app".to_owned(),
            retry_after_ms: Some(1000),
            attempts: (0..3).map(step).collect(),
            evidence: evidence(n),
            fingerprint: n,
            ..RequestOutcome::without_details(
                request,
                n,
                n,
                OutcomeKind::Rejected,
                OutcomeCause::ObjectiveMissed,
            )
        };
        drop(ledger.add(ending));
    }
    println!(
        "ledger: {} refusals kept of 300,000 in {} MiB by its own count, {} MiB resident more; {:.1} us each",
        ledger.len(),
        ledger.bytes() >> 20,
        (resident_kib() - before) >> 10,
        began.elapsed().as_secs_f64() * 1e6 / 300_000.0
    );
}

#[tokio::main]
async fn main() {
    let only = std::env::args().nth(1);
    if only.as_deref() != Some("subscribers") {
        // First, while no memory was freed that it could use.
        ledger();
    }
    if only.as_deref() == Some("ledger") {
        return;
    }
    if only.is_none() {
        store();
    }
    let plan = Plan { operations: true, ..Plan::small(2, 4).quick() };
    let site = Site::start(plan).await.expect("a site");
    site.settle().await;
    let client = site.client().expect("a client");
    if only.is_none() {
        drains(&site, &client).await;
    }
    let client = Client { record: Record::default(), ..client };
    subscribers(&site, &client).await;
}
