//! Times `Policy::handle` on request events: mean, median and 99th percentile in microseconds, by the number
//! of engines and of queued requests. Absolute times depend on the machine; compare the ratios to the first
//! row.
//!
//! `cargo run --release --example decisions`

#[path = "../benches/driver/mod.rs"]
mod driver;

use driver::Simulation;

/// The mean, median and 99th percentile in microseconds.
fn run(count: u32, queued: usize, samples: usize) -> (f64, f64, f64) {
    let mut simulation = Simulation::with_queued(count, queued);
    let mut times: Vec<u64> = (0..samples).map(|_| simulation.step(count)).collect();
    times.sort_unstable();
    let mean = times.iter().sum::<u64>() as f64 / samples as f64;
    (mean / 1e3, times[samples / 2] as f64 / 1e3, times[samples * 99 / 100] as f64 / 1e3)
}

fn main() {
    println!(
        "{:>8} {:>8} {:>10} {:>10} {:>10} {:>8}",
        "engines", "queued", "mean us", "median us", "99% us", "ratio"
    );
    let mut first_mean = None;
    let rows =
        [(14, 0, 4000), (110, 0, 4000), (400, 0, 2000), (14, 500, 600), (14, 5000, 200), (110, 5000, 200)];
    for (count, queued, samples) in rows {
        let (mean, median, p99) = run(count, queued, samples);
        let base = *first_mean.get_or_insert(mean);
        println!("{count:>8} {queued:>8} {mean:>10.1} {median:>10.1} {p99:>10.1} {:>8.1}", mean / base);
    }
}
