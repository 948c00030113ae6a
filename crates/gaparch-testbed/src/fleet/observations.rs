//! What was observed of a fleet, and what was really done to it.

use gaparch_protocol::ops::view::{AuditView, FleetView, ListVersionsView};
use gaparch_router::shell::LagSummary;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The state of a router's process, as the runner set it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    Stopped,
    Killed,
    Left,
}

/// One sample of one router's view; times count from the start of the scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewSample {
    pub at: Duration,
    /// When the sample was requested.
    pub requested_at: Duration,
    pub router: usize,
    pub view: FleetView,
    /// Present if the router replicates lists.
    pub versions: Option<ListVersionsView>,
    /// Engines held by operators' orders.
    pub held: BTreeSet<String>,
}

/// An operator's order for all routers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IssuedOrder {
    pub at: Duration,
    /// When the order was reported as kept by all routers.
    pub complete: Option<Duration>,
    pub answer: Option<String>,
}

/// The list of the list service from a time on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListSnapshot {
    pub at: Duration,
    pub epoch: u64,
    pub version: u64,
    /// Engines that must receive no new work.
    pub drained: BTreeSet<String>,
}

/// A request that arrived at an engine after the list service had drained it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StaleRequest {
    pub router: String,
    pub engine: String,
    pub late: Duration,
}

/// An event that a router reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedEvent {
    pub at: Duration,
    pub router: usize,
    pub text: String,
}

/// Everything observed in a scenario.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    pub samples: Vec<ViewSample>,
    pub events: Vec<ObservedEvent>,
    pub process_states: Vec<(Duration, usize, ProcessState)>,
    /// The lists that the list service has had, in order.
    pub lists: Vec<ListSnapshot>,
    pub stale_requests: Vec<StaleRequest>,
    pub orders: Vec<IssuedOrder>,
    /// What the audit logs of all routers said at the end.
    pub audit: Option<AuditView>,
    /// What arrived at the engines: prefills and decodes by router and engine.
    pub arrived: BTreeMap<(String, String), (u64, u64)>,
    /// Bytes that each router sent to its peers.
    pub bytes: Vec<u64>,
    pub crashes: Vec<String>,
    /// How late the timers of the lab process itself were. If they were late, so was all that it does and observes.
    pub lab_lag: LagSummary,
}

impl Observations {
    /// The state of a router at that time, and since when it holds.
    pub(super) fn process_state(&self, router: usize, at: Duration) -> Option<(Duration, ProcessState)> {
        let of = self.process_states.iter().filter(|(since, r, _)| *r == router && *since <= at);
        of.max_by_key(|(since, ..)| *since).map(|(since, _, process_state)| (*since, *process_state))
    }

    pub(super) fn is_running(&self, router: usize, at: Duration) -> bool {
        self.process_state(router, at)
            .is_some_and(|(_, process_state)| process_state == ProcessState::Running)
    }

    /// The list of the list service at that time.
    pub(super) fn list(&self, at: Duration) -> Option<&ListSnapshot> {
        self.lists.iter().filter(|l| l.at <= at).max_by_key(|l| l.at)
    }

    /// Since when the engine has been drained, if it is drained at that time.
    pub(super) fn drained_since(&self, engine: &str, at: Duration) -> Option<Duration> {
        let before = self.lists.iter().filter(|l| l.at <= at).rev();
        before.take_while(|l| l.drained.contains(engine)).last().map(|l| l.at)
    }

    /// The routers that run without interruption in the interval.
    pub(super) fn living(&self, routers: usize, from: Duration, to: Duration) -> Vec<usize> {
        let whole = |r: &usize| {
            let change =
                self.process_states.iter().any(|(at, router, _)| router == r && *at > from && *at <= to);
            self.is_running(*r, from) && !change
        };
        (0..routers).filter(whole).collect()
    }
}
