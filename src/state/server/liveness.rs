//! Whether a server responds, and the probes that check it.

use crate::api::Nanos;

/// Whether a server is believed to be reachable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// It is reachable.
    #[default]
    Reachable,
    /// A connection attempt failed; it is used again without having answered a probe.
    PresumedReachable,
    /// It does not respond to what it is sent.
    Unresponsive,
    /// A connection attempt failed: its process may have died.
    ConnectionLost,
}

/// The reachability of a server, its last responses, and its probes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Liveness {
    reachability: Reachability,
    last_response_at: Nanos,
    known_running_at: Nanos,
    fast_probe_at: Nanos,
    probe_sent_at: Option<Nanos>,
    next_probe_at: Nanos,
}

impl Liveness {
    /// Whether it could not be connected to or does not respond.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.reachability, Reachability::Unresponsive | Reachability::ConnectionLost)
    }

    /// Whether a connection attempt failed and the server was not found reachable since.
    pub fn is_connection_lost(&self) -> bool {
        matches!(self.reachability, Reachability::PresumedReachable | Reachability::ConnectionLost)
    }

    /// Marks the server reachable.
    pub fn mark_reachable(&mut self) {
        self.reachability = Reachability::Reachable;
    }

    /// Marks the server unresponsive; it is probed from `next_probe_at` on.
    pub fn mark_unresponsive(&mut self, next_probe_at: Nanos) {
        self.reachability = match self.is_connection_lost() {
            true => Reachability::ConnectionLost,
            false => Reachability::Unresponsive,
        };
        self.next_probe_at = next_probe_at;
    }

    /// Records a failed connection attempt; the server is probed from `next_probe_at` on.
    pub fn mark_connection_lost(&mut self, next_probe_at: Nanos) {
        self.reachability = Reachability::ConnectionLost;
        self.next_probe_at = next_probe_at;
    }

    /// Puts the server back into use although it has not responded.
    pub fn presume_reachable(&mut self) {
        self.reachability = match self.is_connection_lost() {
            true => Reachability::PresumedReachable,
            false => Reachability::Reachable,
        };
    }

    /// When it last responded to anything; 0 if never.
    pub fn last_response_at(&self) -> Nanos {
        self.last_response_at
    }

    /// Records that something was received from the server.
    pub fn record_response(&mut self, now: Nanos) {
        self.last_response_at = now;
    }

    /// Records an answer of the server's process with its latency: the process was running at some time after
    /// the exchange began.
    pub fn record_answer(&mut self, now: Nanos, latency: Nanos) {
        self.known_running_at = self.known_running_at.max(now.saturating_sub(latency));
    }

    /// Whether its process is known to have been running after the time `at`.
    pub fn ran_since(&self, at: Nanos) -> bool {
        self.known_running_at > at
    }

    /// When it last answered a probe without delay; 0 if never.
    pub fn fast_probe_at(&self) -> Nanos {
        self.fast_probe_at
    }

    /// Records that a probe was answered without delay.
    pub fn record_fast_probe(&mut self, now: Nanos) {
        self.fast_probe_at = now;
    }

    /// When the outstanding load probe was sent, if there is one.
    pub fn probe_sent_at(&self) -> Option<Nanos> {
        self.probe_sent_at
    }

    /// Records that a load probe was sent.
    pub fn record_probe_sent(&mut self, now: Nanos) {
        self.probe_sent_at = Some(now);
    }

    /// Records that the load probe is no longer outstanding.
    pub fn record_probe_finished(&mut self) {
        self.probe_sent_at = None;
    }

    /// Discards a load probe sent before `oldest`: its answer is taken to be lost.
    pub fn expire_probe(&mut self, oldest: Nanos) {
        self.probe_sent_at = self.probe_sent_at.filter(|sent_at| *sent_at >= oldest);
    }

    /// Whether a load probe has been outstanding for at least `span`.
    pub fn awaits_probe_for(&self, now: Nanos, span: Nanos) -> bool {
        self.probe_sent_at.is_some_and(|sent_at| now >= sent_at + span)
    }

    /// When an unreachable server is probed next.
    pub fn next_probe_at(&self) -> Nanos {
        self.next_probe_at
    }

    /// Sets when it is probed next.
    pub fn schedule_probe(&mut self, at: Nanos) {
        self.next_probe_at = at;
    }

    /// The state that carries over to a new process with the same server id.
    pub(super) fn after_restart(&self) -> Liveness {
        Liveness {
            last_response_at: self.last_response_at,
            probe_sent_at: self.probe_sent_at,
            ..Liveness::default()
        }
    }
}
