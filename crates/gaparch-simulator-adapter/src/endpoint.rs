//! Endpoint lists in the simulator's JSON: tables of endpoints, and the updates that refer to them.

use crate::error::BatchError;
use crate::field::{required, server_id};
use gaparch_platform_settings::{index_of, non_negative_number, whole_number, PlatformSettings};
use gaparch_scheduler::api::{
    CellId, Endpoint, EndpointUpdate, KindId, Nanos, ServerId, ServerState, ZoneId,
};
use serde_json::Value;

/// An endpoint of a table. Zone and kind are still names, since each instance has its own settings, which
/// number them.
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

/// Parses the endpoints of a table.
///
/// # Errors
/// If the list is missing, or an endpoint has no valid id.
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
    /// The endpoint with its zone and kind resolved to the ids that the settings of an instance assign.
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

/// Parses how an update relates to the previous list.
///
/// # Errors
/// If the scope is missing or unknown.
pub fn parse_update(event: &Value) -> Result<EndpointUpdate, BatchError> {
    required(event, "scope", |scope| match scope.as_str()? {
        "delta" => Some(EndpointUpdate::Delta),
        "full" => Some(EndpointUpdate::Full),
        "cached" => Some(EndpointUpdate::Cached),
        "failed" => Some(EndpointUpdate::Failed),
        _ => None,
    })
}
