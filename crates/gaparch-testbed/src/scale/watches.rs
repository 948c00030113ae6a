//! What watches cost the catalogue: many of them, each told a change and a whole list.

use super::real::{watch_once, ListedWorker, ScaleCatalogue};
use super::report::{Axis, Figure, Point, Way};
use super::{target, Row};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

const PATIENCE: Duration = Duration::from_secs(60);

/// Nobody calls them.
fn listed(workers: usize) -> Vec<ListedWorker> {
    let address = |number: usize| SocketAddr::from(([127, 0, (number >> 8) as u8, number as u8], 8_443));
    (0..workers).map(|number| ListedWorker::new(number, target::ZONES, address(number))).collect()
}

/// The figures of the row "list" that count watches, on a list of so many workers.
///
/// # Errors
/// When an address is not to be had, or a watch does not hear of a change.
pub async fn figures(sizes: &[usize], workers: usize, mut step: impl FnMut()) -> io::Result<Vec<Figure>> {
    let figure = |name, unit, budget| {
        let of_watches = Figure::new(Row::List, name, unit, Way::HollowWatchers, budget);
        Figure { axis: Axis::Watches, ..of_watches }
    };
    let in_force = Some(target::IN_FORCE_WITHIN_S * 1e3);
    let mut change_ms = figure("one change to the last watch", "ms", in_force);
    let mut change_bytes = figure("bytes that one change costs the catalogue", "B", None);
    let mut outage_ms = figure("whole lists after an outage to the last watch", "ms", in_force);
    let mut outage_bytes = figure("bytes of those", "B", None);
    for size in sizes {
        let catalogue = ScaleCatalogue::start(listed(workers)).await?;
        let mut watching = JoinSet::new();
        (0..*size).for_each(|_| drop(watching.spawn(watch_once(catalogue.address))));
        let known = catalogue.known_by(1, *size, PATIENCE).await;
        known.ok_or_else(|| io::Error::new(io::ErrorKind::TimedOut, "the watches have not begun"))?;
        let point = |value| Point { size: *size, seed: 0, value };
        let (ms, bytes) = told(&catalogue, *size, |c| c.set(&[ListedWorker::id_of(0)], "draining")).await?;
        change_ms.points.push(point(ms));
        change_bytes.points.push(point(bytes));
        let (ms, bytes) = told(&catalogue, *size, ScaleCatalogue::forget_changes).await?;
        outage_ms.points.push(point(ms));
        outage_bytes.points.push(point(bytes));
        step();
    }
    Ok(vec![change_ms, change_bytes, outage_ms, outage_bytes])
}

/// Milliseconds until the last watch knows of a change, and what it cost in bytes.
async fn told(
    catalogue: &ScaleCatalogue,
    watches: usize,
    change: impl FnOnce(&ScaleCatalogue) -> u64,
) -> io::Result<(f64, f64)> {
    let (bytes, written) = (catalogue.counts().bytes, Instant::now());
    let generation = change(catalogue);
    let known = catalogue.known_by(generation, watches, PATIENCE).await;
    let known = known.ok_or_else(|| io::Error::new(io::ErrorKind::TimedOut, "a watch has not heard"))?;
    let ms = known.saturating_duration_since(written).as_secs_f64() * 1e3;
    Ok((ms, (catalogue.counts().bytes - bytes) as f64))
}
