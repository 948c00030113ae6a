//! The settings of a member, and the timeouts that follow from them.

use crate::{Nanos, MILLISECOND};
use std::net::SocketAddr;

/// The size of the member table; further members are not admitted, and counted.
pub const MAX_MEMBERS: usize = 2048;
/// The shortest probe interval; a shorter one would measure the operating system's scheduler.
pub const MIN_PROBE_INTERVAL: Nanos = 20 * MILLISECOND;

/// Probe intervals that a suspicion lasts, times the logarithm of the number of members, where others share
/// it.
const SUSPICION_INTERVALS: u64 = 4;
/// The factor by which a suspicion lasts longer where nobody shares it.
const UNCONFIRMED_FACTOR: u64 = 3;
/// Independent accusers, beside the first, that shorten a suspicion to its least.
const MAX_CONFIRMATIONS: usize = 3;
/// Members below which a suspicion gets no shorter.
const MIN_SCALED_MEMBERS: usize = 10;
/// Probe intervals without any message after which a router counts as isolated.
const ISOLATION_INTERVALS: u64 = 8;
/// The least lateness of a timer that shows a pause, however short the probe interval is.
const MIN_PAUSE: Nanos = 250 * MILLISECOND;

/// The settings of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The router's name, unique within the site.
    pub name: String,
    /// The zone that the router runs in.
    pub zone: String,
    /// The version of the router's program.
    pub build: String,
    /// The address at which other members reach this one.
    pub address: SocketAddr,
    /// A random number drawn by each process.
    pub run_id: u64,
    /// One more than the incarnation on disk.
    pub incarnation: u64,
    /// Addresses of members to contact at the start, and after all members were lost.
    pub seeds: Vec<SocketAddr>,
    /// The greatest number of routers that the site is meant to run.
    pub max_routers: u32,
    /// The time between two probes, in nanoseconds.
    pub probe_interval: Nanos,
    /// For how long a dead member is still counted, in nanoseconds: nothing that it began lasts longer.
    pub dead_hold: Nanos,
    /// The seed of the member's random choices.
    pub seed: u64,
    /// Whether the extensions to SWIM are in use; without them the core is plain SWIM, for comparison.
    pub use_extensions: bool,
}

impl Settings {
    /// How long a suspicion lasts before the member is declared dead, given the number of members and of
    /// accusers beside the first. The timeout documented for operators is the one with many accusers.
    pub fn suspicion_timeout(&self, members: usize, confirmations: usize) -> Nanos {
        let scale = (members.max(MIN_SCALED_MEMBERS) as f64).log10();
        let least = (self.probe_interval as f64 * SUSPICION_INTERVALS as f64 * scale) as Nanos;
        if !self.use_extensions {
            return least;
        }
        let most = least * UNCONFIRMED_FACTOR;
        let wanted = members.saturating_sub(2).min(MAX_CONFIRMATIONS);
        if wanted == 0 {
            // Nobody but the suspect is left who could confirm the suspicion.
            return most;
        }
        // Lifeguard's curve: each independent accuser takes, by logarithm, a part of what is left.
        let shared = ((confirmations.min(wanted) + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        most - ((most - least) as f64 * shared) as Nanos
    }

    /// How long a router may receive nothing before it counts as isolated.
    pub fn isolation_timeout(&self) -> Nanos {
        self.probe_interval * ISOLATION_INTERVALS
    }

    /// The lateness of a timer that shows that the process was paused.
    pub fn pause_threshold(&self) -> Nanos {
        self.probe_interval.max(MIN_PAUSE)
    }
}
