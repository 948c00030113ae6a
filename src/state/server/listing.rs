//! A server's entry in the endpoint list.

use crate::api::{CellId, Endpoint, KindId, Nanos, Role, ServerState, ZoneId};

/// Whether a server may be sent new attempts, according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListingState {
    /// It may be sent new attempts.
    Ready,
    /// It is listed, but draining or of a kind that is not used.
    #[default]
    NotReady,
    /// It is no longer listed.
    Removed,
}

/// A server's entry in the endpoint list, with what its kind implies.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Its zone, if listed.
    pub zone: Option<ZoneId>,
    /// Its cell, if listed.
    pub cell: Option<CellId>,
    /// Its kind, if listed.
    pub kind: Option<KindId>,
    /// Its role.
    pub role: Role,
    /// Its capacity relative to other servers; greater than 0.
    pub weight: f64,
    /// Its KV cache capacity in tokens; 0 if unknown.
    pub kv_capacity_tokens: f64,
    /// When its process started according to the list; 0 if unknown or long ago.
    pub started_at: Nanos,
    /// Whether it may be sent new attempts.
    pub state: ListingState,
}

impl Listing {
    /// An entry for a server that is not listed yet.
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

    /// Whether it may be sent new attempts.
    pub fn is_ready(&self) -> bool {
        self.state == ListingState::Ready
    }

    /// Whether it is no longer listed.
    pub fn is_removed(&self) -> bool {
        self.state == ListingState::Removed
    }

    /// Stops new attempts to a listed server whose kind is not used; a removed server stays removed.
    pub fn mark_not_ready(&mut self) {
        if self.is_ready() {
            self.state = ListingState::NotReady;
        }
    }

    /// Applies a list entry, except for the start time of the process.
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
