//! What a real router takes: at rest, at its part of the peak and in a storm of list changes; how long a change takes
//! to be in force; and how many of its requests find a kept connection.

use super::real::{load, AnswerPace, HollowWorkers, ListedWorker, NodeProcess, NodeUsage, ScaleCatalogue};
use super::report::{Bound, Figure, Point, Way};
use super::{target, Row};
use std::io;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Real routers of a site; the first is the one that is measured.
pub const ROUTERS: usize = 2;
/// Changes of a storm, and how long it lasts.
const STORM: usize = 100;
const STORM_LASTS: Duration = Duration::from_secs(1);
/// For a router to be ready, or to know a change.
const PATIENCE: Duration = Duration::from_secs(30);

/// How long the phases of one size last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Phases {
    pub idle: Duration,
    /// Load before and while it is measured.
    pub load: Duration,
    pub measured: Duration,
    pub answers: AnswerPace,
}

/// What one size gave.
struct Measured {
    ready_s: f64,
    idle: Share,
    peak: Share,
    storm: Share,
    first_token_s: f64,
    served: f64,
    kept: f64,
    handshakes_per_s: f64,
    calls_per_s: f64,
    probes_per_s: f64,
    releases_per_s: f64,
    control_bytes_per_s: f64,
    change_bytes: f64,
    whole_bytes: f64,
    change_ms: f64,
    storm_ms: f64,
    zone_ms: f64,
    outage_ms: f64,
}

/// What a process took in a phase.
#[derive(Clone, Copy)]
struct Share {
    core: f64,
    resident_mb: f64,
    descriptors: f64,
}

impl Share {
    fn between(before: NodeUsage, after: NodeUsage, span: Duration) -> Share {
        Share {
            core: (after.cpu_s - before.cpu_s) / span.as_secs_f64(),
            resident_mb: after.resident_mb,
            descriptors: after.descriptors as f64,
        }
    }
}

/// The figures of the rows that processes give.
///
/// # Errors
/// When a router does not start, or an address or a file is not to be had.
pub async fn figures(
    sizes: &[usize],
    zones: usize,
    phases: Phases,
    program: &Path,
    mut step: impl FnMut(),
) -> io::Result<Vec<Figure>> {
    let mut measured = Vec::new();
    for size in sizes {
        measured.push((*size, measure(*size, zones, phases, program).await?));
        step();
    }
    let figure = |row, name, unit, budget, of: fn(&Measured) -> f64| {
        let point = |(size, m): &(usize, Measured)| Point { size: *size, seed: 0, value: of(m) };
        let points = measured.iter().map(point).collect();
        Figure { points, ..Figure::new(row, name, unit, Way::RealProcesses, budget) }
    };
    let served = figure(Row::Router, "share of the requests that is served", "", None, |m| m.served);
    let served = Figure { bound: Some(Bound::AtLeast(1.0)), ..served };
    let core = Some(target::ROUTER_CORE_SHARE);
    let memory = Some(target::ROUTER_MEMORY_MB);
    let in_force = Some(target::IN_FORCE_WITHIN_S * 1e3);
    Ok(vec![
        figure(Row::Router, "start to ready", "s", None, |m| m.ready_s),
        figure(Row::Router, "core at rest", "", core, |m| m.idle.core),
        figure(Row::Router, "memory at rest", "MB", memory, |m| m.idle.resident_mb),
        figure(Row::Router, "core at its part of the peak", "", None, |m| m.peak.core),
        figure(Row::Router, "memory at its part of the peak", "MB", memory, |m| m.peak.resident_mb),
        figure(Row::Router, "core in a storm of 100 changes a second", "", None, |m| m.storm.core),
        figure(Row::Router, "memory after the storm", "MB", memory, |m| m.storm.resident_mb),
        figure(Row::Router, "first token, 95 in 100", "s", Some(target::FIRST_TOKEN_S), |m| m.first_token_s),
        served,
        figure(Row::List, "bytes of the whole list", "B", None, |m| m.whole_bytes),
        figure(Row::List, "bytes of one change", "B", None, |m| m.change_bytes),
        figure(Row::List, "one change, written to in force", "ms", in_force, |m| m.change_ms),
        figure(Row::List, "100 changes in a second, last in force after", "ms", in_force, |m| m.storm_ms),
        figure(Row::List, "a zone returns, in force after", "ms", in_force, |m| m.zone_ms),
        figure(Row::List, "whole lists after an outage, in force after", "ms", in_force, |m| m.outage_ms),
        figure(Row::Messages, "calls of one router to the catalogue at rest", "/s", None, |m| m.calls_per_s),
        figure(Row::Messages, "probes of a router at its part of the peak", "/s", None, |m| m.probes_per_s),
        figure(Row::Messages, "releases of a router at its part of the peak", "/s", None, |m| {
            m.releases_per_s
        }),
        figure(Row::Messages, "bytes of both with answers", "B/s", Some(target::ROUTER_BYTES_PER_S), |m| {
            m.control_bytes_per_s
        }),
        figure(Row::Connections, "calls that found a kept connection", "", None, |m| m.kept),
        figure(Row::Connections, "handshakes of a router", "/s", None, |m| m.handshakes_per_s),
        figure(Row::Connections, "descriptors at its part of the peak", "", None, |m| m.peak.descriptors),
    ])
}

