//! What was observed of a fleet, and what was truly done to it.

use gaparch_protocol::ops::view::{AuditView, FleetView, ListVersionsView};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What became of a router, by the rig's own hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Running,
    Stopped,
    Killed,
    Left,
}

/// One look at one router's view; times from the day's beginning.
#[derive(Clone, Debug, PartialEq)]
pub struct Look {
    pub at: Duration,
    /// When it was asked for.
    pub asked: Duration,
    pub router: usize,
    pub view: FleetView,
    /// Where it follows lists.
    pub versions: Option<ListVersionsView>,
    /// Engines that operators hold.
    pub held: BTreeSet<String>,
}

/// An operator's order for all routers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Given {
    pub at: Duration,
    /// When all routers were said to keep it.
    pub complete: Option<Duration>,
    pub answer: Option<String>,
}

/// What the list service has from a time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedNow {
    pub at: Duration,
    pub epoch: u64,
    pub version: u64,
    /// Engines that may be sent nothing new.
    pub drained: BTreeSet<String>,
}

/// Something that came to an engine after the list service had drained it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stale {
    pub router: String,
    pub engine: String,
    pub late: Duration,
}

/// Something that a router told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    pub at: Duration,
    pub router: usize,
    pub text: String,
}

/// All that was seen of a day.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub looks: Vec<Look>,
    pub events: Vec<Heard>,
    pub lives: Vec<(Duration, usize, Life)>,
    /// What the list service has had.
    pub lists: Vec<ListedNow>,
    pub stale: Vec<Stale>,
    pub orders: Vec<Given>,
    /// What all records said at the day's end, and what came to the engines: reads and writes by router and engine.
    pub audit: Option<AuditView>,
    pub arrived: BTreeMap<(String, String), (u64, u64)>,
    /// Bytes that each router sent to others.
    pub bytes: Vec<u64>,
    pub crashes: Vec<String>,
}
impl Seen {
    /// What it is at that time, and since when.
    pub(super) fn life(&self, router: usize, at: Duration) -> Option<(Duration, Life)> {
        let of = self.lives.iter().filter(|(since, r, _)| *r == router && *since <= at);
        of.max_by_key(|(since, ..)| *since).map(|(since, _, life)| (*since, *life))
    }

    pub(super) fn lives(&self, router: usize, at: Duration) -> bool {
        self.life(router, at).is_some_and(|(_, life)| life == Life::Running)
    }

    /// What the list service has at that time.
    pub(super) fn list(&self, at: Duration) -> Option<&ListedNow> {
        self.lists.iter().filter(|l| l.at <= at).max_by_key(|l| l.at)
    }

    /// Since when that engine is drained, if it is at that time.
    pub(super) fn drained_since(&self, engine: &str, at: Duration) -> Option<Duration> {
        let before = self.lists.iter().filter(|l| l.at <= at).rev();
        before.take_while(|l| l.drained.contains(engine)).last().map(|l| l.at)
    }

    /// Those that live all the time between.
    pub(super) fn living(&self, routers: usize, from: Duration, to: Duration) -> Vec<usize> {
        let whole = |r: &usize| {
            let change = self.lives.iter().any(|(at, router, _)| router == r && *at > from && *at <= to);
            self.lives(*r, from) && !change
        };
        (0..routers).filter(whole).collect()
    }
}
