//! Compares the latency of each server with the median of its role.

use super::{lower_median, Server, ServerTable, ROLES};
use crate::api::{Role, ServerId};

/// The parameters of the latency comparison.
#[derive(Clone, Copy, Debug)]
pub struct LatencyComparison {
    /// The weight of a new sample in a server's mean latency.
    pub gain: f64,
    /// The number of samples before a server is compared.
    pub needed_samples: u32,
    /// With more servers than this, a sample updates only its own server, using the median of the last
    /// sweep.
    pub sweep_above: usize,
}

impl LatencyComparison {
    /// Records a latency sample of a server, and compares the servers of its role.
    pub fn record(&self, servers: &mut ServerTable, id: ServerId, sample: f64) {
        let is_swept = servers.len() > self.sweep_above;
        let Some(server) = servers.get_mut(id) else { return };
        server.latency.add(sample, self.gain);
        let role = server.listing.role;
        if !is_swept {
            return self.compare_role(servers, role);
        }
        let median = servers.median_latency(role);
        let is_compared =
            |server: &&mut Server| median > 0.0 && server.latency.has_samples(self.needed_samples);
        if let Some(server) = servers.get_mut(id).filter(is_compared) {
            server.latency.compare(median);
        }
    }

    /// Compares all servers, if there are too many to do so with each sample.
    pub fn sweep(&self, servers: &mut ServerTable) {
        if servers.len() <= self.sweep_above {
            return;
        }
        for role in ROLES {
            self.compare_role(servers, role);
        }
    }

    fn compare_role(&self, servers: &mut ServerTable, role: Role) {
        let is_compared =
            |server: &Server| server.listing.role == role && server.latency.has_samples(self.needed_samples);
        let compared = servers.iter().filter(|server| is_compared(server));
        let median = lower_median(compared.map(|server| server.latency.mean()));
        for server in servers.iter_mut().filter(|server| is_compared(server)) {
            server.latency.compare(median);
        }
        servers.set_median_latency(role, median);
    }
}
