//! Measures the cost of counting sends on the hot path:
//! `cargo run --release -p gaparch-audit --example tally`.

use gaparch_audit::{SendKind, SendTally};
use gaparch_protocol::versions::SendContext;
use std::hint::black_box;
use std::time::Instant;

/// Sends per batch, at about 2,000 requests a second.
const BATCH: u64 = 1_000;
const ROUNDS: u64 = 2_000;

fn main() {
    let engines = 110;
    let mut record_ns = Vec::new();
    let mut take_us = Vec::new();
    for round in 0..ROUNDS {
        let mut tally = SendTally::default();
        let started = Instant::now();
        for n in 0..BATCH {
            tally.record(black_box((n * 7 % engines) as u32), SendKind::Prefill, n, 1, round * BATCH + n);
        }
        record_ns.push(started.elapsed().as_nanos() as f64 / BATCH as f64);
        let started = Instant::now();
        black_box(tally.take(SendContext::default(), round, |engine| format!("engine-{engine}")));
        take_us.push(started.elapsed().as_nanos() as f64 / 1_000.0);
    }
    let median_and_p99 = |all: &mut Vec<f64>| {
        all.sort_by(f64::total_cmp);
        (all[all.len() / 2], all[all.len() * 99 / 100])
    };
    let (record, record_99) = median_and_p99(&mut record_ns);
    let (take, take_99) = median_and_p99(&mut take_us);
    println!(
        "recording a send: median {record:.0} ns, 99th percentile {record_99:.0} ns (of batches of {BATCH})"
    );
    println!("taking a batch: median {take:.1} us, 99th percentile {take_99:.1} us");
}
