//! The endpoint list.

use super::{CellId, KindId, Nanos, ServerId, ZoneId};

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is not listed any more.
    Removed,
}

/// One server of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its zone, if it is one of the settings.
    pub zone: Option<ZoneId>,
    /// Its kind, if it is one of the settings.
    pub kind: Option<KindId>,
    /// Its cell, if the list names one.
    pub cell: Option<CellId>,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Its capacity relative to other servers of its role; 1 if the list names none.
    pub weight: Option<f64>,
    /// When its process last started; `None` or 0: long ago.
    pub started_at: Option<Nanos>,
}

/// How an update of the endpoint list relates to what was known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// It holds only the servers that have changed.
    Delta,
    /// It holds all servers; those that it lacks are removed.
    Full,
    /// It holds all servers as they were known before this router started, and may be stale.
    Cached,
    /// The list could not be fetched.
    Failed,
}
