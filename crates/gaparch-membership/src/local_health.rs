//! A member's estimate of its own health, which it doubts first when others do not answer.

use crate::settings::Settings;
use crate::Nanos;

/// The maximum score of Lifeguard's local health multiplier.
const MAX_SCORE: u32 = 8;
/// The number of probe intervals without any answer, although messages are received, after which a router
/// counts as unanswered.
const UNANSWERED_INTERVALS: u64 = 15;

/// Whether this router's messages reach other members, and theirs reach this router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Connectivity {
    /// It receives messages from others and its pings are answered, or no other router is present.
    #[default]
    Connected,
    /// It receives messages from no other member, although others are present.
    Isolated,
    /// It receives messages from other members, but none of them answers its pings.
    Unanswered,
}

/// This router's connectivity and its local health score, which decide whether it may suspect others, and
/// after which timeout.
#[derive(Clone, Debug)]
pub(crate) struct LocalHealth {
    /// Lifeguard's local health multiplier, less one.
    score: u32,
    /// The nonce of the last ping sent before the router resumed after a pause or isolation. The router
    /// suspects nobody until a later ping is answered. The nonce identifies the ping, since on slow links an
    /// answer arrives while another member is being probed.
    recovering_after: Option<u64>,
    /// When a message from any member was last received.
    last_received_at: Nanos,
    /// When any member last answered a ping.
    last_answered_at: Nanos,
    connectivity: Connectivity,
}

/// Which connectivity conditions have begun or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectivityChange {
    pub isolation: bool,
    pub unanswered: bool,
}

impl LocalHealth {
    pub fn new(now: Nanos) -> LocalHealth {
        LocalHealth {
            score: 0,
            recovering_after: None,
            last_received_at: now,
            last_answered_at: now,
            connectivity: Connectivity::default(),
        }
    }

    /// Lifeguard's local health multiplier, less one.
    pub fn score(&self) -> u32 {
        self.score
    }

    pub fn connectivity(&self) -> Connectivity {
        self.connectivity
    }

    /// Whether the router receives messages from no other member, although others are present.
    pub fn is_isolated(&self) -> bool {
        self.connectivity == Connectivity::Isolated
    }

    /// Whether the router still waits for an answered ping after a pause or isolation.
    pub fn is_recovering(&self) -> bool {
        self.recovering_after.is_some()
    }

    /// The factor by which the probe timeout is extended.
    pub fn timeout_factor(&self) -> u64 {
        u64::from(self.score) + 1
    }

    pub fn degrade(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_SCORE);
    }

    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A message was received from some member.
    pub fn on_received(&mut self, now: Nanos) {
        self.last_received_at = now;
    }

    /// The ping with this nonce was answered.
    pub fn on_answered(&mut self, nonce: u64, now: Nanos) {
        self.last_answered_at = now;
        if self.recovering_after.is_some_and(|last_nonce| nonce > last_nonce) {
            self.recovering_after = None;
        }
    }

    /// The process resumed after a pause. The last ping before the pause had the nonce `last_nonce`.
    pub fn on_resumed(&mut self, last_nonce: u64, now: Nanos) {
        self.recovering_after = Some(last_nonce);
        self.degrade(1);
        self.last_received_at = now;
        self.last_answered_at = now;
    }

    /// Re-evaluates the connectivity, given the number of other members that are present.
    pub fn check(
        &mut self,
        others: usize,
        settings: &Settings,
        last_nonce: u64,
        now: Nanos,
    ) -> ConnectivityChange {
        let before = self.connectivity;
        self.connectivity = self.evaluate(others, settings, now);
        let has_changed = |to: Connectivity| (before == to) != (self.connectivity == to);
        let change = ConnectivityChange {
            isolation: has_changed(Connectivity::Isolated),
            unanswered: has_changed(Connectivity::Unanswered),
        };
        if change.isolation && before == Connectivity::Isolated {
            self.recovering_after = Some(last_nonce);
        }
        change
    }

    fn evaluate(&self, others: usize, settings: &Settings, now: Nanos) -> Connectivity {
        let isolated_at = self.last_received_at.saturating_add(settings.isolation_timeout());
        let unanswered_timeout = settings.probe_interval * UNANSWERED_INTERVALS;
        let unanswered_at = self.last_answered_at.saturating_add(unanswered_timeout);
        if others == 0 {
            return Connectivity::Connected;
        }
        if now >= isolated_at {
            // A router that receives nothing can't know whether its messages reach others.
            return Connectivity::Isolated;
        }
        match now >= unanswered_at {
            true => Connectivity::Unanswered,
            false => Connectivity::Connected,
        }
    }
}