/// A block of addresses that other runs at the same time are unlikely to use.
pub fn address_block() -> u8 {
    64 + (std::process::id() % 128) as u8
}

async fn measure(size: usize, zones: usize, phases: Phases, program: &Path) -> io::Result<Measured> {
    let folder = tempfile::tempdir()?;
    let workers = HollowWorkers::start(size, zones, address_block(), phases.answers).await?;
    let catalogue = ScaleCatalogue::start(workers.listed.clone()).await?;
    let start = |number| NodeProcess::start(program, folder.path(), number, catalogue.address, zones);
    let mut first = start(0)?;
    let ready_s = first.ready(PATIENCE).await?.as_secs_f64();
    let mut others: Vec<NodeProcess> = (1..ROUTERS).map(start).collect::<io::Result<_>>()?;
    for other in &mut others {
        other.ready(PATIENCE).await?;
    }

    let (before, calls) = (first.usage()?, catalogue.counts().calls);
    sleep(phases.idle).await;
    let idle = Share::between(before, first.usage()?, phases.idle);
    let calls = (catalogue.counts().calls - calls) as f64 / ROUTERS as f64;
    let calls_per_s = calls / phases.idle.as_secs_f64();

    let counts = workers.counts();
    let span = phases.load + phases.measured;
    let loading =
        tokio::spawn(load(first.listen, target::requests_per_router(), span, size as u64 * 1_000_003));
    sleep(phases.load).await;
    let before = first.usage()?;
    sleep(phases.measured).await;
    let peak = Share::between(before, first.usage()?, phases.measured);
    let loaded = loading.await?;
    let done = workers.counts();
    let calls = (done.reads - counts.reads)
        + (done.writes - counts.writes)
        + (done.releases - counts.releases)
        + (done.probes - counts.probes);
    let connections = (done.connections - counts.connections) as f64;

    let list = time_changes(&catalogue, &workers.listed, &first).await?;
    Ok(Measured {
        ready_s,
        idle,
        peak,
        storm: list.storm,
        first_token_s: loaded.first_token_s(95.0),
        served: loaded.served as f64 / loaded.asked.max(1) as f64,
        kept: 1.0 - connections / calls.max(1) as f64,
        handshakes_per_s: connections / span.as_secs_f64(),
        calls_per_s,
        probes_per_s: (done.probes - counts.probes) as f64 / span.as_secs_f64(),
        releases_per_s: (done.releases - counts.releases) as f64 / span.as_secs_f64(),
        control_bytes_per_s: (done.control_bytes - counts.control_bytes) as f64 / span.as_secs_f64(),
        change_bytes: list.change_bytes,
        whole_bytes: catalogue.whole_bytes() as f64,
        change_ms: list.change_ms,
        storm_ms: list.storm_ms,
        zone_ms: list.zone_ms,
        outage_ms: list.outage_ms,
    })
}

struct ListMeasured {
    storm: Share,
    change_bytes: f64,
    change_ms: f64,
    storm_ms: f64,
    zone_ms: f64,
    outage_ms: f64,
}

/// Changes of the list; each is in force once every router has asked for what is newer.
async fn time_changes(
    catalogue: &ScaleCatalogue,
    listed: &[ListedWorker],
    first: &NodeProcess,
) -> io::Result<ListMeasured> {
    let ids: Vec<String> = listed.iter().map(|worker| worker.id.clone()).collect();
    let bytes = catalogue.counts().bytes;
    let written = Instant::now();
    let generation = catalogue.set(&ids[..1], "draining");
    let change_ms = in_force_ms(catalogue, generation, written).await?;
    let change_bytes = (catalogue.counts().bytes - bytes) as f64 / ROUTERS as f64;

    let before = first.usage()?;
    let began = Instant::now();
    let (mut written, mut generation) = (began, 0);
    for number in 0..STORM {
        let id = &ids[number % ids.len()..=number % ids.len()];
        written = Instant::now();
        generation = catalogue.set(id, if number % 2 == 0 { "draining" } else { "ready" });
        sleep(STORM_LASTS / STORM as u32).await;
    }
    let storm_ms = in_force_ms(catalogue, generation, written).await?;
    let storm = Share::between(before, first.usage()?, began.elapsed());

    let in_zone = |worker: &&ListedWorker| worker.zone == listed[0].zone;
    let zone: Vec<String> = listed.iter().filter(in_zone).map(|worker| worker.id.clone()).collect();
    let generation = catalogue.set(&zone, "gone");
    in_force_ms(catalogue, generation, Instant::now()).await?;
    let written = Instant::now();
    let generation = catalogue.set(&zone, "ready");
    let zone_ms = in_force_ms(catalogue, generation, written).await?;

    let written = Instant::now();
    let generation = catalogue.forget_changes();
    let outage_ms = in_force_ms(catalogue, generation, written).await?;
    Ok(ListMeasured { storm, change_bytes, change_ms, storm_ms, zone_ms, outage_ms })
}

async fn in_force_ms(catalogue: &ScaleCatalogue, generation: u64, written: Instant) -> io::Result<f64> {
    let known = catalogue.known_by(generation, ROUTERS, PATIENCE).await;
    let known = known.ok_or_else(|| io::Error::new(io::ErrorKind::TimedOut, "a change is not in force"))?;
    Ok(known.saturating_duration_since(written).as_secs_f64() * 1e3)
}
