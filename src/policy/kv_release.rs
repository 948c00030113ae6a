//! How the KV cache that a server holds for a request is released. Any running server takes a
//! release, and a release is idempotent, so it goes to more and more of them until one has
//! confirmed it.
//!
//! A server may be down, cut off or hang, and an idle connection may pass nothing any more. The
//! first round goes to the server that is most likely to run, on whatever connection there is; each
//! further round to twice as many, on connections that have just come up. The KV cache may be held
//! for some tenths of a second only: rounds of one, two and four servers fit into that. What nobody
//! confirms then is still owed, for as long as it may matter to anybody.

use crate::api::Nanos;

/// The most servers that are notified at once.
const MAX_ROUND_WIDTH: usize = 4;
/// The share of a round's time after which the next one begins beside it: several rounds have to
/// fit into the release time, also where most servers are cut off.
const NEXT_ROUND_FRACTION: f64 = 0.3;
/// The time between two rounds once all servers have been tried.
const PAUSE: Nanos = 250_000_000;
/// How long a release is owed: a server that has held a KV cache for longer will have released it,
/// or be gone.
pub const RELEASE_PENDING_FOR: Nanos = 15_000_000_000;

/// Whether the KV cache of a request is released beside a decode attempt that is in flight for it.
/// `keeps_awaited`: a release leaves alone what an attempt at a running server waits for.
/// `has_arrived`: the attempt is known to be there.
pub fn may_release_beside_decode(keeps_awaited: bool, has_arrived: bool) -> bool {
    keeps_awaited || !has_arrived
}

/// When the next round begins beside one that nobody has answered, of the time that one round may
/// take.
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

/// What is to be done in a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseRound {
    /// The time to wait before it.
    pub pause: Nanos,
    /// The servers to notify, by their place in the order in which they are likely to run.
    pub servers: Vec<usize>,
    /// Only connections that have just come up may be used.
    pub needs_fresh_connections: bool,
}

impl ReleaseRounds {
    /// The rounds over so many servers.
    pub fn new(servers: usize, now: Nanos) -> ReleaseRounds {
        ReleaseRounds { servers, next_server: 0, width: 1, began_at: now }
    }

    /// The next round; `None` once the release is not owed any more, or there is nobody to notify.
    pub fn next(&mut self, now: Nanos) -> Option<ReleaseRound> {
        let is_owed = now < self.began_at.saturating_add(RELEASE_PENDING_FOR);
        if self.servers == 0 || !is_owed {
            return None;
        }
        let width = self.width.min(self.servers);
        let places = self.next_server..self.next_server + width;
        let have_all_been_tried = self.next_server >= self.servers;
        let round = ReleaseRound {
            pause: if have_all_been_tried { PAUSE } else { 0 },
            servers: places.map(|place| place % self.servers).collect(),
            needs_fresh_connections: self.next_server > 0,
        };
        self.next_server += width;
        self.width = (self.width * 2).min(MAX_ROUND_WIDTH);
        Some(round)
    }
}
