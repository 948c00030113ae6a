//! The state of the connection to one engine, and what is in flight on it.

use gaparch_config::Attempts;
use gaparch_scheduler::api::{LoadReport, Nanos, RequestId};
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a requested connection; the next one to the same engine has another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u64);

impl ConnectionNumber {
    /// Stands for all exchanges with an engine if each has its own connection.
    pub const EXCHANGES: ConnectionNumber = ConnectionNumber(0);
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    New,
    Connecting(ConnectionNumber),
    Connected(ConnectionNumber),
    Disconnected,
}

#[derive(Clone, Debug, Default)]
pub(super) struct EngineConnection {
    state: State,
    /// How often in a row the connection failed or was lost, since it was last established.
    consecutive_failures: u32,
    /// Requests with an attempt in flight at this engine.
    pub in_flight: BTreeSet<RequestId>,
    /// Probes in flight: their nonces, and when they were sent.
    pub outstanding_probes: BTreeMap<u64, Nanos>,
    /// The last unsolicited load report, until it is passed on.
    pub last_report: Option<LoadReport>,
    pub attempt_counters: AttemptCounters,
}

/// Attempts at an engine, counted since the start of the router.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AttemptCounters {
    pub attempts: u64,
    pub failed: u64,
    pub cancelled: u64,
}

/// What has to be handled after a connection was lost.
pub(super) struct LostConnection {
    pub was_connected: bool,
    pub reconnect_after: Nanos,
    pub outstanding_probes: BTreeMap<u64, Nanos>,
}

impl EngineConnection {
    /// The state of an engine to which each exchange has its own connection.
    pub fn connectionless() -> EngineConnection {
        EngineConnection {
            state: State::Connected(ConnectionNumber::EXCHANGES),
            ..EngineConnection::default()
        }
    }

    pub fn is_new(&self) -> bool {
        self.state == State::New
    }

    pub fn is_disconnected(&self) -> bool {
        matches!(self.state, State::New | State::Disconnected)
    }

    pub fn is_connected(&self) -> bool {
        matches!(self.state, State::Connected(_))
    }

    /// Whether the connection is being established and has not failed before, so that it may be up soon.
    pub fn is_connecting_first_time(&self) -> bool {
        matches!(self.state, State::Connecting(_)) && self.consecutive_failures == 0
    }

    pub fn is_current(&self, conn: ConnectionNumber) -> bool {
        self.state == State::Connected(conn)
    }

    pub fn number(&self) -> Option<ConnectionNumber> {
        match self.state {
            State::Connecting(conn) | State::Connected(conn) => Some(conn),
            State::New | State::Disconnected => None,
        }
    }

    pub fn start_connecting(&mut self, conn: ConnectionNumber) {
        self.state = State::Connecting(conn);
    }

    /// Records that a connection is established. Returns whether it is the requested one.
    pub fn on_connected(&mut self, conn: ConnectionNumber) -> bool {
        let is_expected = self.state == State::Connecting(conn);
        if is_expected {
            self.state = State::Connected(conn);
            self.consecutive_failures = 0;
        }
        is_expected
    }

    /// Records that a connection failed or was lost. Returns `None` if it is not the current one.
    pub fn on_disconnected(&mut self, conn: ConnectionNumber, settings: &Attempts) -> Option<LostConnection> {
        let was_connected = self.is_current(conn);
        if self.number() != Some(conn) {
            return None;
        }
        let backoff = settings.reconnect_after.saturating_mul(1 << self.consecutive_failures.min(20));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.state = State::Disconnected;
        self.in_flight.clear();
        self.last_report = None;
        Some(LostConnection {
            was_connected,
            reconnect_after: backoff.min(settings.reconnect_most),
            outstanding_probes: std::mem::take(&mut self.outstanding_probes),
        })
    }
}
