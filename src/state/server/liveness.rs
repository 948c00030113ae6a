//! Whether a server answers, and the probes that find out.

use crate::api::Nanos;

/// Whether a server can be reached, as far as is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// It can.
    #[default]
    Reachable,
    /// A connection to it failed, and it is tried again without a probe.
    PresumedReachable,
    /// It leaves what it is sent unanswered.
    Unresponsive,
    /// A connection to it could not be made: its process may have died.
    ConnectionLost,
}

/// When a server answered, and when it is probed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Liveness {
    reachability: Reachability,
    last_response_at: Nanos,
    running_at: Nanos,
    fast_probe_at: Nanos,
    probe_sent_at: Option<Nanos>,
    next_probe_at: Nanos,
}

impl Liveness {
    /// It could not be reached, or does not answer.
    pub fn is_unreachable(&self) -> bool {
        matches!(self.reachability, Reachability::Unresponsive | Reachability::ConnectionLost)
    }

    /// A connection to it could not be made, and nothing has been answered since.
    pub fn is_connection_lost(&self) -> bool {
        matches!(self.reachability, Reachability::PresumedReachable | Reachability::ConnectionLost)
    }

    /// It can be reached.
    pub fn mark_reachable(&mut self) {
        self.reachability = Reachability::Reachable;
    }

    /// It leaves what it is sent unanswered; it is probed from `next_probe_at` on.
    pub fn mark_unresponsive(&mut self, next_probe_at: Nanos) {
        self.reachability = match self.is_connection_lost() {
            true => Reachability::ConnectionLost,
            false => Reachability::Unresponsive,
        };
        self.next_probe_at = next_probe_at;
    }

    /// A connection to it could not be made; it is probed from `next_probe_at` on.
    pub fn mark_connection_lost(&mut self, next_probe_at: Nanos) {
        self.reachability = Reachability::ConnectionLost;
        self.next_probe_at = next_probe_at;
    }

    /// It is tried again although it has answered nothing.
    pub fn presume_reachable(&mut self) {
        self.reachability = match self.is_connection_lost() {
            true => Reachability::PresumedReachable,
            false => Reachability::Reachable,
        };
    }

    /// When it last answered anything; 0: never.
    pub fn last_response_at(&self) -> Nanos {
        self.last_response_at
    }

    /// Records that something came from it.
    pub fn record_response(&mut self, now: Nanos) {
        self.last_response_at = now;
    }

    /// Records an answer of its process to an exchange that took so long: the process ran after the
    /// exchange began.
    pub fn record_answer(&mut self, now: Nanos, latency: Nanos) {
        self.running_at = self.running_at.max(now.saturating_sub(latency));
    }

    /// Its process is known to have run after that time.
    pub fn ran_since(&self, at: Nanos) -> bool {
        self.running_at > at
    }

    /// When it last answered a probe without delay; 0: never.
    pub fn fast_probe_at(&self) -> Nanos {
        self.fast_probe_at
    }

    /// Records a probe that was answered without delay.
    pub fn record_fast_probe(&mut self, now: Nanos) {
        self.fast_probe_at = now;
    }

    /// When the load probe that is outstanding was sent.
    pub fn probe_sent_at(&self) -> Option<Nanos> {
        self.probe_sent_at
    }

    /// Records that a load probe was sent.
    pub fn record_probe_sent(&mut self, now: Nanos) {
        self.probe_sent_at = Some(now);
    }

    /// Records that no load probe is outstanding any more.
    pub fn record_probe_finished(&mut self) {
        self.probe_sent_at = None;
    }

    /// Forgets a load probe sent before that time: its answer was lost.
    pub fn expire_probe(&mut self, oldest: Nanos) {
        self.probe_sent_at = self.probe_sent_at.filter(|sent_at| *sent_at >= oldest);
    }

    /// A load probe has been outstanding for so long.
    pub fn awaits_probe_for(&self, now: Nanos, span: Nanos) -> bool {
        self.probe_sent_at.is_some_and(|sent_at| now >= sent_at + span)
    }

    /// When a server that can't be reached is probed next.
    pub fn next_probe_at(&self) -> Nanos {
        self.next_probe_at
    }

    /// Sets when it is probed next.
    pub fn schedule_probe(&mut self, at: Nanos) {
        self.next_probe_at = at;
    }

    /// What still holds of a new process at the same address.
    pub(super) fn after_restart(&self) -> Liveness {
        Liveness {
            last_response_at: self.last_response_at,
            probe_sent_at: self.probe_sent_at,
            ..Liveness::default()
        }
    }
}
