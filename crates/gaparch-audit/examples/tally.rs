//! Measures what recording costs where requests pass: `cargo run --release -p gaparch-audit --example tally`.

use gaparch_audit::{SendKind, SendTally};
use gaparch_protocol::versions::SendContext;
use std::hint::black_box;
use std::time::Instant;

/// SendCounts between two hand-overs, at some 2,000 requests a second.
const BATCH: u64 = 1_000;
const ROUNDS: u64 = 2_000;

fn main() {
    let engines = 110;
    let mut noted = Vec::new();
    let mut handed = Vec::new();
    for round in 0..ROUNDS {
        let mut tally = SendTally::default();
        let began = Instant::now();
        for n in 0..BATCH {
            tally.record(black_box((n * 7 % engines) as u32), SendKind::Prefill, n, 1, round * BATCH + n);
        }
        noted.push(began.elapsed().as_nanos() as f64 / BATCH as f64);
        let began = Instant::now();
        black_box(tally.take(SendContext::default(), round, |engine| format!("engine-{engine}")));
        handed.push(began.elapsed().as_nanos() as f64 / 1_000.0);
    }
    let median = |all: &mut Vec<f64>| {
        all.sort_by(f64::total_cmp);
        (all[all.len() / 2], all[all.len() * 99 / 100])
    };
    let (note, note_99) = median(&mut noted);
    let (hand, hand_99) = median(&mut handed);
    println!("a send noted: {note:.0} ns median, {note_99:.0} ns 99 % (of batches of {BATCH})");
    println!("a hand-over to the record: {hand:.1} us median, {hand_99:.1} us 99 %");
}
