//! The settings of a member, and the timeouts that follow from them.

use crate::{Nanos, MILLISECOND};
use std::net::SocketAddr;

/// The maximum size of the member table; further members are not admitted, and are counted as rejected.
pub const MAX_MEMBERS: usize = 2048;
/// The shortest probe interval; a shorter one would measure delays of the operating system's scheduler rather
/// than failures.
pub const MIN_PROBE_INTERVAL: Nanos = 20 * MILLISECOND;

/// The duration of a fully confirmed suspicion in probe intervals, for a site of ten members; it grows with
/// the logarithm of the number of members.
const SUSPICION_INTERVALS: u64 = 4;
/// The factor by which an unconfirmed suspicion lasts longer than a fully confirmed one.
const UNCONFIRMED_FACTOR: u64 = 3;
/// The number of independent accusers, beside the first, at which a suspicion timeout is shortest.
const MAX_CONFIRMATIONS: usize = 3;
/// The number of members below which the suspicion timeout does not get shorter.
const MIN_SCALED_MEMBERS: usize = 10;
/// The number of probe intervals without any message after which a router counts as isolated.
const ISOLATION_INTERVALS: u64 = 8;
/// The minimum delay of a timer that counts as a pause, however short the probe interval is.
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
    /// Addresses at which to look for members. Every few probe rounds, and in each round while no member is
    /// present, one of those at which no member is known to be present is pinged.
    pub seeds: Vec<SocketAddr>,
    /// The maximum number of routers that the site is configured to run.
    pub max_routers: u32,
    /// The time between two probes, in nanoseconds.
    pub probe_interval: Nanos,
    /// How long a dead member is still counted, in nanoseconds. Nothing that it started lasts longer.
    pub dead_hold: Nanos,
    /// The seed of the member's random choices.
    pub seed: u64,
    /// Whether the extensions to SWIM are enabled; without them the core is plain SWIM, for comparison.
    pub use_extensions: bool,
}

impl Settings {
    /// How long a suspicion lasts before the member is declared dead, given the number of members and the
    /// number of accusers beside the first. The timeout documented for operators is the shortest one, which
    /// applies with many accusers.
    pub fn suspicion_timeout(&self, members: usize, confirmations: usize) -> Nanos {
        let scale = (members.max(MIN_SCALED_MEMBERS) as f64).log10();
        let min_timeout = (self.probe_interval as f64 * SUSPICION_INTERVALS as f64 * scale) as Nanos;
        if !self.use_extensions {
            return min_timeout;
        }
        let max_timeout = min_timeout * UNCONFIRMED_FACTOR;
        let max_confirmations = members.saturating_sub(2).min(MAX_CONFIRMATIONS);
        if max_confirmations == 0 {
            // There is no member besides this one and the suspect that could confirm the suspicion.
            return max_timeout;
        }
        // Lifeguard: the timeout decreases with the logarithm of the number of independent accusers.
        let confirmed = confirmations.min(max_confirmations);
        let reduction = ((confirmed + 1) as f64).ln() / ((max_confirmations + 1) as f64).ln();
        max_timeout - ((max_timeout - min_timeout) as f64 * reduction) as Nanos
    }

    /// How long a router may receive nothing before it counts as isolated.
    pub fn isolation_timeout(&self) -> Nanos {
        self.probe_interval * ISOLATION_INTERVALS
    }

    /// The delay of a timer above which the process counts as paused.
    pub fn pause_threshold(&self) -> Nanos {
        self.probe_interval.max(MIN_PAUSE)
    }
}
