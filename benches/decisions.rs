//! Criterion benchmark of a request event in the scheduler: `cargo bench --bench decisions`.

mod driver;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use driver::Simulation;
use std::time::Duration;

fn decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request event");
    group.sample_size(20);
    for (count, queued) in [(14, 0), (110, 0), (400, 0), (14, 500), (14, 5000)] {
        let mut simulation = Simulation::with_queued(count, queued);
        let id = BenchmarkId::from_parameter(format!("{count} engines, {queued} held"));
        // `step` also advances the simulation to the next request, which is not part of the measured time.
        group.bench_function(id, |bencher| {
            bencher.iter_custom(|iterations| {
                Duration::from_nanos((0..iterations).map(|_| simulation.step(count)).sum())
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
