//! The endpoint list.

use super::{CellId, KindId, Nanos, ServerId, ZoneId};

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Is no longer listed.
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone, if the settings define it.
    pub zone: Option<ZoneId>,
    /// Its kind, if the settings define it.
    pub kind: Option<KindId>,
    /// Its cell, if listed.
    pub cell: Option<CellId>,
    /// Whether it accepts requests.
    pub state: ServerState,
    /// Its capacity relative to other servers of its role; `None` counts as 1.
    pub weight: Option<f64>,
    /// When its process last started; `None` or 0: long ago.
    pub started_at: Option<Nanos>,
}

/// How an update of the endpoint list relates to the list known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Contains only the servers that have changed.
    Delta,
    /// Contains all servers; those that are missing are removed.
    Full,
    /// Contains all servers as known before this router started; may be stale.
    Cached,
    /// The list could not be fetched.
    Failed,
}
