//! The load that other routers put on a server, estimated from load reports and probes.

use super::{Listing, LocalLoad};
use crate::api::{LoadReport, Nanos, Role};

/// Prompt tokens per kilotoken, the unit of load reports.
const TOKENS_PER_KILOTOKEN: f64 = 1000.0;

/// The load that other routers put on a server; a value is `None` if it is unknown or has expired.
#[derive(Clone, Debug, Default)]
pub struct ReportedLoad {
    peer_kv_tokens: Option<f64>,
    peer_queued_tokens: Option<f64>,
    memory_utilization: Option<f64>,
    received_at: Nanos,
}

impl ReportedLoad {
    /// KV cache tokens held by other routers' requests.
    pub fn peer_kv_tokens(&self) -> Option<f64> {
        self.peer_kv_tokens
    }

    /// Prompt tokens of other routers' requests that are queued for prefill.
    pub fn peer_queued_tokens(&self) -> Option<f64> {
        self.peer_queued_tokens
    }

    /// The fraction of its KV cache in use, as last reported.
    pub fn memory_utilization(&self) -> Option<f64> {
        self.memory_utilization
    }

    /// Records other routers' queued prompt tokens, as estimated from the latency of a probe.
    pub fn record_queue(&mut self, now: Nanos, peer_queued_tokens: f64) {
        self.peer_queued_tokens = Some(peer_queued_tokens);
        self.received_at = now;
    }

    /// Discards all values if they were received before `oldest`.
    pub fn expire(&mut self, oldest: Nanos) {
        if self.received_at < oldest {
            self.peer_kv_tokens = None;
            self.peer_queued_tokens = None;
            self.memory_utilization = None;
        }
    }

    pub(super) fn record(
        &mut self,
        now: Nanos,
        report: &LoadReport,
        local_load: &LocalLoad,
        listing: &Listing,
        mean_prefill_tokens: f64,
    ) {
        self.received_at = now;
        self.memory_utilization = report.memory_utilization;
        if let Some(utilization) = report.memory_utilization.filter(|_| listing.role != Role::Prefill) {
            let used = utilization * listing.kv_capacity_tokens;
            self.peer_kv_tokens = Some((used - local_load.reported_kv_tokens()).max(0.0));
        }
        if listing.role == Role::Decode {
            return;
        }
        if let Some(tokens) = peer_queued_tokens(report, local_load, mean_prefill_tokens) {
            self.peer_queued_tokens = Some(tokens.max(0.0));
        }
    }
}

/// The reported queued prompt tokens minus this router's own. If only request counts are reported, the tokens
/// are estimated from the mean size.
fn peer_queued_tokens(report: &LoadReport, local_load: &LocalLoad, mean_prefill_tokens: f64) -> Option<f64> {
    if let Some(kilotokens) = report.pending_prefill_kilotokens {
        return Some(kilotokens * TOKENS_PER_KILOTOKEN - local_load.queued_prompt_tokens());
    }
    let requests = report.in_flight.or(report.queued)?;
    Some((requests - local_load.reported_awaiting_first_token()) * mean_prefill_tokens)
}
