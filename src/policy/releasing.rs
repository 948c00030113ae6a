//! How what a server holds for a request is let go of. Any running server takes a release, and a release
//! does no harm twice, so it goes to more and more of them until one has answered.
//!
//! A server may be down, cut off or hang, and a kept connection may carry nothing any more. The first try
//! goes to the server that is most likely to run, on whatever connection there is; each further round to
//! twice as many, on connections that have just come up. The state may wait for some tenths of a second
//! only: rounds of one, two and four servers fit into that. What nobody takes then is still owed, for as
//! long as it may matter to anybody.

use crate::api::Nanos;

/// Servers that are told at once, at most.
const MOST_AT_ONCE: usize = 4;
/// Part of a try's time after which the next round begins beside it: several rounds have to fit into the
/// release time, also where most servers are cut off.
const NEXT_ROUND_SHARE: f64 = 0.3;
/// Between two rounds once all servers have been tried.
const PAUSE: Nanos = 250_000_000;
/// A server that has held something for so long without a word will have let go of it, or be gone.
const OWED_FOR: Nanos = 15_000_000_000;

/// Whether what is held for a request is let go of beside a write that is out for it. `keeps`: a release
/// leaves alone what an attempt at a running server waits for. `arrived`: the write is known to be there.
pub fn goes_beside_a_write(keeps: bool, arrived: bool) -> bool {
    keeps || !arrived
}

/// When the next round begins beside one that nobody has answered, of the time of one try.
pub fn next_round_after(one_try: Nanos) -> Nanos {
    (one_try as f64 * NEXT_ROUND_SHARE) as Nanos
}

/// The rounds of one release.
#[derive(Clone, Debug)]
pub struct Rounds {
    servers: usize,
    next: usize,
    width: usize,
    began: Nanos,
}

/// What is to be done in a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    /// To be waited before it.
    pub pause: Nanos,
    /// Places of the servers to tell, in the order in which they are likely to run.
    pub servers: Vec<usize>,
    /// On connections that have just come up.
    pub fresh: bool,
}

impl Rounds {
    /// The rounds over so many servers.
    pub fn new(servers: usize, now: Nanos) -> Rounds {
        Rounds { servers, next: 0, width: 1, began: now }
    }

    /// The next round; `None` once the release is not owed any more, or there is nobody to tell.
    pub fn next(&mut self, now: Nanos) -> Option<Round> {
        if self.servers == 0 || now >= self.began.saturating_add(OWED_FOR) {
            return None;
        }
        let width = self.width.min(self.servers);
        let servers = (self.next..self.next + width).map(|place| place % self.servers).collect();
        let round =
            Round { pause: if self.next >= self.servers { PAUSE } else { 0 }, servers, fresh: self.next > 0 };
        self.next += width;
        self.width = (self.width * 2).min(MOST_AT_ONCE);
        Some(round)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rounds_widen_go_over_all_servers_and_end() {
        let mut rounds = Rounds::new(5, 0);
        let first = rounds.next(0).expect("one");
        assert_eq!((first.servers, first.fresh, first.pause), (vec![0], false, 0));
        let second = rounds.next(0).expect("one");
        assert_eq!((second.servers, second.fresh, second.pause), (vec![1, 2], true, 0));
        assert_eq!(rounds.next(0).expect("one").servers, vec![3, 4, 0, 1]);
        let again = rounds.next(0).expect("one");
        assert!(again.pause > 0, "all were told");
        assert_eq!(rounds.next(OWED_FOR), None);
        assert_eq!(Rounds::new(0, 0).next(0), None);
    }
}
