//! Endpoint lists on the simulator's wire: tables of endpoints, and the updates that name them.

use crate::error::BatchError;
use crate::field::{required, server_id};
use gaparch_platform_settings::{index_of, non_negative_number, whole_number, PlatformSettings};
use gaparch_scheduler::api::{
    CellId, Endpoint, EndpointUpdate, KindId, Nanos, ServerId, ServerState, ZoneId,
};
use serde_json::Value;

/// An endpoint of a table; zone and kind stay names, since each instance has its own settings.
#[derive(Clone, Debug)]
pub struct UnresolvedEndpoint {
    server: ServerId,
    zone: Value,
    kind: Value,
    cell: Option<CellId>,
    state: ServerState,
    weight: Option<f64>,
    started_at: Option<Nanos>,
}

/// Reads the endpoints of a table.
///
/// # Errors
/// When there is no list, or an endpoint has no id.
pub fn parse_table(event: &Value) -> Result<Vec<UnresolvedEndpoint>, BatchError> {
    required(event, "membersList", Value::as_array)?.iter().map(parse_endpoint).collect()
}

fn parse_endpoint(endpoint: &Value) -> Result<UnresolvedEndpoint, BatchError> {
    Ok(UnresolvedEndpoint {
        server: required(endpoint, "worker", server_id)?,
        zone: endpoint["az"].clone(),
        kind: endpoint["kind"].clone(),
        cell: whole_number(&endpoint["cohort"]).map(CellId),
        state: match endpoint["status"].as_str() {
            Some("up") => ServerState::Ready,
            Some("removed") => ServerState::Removed,
            _ => ServerState::Draining,
        },
        weight: non_negative_number(&endpoint["scale"]),
        started_at: whole_number(&endpoint["launchedNs"]),
    })
}

impl UnresolvedEndpoint {
    /// The endpoint with zone and kind as the settings of an instance number them.
    pub fn resolve(&self, settings: &PlatformSettings) -> Endpoint {
        Endpoint {
            server: self.server,
            zone: index_of(&settings.zones, &self.zone).map(ZoneId),
            kind: index_of(&settings.kinds, &self.kind).map(KindId),
            cell: self.cell,
            state: self.state,
            weight: self.weight,
            started_at: self.started_at,
        }
    }
}

/// Reads how an update relates to the list before.
///
/// # Errors
/// When that is not said, or in an unknown word.
pub fn parse_update(event: &Value) -> Result<EndpointUpdate, BatchError> {
    required(event, "scope", |scope| match scope.as_str()? {
        "delta" => Some(EndpointUpdate::Delta),
        "full" => Some(EndpointUpdate::Full),
        "cached" => Some(EndpointUpdate::Cached),
        "failed" => Some(EndpointUpdate::Failed),
        _ => None,
    })
}
