//! The load that other routers report by gossip, and an estimate of what the others may have.

use crate::api::{Nanos, ServerId};
use std::collections::BTreeMap;

/// What one router last reported.
#[derive(Clone, Debug)]
struct PeerReport {
    received_at: Nanos,
    kv_tokens: BTreeMap<ServerId, f64>,
}

/// KV cache tokens that other routers have in flight at each server.
#[derive(Clone, Debug, Default)]
pub struct PeerLoad {
    by_router: BTreeMap<u32, PeerReport>,
    reported: BTreeMap<ServerId, f64>,
    unreported: f64,
}

impl PeerLoad {
    /// Takes a router's report in place of its last one.
    pub fn record(&mut self, now: Nanos, router: u32, kv_tokens: BTreeMap<ServerId, f64>) {
        for (server, tokens) in &kv_tokens {
            *self.reported.entry(*server).or_default() += tokens;
        }
        let replaced = self.by_router.insert(router, PeerReport { received_at: now, kv_tokens });
        if let Some(replaced) = replaced {
            self.subtract(&replaced);
        }
    }

    /// Forgets reports received before that time.
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

    /// Sets what the routers without a report are taken to have at each server, in tokens.
    pub fn set_unreported(&mut self, tokens: f64) {
        self.unreported = tokens;
    }

    /// Tokens that other routers have at a server: as reported, and the estimate for those without
    /// a report.
    pub fn tokens_at(&self, server: ServerId) -> f64 {
        self.reported.get(&server).map_or(0.0, |tokens| *tokens) + self.unreported
    }

    /// The tokens reported for all servers.
    pub fn reported_total(&self) -> f64 {
        self.reported.values().sum::<f64>()
    }

    /// The number of routers with a report.
    pub fn reporting_routers(&self) -> f64 {
        self.by_router.len() as f64
    }
}
