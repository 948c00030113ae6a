//! A member's estimate of its own health: the first thing to doubt where others do not answer.

use crate::settings::Settings;
use crate::Nanos;

/// The greatest score of Lifeguard's local health multiplier.
const MAX_SCORE: u32 = 8;
/// Probe intervals without any answer, though others are heard, after which a router counts as unanswered.
const UNANSWERED_INTERVALS: u64 = 15;

/// Whether this router is heard, hears others, and may judge them.
#[derive(Clone, Debug)]
pub(crate) struct LocalHealth {
    /// Lifeguard's local health multiplier, less one.
    score: u32,
    /// Set when the router resumes after a pause or isolation: the number of the last ping sent before. The router
    /// suspects nobody until a later ping is answered. Pings are told apart by number, for on slow links an answer comes
    /// while another member is being probed.
    recovering_after: Option<u64>,
    /// When any member was last heard.
    last_received_at: Nanos,
    /// When any member last answered a ping.
    last_answered_at: Nanos,
    is_isolated: bool,
    is_unanswered: bool,
}

/// Which judgements have changed.
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
            is_isolated: false,
            is_unanswered: false,
        }
    }

    /// Lifeguard's local health multiplier, less one.
    pub fn score(&self) -> u32 {
        self.score
    }

    /// Whether the router hears no other, though there are others.
    pub fn is_isolated(&self) -> bool {
        self.is_isolated
    }

    /// Whether the router hears others, but none of them answers its pings.
    pub fn is_unanswered(&self) -> bool {
        self.is_unanswered
    }

    /// Whether the router waits for an answer after a pause or isolation.
    pub fn is_recovering(&self) -> bool {
        self.recovering_after.is_some()
    }

    /// The factor by which probe timeouts are stretched.
    pub fn timeout_factor(&self) -> u64 {
        u64::from(self.score) + 1
    }

    pub fn degrade(&mut self, by: u32) {
        self.score = (self.score + by).min(MAX_SCORE);
    }

    pub fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// A message has come from any member.
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

    /// The process was paused after it had sent the ping `last_nonce`.
    pub fn on_resumed(&mut self, last_nonce: u64, now: Nanos) {
        self.recovering_after = Some(last_nonce);
        self.degrade(1);
        self.last_received_at = now;
        self.last_answered_at = now;
    }

    /// Judges both directions anew, given the number of other members that are present.
    pub fn check(
        &mut self,
        others: usize,
        settings: &Settings,
        last_nonce: u64,
        now: Nanos,
    ) -> ConnectivityChange {
        let isolated_at = self.last_received_at.saturating_add(settings.isolation_timeout());
        let unanswered_timeout = settings.probe_interval * UNANSWERED_INTERVALS;
        let unanswered_at = self.last_answered_at.saturating_add(unanswered_timeout);
        let is_isolated = others > 0 && now >= isolated_at;
        // A router that hears nobody can't know whether it is heard.
        let is_unanswered = others > 0 && !is_isolated && now >= unanswered_at;
        let change = ConnectivityChange {
            isolation: is_isolated != self.is_isolated,
            unanswered: is_unanswered != self.is_unanswered,
        };
        if self.is_isolated && !is_isolated {
            self.recovering_after = Some(last_nonce);
        }
        self.is_isolated = is_isolated;
        self.is_unanswered = is_unanswered;
        change
    }
}
