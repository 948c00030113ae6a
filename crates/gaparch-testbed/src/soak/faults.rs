//! What goes wrong in a run: drawn from its seed, two or three troubles at a time.

use crate::platform::FloodKind;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// One trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A worker is killed, and starts again cold.
    KillWorker { worker: usize, away: Duration },
    /// A worker stops in the middle of what it does, and goes on.
    StopWorker { worker: usize, span: Duration },
    /// A worker begins to drain, and is ready again later.
    DrainWorker { worker: usize, span: Duration },
    /// All open connections to a worker fall silent.
    SilenceConnections { worker: usize },
    /// All open connections to a worker are reset.
    ResetConnections { worker: usize },
    /// New connections to a worker come up late.
    LateConnections { worker: usize, span: Duration },
    /// A router is told to end by a series of signals, and starts again with its wall clock off.
    EndRouter { router: usize, clock_ahead_s: i64, signals: u32 },
    /// A router is killed, and starts again with its wall clock off.
    KillRouter { router: usize, clock_ahead_s: i64 },
    /// A router's configuration is written in two halves; it is told to read it before the second, once or in a series.
    ReloadRouter { router: usize, signals: u32 },
    /// A router is held up.
    HoldRouter { router: usize, span: Duration },
    /// System calls of a router fail.
    FailCalls { router: usize, span: Duration },
    /// A router's agent says nothing.
    SilenceDiscovery { router: usize, span: Duration },
    /// Changes of the endpoint list are sent as full lists.
    WholeLists { span: Duration },
    /// Connections that ask nothing, or only begin to, fill a router's descriptors; then it is told to end.
    CrowdRouter { router: usize, connections: usize, span: Duration },
    /// Clients send small or invalid requests to a router at full speed.
    FloodRouter { router: usize, kind: FloodKind, span: Duration },
}

/// What holds for a whole run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shape {
    /// The deployment's longest deadline, for which every client waits.
    pub patience: Duration,
    /// Crowds of connections are among the troubles.
    pub crowds: bool,
    /// Clients at full speed are among the troubles.
    pub floods: bool,
}

/// Deadlines of the deployments, in milliseconds.
const PATIENCES_MS: [u64; 4] = [900, 1_500, 3_000, 5_000];

/// Draws what holds for a run.
pub fn shape(seed: u64) -> Shape {
    let mut draws = ChaCha8Rng::seed_from_u64(seed ^ 0x5aa9);
    let patience = Duration::from_millis(PATIENCES_MS[draws.random_range(0..PATIENCES_MS.len())]);
    Shape { patience, crowds: draws.random_range(0..3) == 0, floods: draws.random_range(0..3) == 0 }
}

/// A trouble and when it begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    pub at: Duration,
    pub trouble: Trouble,
}

/// Between two groups of troubles.
const GROUP_EVERY_MS: u64 = 3_000;
/// Within which a group's troubles begin.
const GROUP_SPREAD_MS: u64 = 900;
/// What clients at full speed send.
const FLOODS: [FloodKind; 4] =
    [FloodKind::HealthChecks, FloodKind::BlankLines, FloodKind::UnknownPaths, FloodKind::NewNames];
const CLOCKS: [i64; 7] = [0, 0, 5, -5, 3_600, -3_600, 7_200];

/// Draws the troubles of a run.
pub fn draw(seed: u64, span: Duration, routers: usize, workers: usize) -> Vec<Event> {
    let mut draws = ChaCha8Rng::seed_from_u64(seed);
    let mut flood_draws = ChaCha8Rng::seed_from_u64(seed ^ 0xf1_00d0);
    let mut events = Vec::new();
    let Shape { crowds, floods, .. } = shape(seed);
    let mut group = 1_500;
    while Duration::from_millis(group + GROUP_EVERY_MS) < span {
        for _ in 0..draws.random_range(2..=3) {
            let at = Duration::from_millis(group + draws.random_range(0..GROUP_SPREAD_MS));
            events.push(Event { at, trouble: draw_one(&mut draws, routers, workers) });
        }
        if crowds {
            let router = draws.random_range(0..routers);
            let (connections, span) = (draws.random_range(100..400), Duration::from_millis(1_500));
            let at = Duration::from_millis(group);
            events.push(Event { at, trouble: Trouble::CrowdRouter { router, connections, span } });
        }
        if floods {
            let at = Duration::from_millis(group + flood_draws.random_range(0..GROUP_SPREAD_MS));
            events.push(Event { at, trouble: draw_flood(&mut flood_draws, routers) });
        }
        group += GROUP_EVERY_MS;
    }
    events.sort_by_key(|event| event.at);
    events
}

fn draw_flood(draws: &mut ChaCha8Rng, routers: usize) -> Trouble {
    let router = draws.random_range(0..routers);
    let kind = FLOODS[draws.random_range(0..FLOODS.len())];
    Trouble::FloodRouter { router, kind, span: Duration::from_millis(draws.random_range(1_000..5_000)) }
}

fn draw_one(draws: &mut ChaCha8Rng, routers: usize, workers: usize) -> Trouble {
    let worker = draws.random_range(0..workers);
    let router = draws.random_range(0..routers);
    let span = Duration::from_millis(draws.random_range(300..2_500));
    let clock_ahead_s = CLOCKS[draws.random_range(0..CLOCKS.len())];
    match draws.random_range(0..13) {
        0 => Trouble::KillWorker { worker, away: span },
        1 => Trouble::StopWorker { worker, span },
        2 => Trouble::DrainWorker { worker, span },
        3 => Trouble::SilenceConnections { worker },
        4 => Trouble::ResetConnections { worker },
        5 => Trouble::LateConnections { worker, span },
        6 => Trouble::EndRouter { router, clock_ahead_s, signals: draws.random_range(1..=4) },
        7 => Trouble::KillRouter { router, clock_ahead_s },
        8 => Trouble::ReloadRouter { router, signals: draws.random_range(1..=5) },
        9 => Trouble::HoldRouter { router, span: Duration::from_millis(draws.random_range(20..150)) },
        10 => Trouble::FailCalls { router, span },
        11 => Trouble::SilenceDiscovery { router, span: span * 2 },
        _ => Trouble::WholeLists { span: span * 2 },
    }
}

#[cfg(test)]
#[path = "faults_tests.rs"]
mod tests;
