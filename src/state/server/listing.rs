//! What the endpoint list says of a server.

use crate::api::{CellId, Endpoint, KindId, Nanos, Role, ServerState, ZoneId};

/// Whether a server may be sent new attempts, by the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListingState {
    /// It may.
    Ready,
    /// It is listed, but is draining or of a kind that is not used.
    #[default]
    NotReady,
    /// It is not listed any more.
    Removed,
}

/// What the endpoint list says of a server.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Its zone, if listed.
    pub zone: Option<ZoneId>,
    /// Its cell, if listed.
    pub cell: Option<CellId>,
    /// Its kind, if listed.
    pub kind: Option<KindId>,
    /// What it is asked to do.
    pub role: Role,
    /// Its size beside others; above 0.
    pub weight: f64,
    /// Its KV cache in tokens; 0 if not known.
    pub kv_capacity_tokens: f64,
    /// When its process started, as listed; 0: long ago.
    pub started_at: Nanos,
    /// Whether it may be sent new attempts.
    pub state: ListingState,
}

impl Listing {
    /// A server that is not listed yet.
    pub fn new(role: Role, kv_capacity_tokens: f64) -> Listing {
        Listing {
            zone: None,
            cell: None,
            kind: None,
            role,
            weight: 1.0,
            kv_capacity_tokens,
            started_at: 0,
            state: ListingState::NotReady,
        }
    }

    /// It may be sent new attempts.
    pub fn is_ready(&self) -> bool {
        self.state == ListingState::Ready
    }

    /// It is not listed any more.
    pub fn is_removed(&self) -> bool {
        self.state == ListingState::Removed
    }

    /// It gets nothing new, as its kind is not used.
    pub fn mark_not_ready(&mut self) {
        if self.is_ready() {
            self.state = ListingState::NotReady;
        }
    }

    /// Takes its entry, but for the start of its process.
    pub(super) fn update(&mut self, endpoint: &Endpoint) {
        self.zone = endpoint.zone;
        self.cell = endpoint.cell;
        self.kind = endpoint.kind;
        self.weight = endpoint.weight.filter(|weight| *weight > 0.0).unwrap_or(1.0);
        self.state = match endpoint.state {
            ServerState::Ready => ListingState::Ready,
            ServerState::Draining => ListingState::NotReady,
            ServerState::Removed => ListingState::Removed,
        };
    }
}
