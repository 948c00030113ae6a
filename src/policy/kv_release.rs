//! How the KV cache that a server holds for a request is released. Any running server accepts a
//! release, and releases are idempotent, so a release is sent to more and more servers until one
//! confirms it.
//!
//! A server may be down, cut off or hung, and an idle connection may no longer deliver data. The
//! first round goes to the server that is most likely to be running, on any available connection;
//! each further round goes to twice as many servers, on fresh connections. A KV cache may be held
//! only for some tenths of a second, into which rounds of one, two and four servers fit. A release
//! that is still unconfirmed after that stays pending for as long as it may matter.

use crate::api::Nanos;

/// Maximum number of servers in a round.
const MAX_ROUND_WIDTH: usize = 4;
/// Maximum number of servers that a release is sent to, starting with those that are most likely to run. Any
/// of them is enough, and a list of all servers for each release would need much memory.
pub const MAX_SERVERS: usize = 64;
/// Fraction of the round time after which the next round starts in parallel. Several rounds have to
/// fit into the release time even if most servers are cut off.
const NEXT_ROUND_FRACTION: f64 = 0.3;
/// Pause between rounds once all servers have been tried.
const PAUSE: Nanos = 250_000_000;
/// How long a release stays pending. A server that has held a KV cache for longer has released it, or
/// is gone.
pub const RELEASE_PENDING_FOR: Nanos = 15_000_000_000;

/// Whether the KV cache of a request may be released while its decode attempt is in flight.
/// `release_keeps_awaited`: a release spares a KV cache for which an attempt at a running server waits.
/// `attempt_has_arrived`: the attempt is known to have reached its server.
pub fn may_release_beside_decode(release_keeps_awaited: bool, attempt_has_arrived: bool) -> bool {
    release_keeps_awaited || !attempt_has_arrived
}

/// Time after which the next round starts in parallel to an unanswered one, given the maximum time of a
/// round.
pub fn next_round_after(round_time: Nanos) -> Nanos {
    (round_time as f64 * NEXT_ROUND_FRACTION) as Nanos
}

/// The rounds of one release.
#[derive(Clone, Debug)]
pub struct ReleaseRounds {
    servers: usize,
    next_server: usize,
    width: usize,
    began_at: Nanos,
}

/// One round of a release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseRound {
    /// Time to wait before the round.
    pub pause: Nanos,
    /// The servers to notify, as indices into the list of servers sorted by how likely they are to run.
    pub servers: Vec<usize>,
    /// Whether only fresh connections may be used.
    pub needs_fresh_connections: bool,
}

impl ReleaseRounds {
    /// Rounds over that many servers.
    pub fn new(servers: usize, now: Nanos) -> ReleaseRounds {
        ReleaseRounds { servers, next_server: 0, width: 1, began_at: now }
    }

    /// The next round; `None` once the release is no longer pending, or if there is no server.
    pub fn next(&mut self, now: Nanos) -> Option<ReleaseRound> {
        let is_pending = now < self.began_at.saturating_add(RELEASE_PENDING_FOR);
        if self.servers == 0 || !is_pending {
            return None;
        }
        let width = self.width.min(self.servers);
        let indices = self.next_server..self.next_server + width;
        let have_all_been_tried = self.next_server >= self.servers;
        let round = ReleaseRound {
            pause: if have_all_been_tried { PAUSE } else { 0 },
            servers: indices.map(|index| index % self.servers).collect(),
            needs_fresh_connections: self.next_server > 0,
        };
        self.next_server += width;
        self.width = (self.width * 2).min(MAX_ROUND_WIDTH);
        Some(round)
    }
}
