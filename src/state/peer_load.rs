//! The load that other routers report by gossip, and an estimate for the routers that do not report.

use crate::api::{Nanos, ServerId};
use std::collections::BTreeMap;

/// The last report of one router.
#[derive(Clone, Debug)]
struct PeerReport {
    received_at: Nanos,
    kv_tokens: BTreeMap<ServerId, f64>,
}

/// KV cache tokens that other routers have in flight on each server.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    by_router: BTreeMap<u32, PeerReport>,
    reported: BTreeMap<ServerId, f64>,
    unreported: f64,
}

impl PeerLoad {
    /// Records a router's report, replacing its last one.
    pub fn record(&mut self, now: Nanos, router: u32, kv_tokens: BTreeMap<ServerId, f64>) {
        for (server, tokens) in &kv_tokens {
            *self.reported.entry(*server).or_default() += tokens;
        }
        let replaced = self.by_router.insert(router, PeerReport { received_at: now, kv_tokens });
        if let Some(replaced) = replaced {
            self.subtract(&replaced);
        }
    }

    /// Discards reports received before `oldest`.
    pub fn expire(&mut self, oldest: Nanos) {
        let is_expired = |report: &PeerReport| report.received_at < oldest;
        let routers = self.by_router.iter().filter(|(_, report)| is_expired(report));
        let expired: Vec<u32> = routers.map(|(router, _)| *router).collect();
        for router in expired {
            if let Some(report) = self.by_router.remove(&router) {
                self.subtract(&report);
            }
        }
    }

    fn subtract(&mut self, report: &PeerReport) {
        for (server, tokens) in &report.kv_tokens {
            self.reported.entry(*server).and_modify(|sum| *sum = (*sum - tokens).max(0.0));
        }
    }

    /// Sets the estimated tokens per server of the routers without a report.
    pub fn set_unreported(&mut self, tokens: f64) {
        self.unreported = tokens;
    }

    /// Tokens that other routers have on a server: the reported ones plus the estimate for routers without a
    /// report.
    pub fn tokens_at(&self, server: ServerId) -> f64 {
        self.reported.get(&server).map_or(0.0, |tokens| *tokens) + self.unreported
    }

    /// The total of reported tokens over all servers.
    pub fn reported_total(&self) -> f64 {
        self.reported.values().sum::<f64>()
    }

    /// The number of routers with a report.
    pub fn reporting_routers(&self) -> f64 {
        self.by_router.len() as f64
    }
}
