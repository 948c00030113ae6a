//! The load on a server from other routers, as load reports and probes show it.

use super::{Listing, LocalLoad};
use crate::api::{LoadReport, Nanos, Role};

/// Prompt tokens in the unit of load reports.
const TOKENS_PER_KILOTOKEN: f64 = 1000.0;

/// The load on a server from other routers; `None` where it is not known, or no longer.
#[derive(Clone, Debug, Default)]
pub struct ReportedLoad {
    peer_kv_tokens: Option<f64>,
    peer_queued_tokens: Option<f64>,
    memory_utilization: Option<f64>,
    received_at: Nanos,
}

impl ReportedLoad {
    /// KV cache tokens that other routers' requests hold.
    pub fn peer_kv_tokens(&self) -> Option<f64> {
        self.peer_kv_tokens
    }

    /// Prompt tokens of other routers' requests that wait for prefill.
    pub fn peer_queued_tokens(&self) -> Option<f64> {
        self.peer_queued_tokens
    }

    /// The share of its KV cache in use, as last reported.
    pub fn memory_utilization(&self) -> Option<f64> {
        self.memory_utilization
    }

    /// Takes what a probe's latency shows of other routers' queued prompt tokens.
    pub fn record_queue(&mut self, now: Nanos, peer_queued_tokens: f64) {
        self.peer_queued_tokens = Some(peer_queued_tokens);
        self.received_at = now;
    }

    /// Forgets what was received before that time.
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
        own: &LocalLoad,
        listing: &Listing,
        mean_prefill_tokens: f64,
    ) {
        self.received_at = now;
        self.memory_utilization = report.memory_utilization;
        if let Some(utilization) = report.memory_utilization.filter(|_| listing.role != Role::Prefill) {
            let used = utilization * listing.kv_capacity_tokens;
            self.peer_kv_tokens = Some((used - own.reported_kv_tokens()).max(0.0));
        }
        if listing.role == Role::Decode {
            return;
        }
        if let Some(tokens) = peer_queued_tokens(report, own, mean_prefill_tokens) {
            self.peer_queued_tokens = Some(tokens.max(0.0));
        }
    }
}

/// Reported prompt tokens without the own ones; where only requests are reported, by their mean size.
fn peer_queued_tokens(report: &LoadReport, own: &LocalLoad, mean_prefill_tokens: f64) -> Option<f64> {
    if let Some(kilotokens) = report.pending_prefill_kilotokens {
        return Some(kilotokens * TOKENS_PER_KILOTOKEN - own.queued_prompt_tokens());
    }
    let requests = report.in_flight.or(report.queued)?;
    Some((requests - own.reported_awaiting_first_token()) * mean_prefill_tokens)
}
