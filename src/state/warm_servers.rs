//! The send rate of the warm servers of each kind, from which that of servers warming up is derived.

use super::fleet_summary::MeanAccumulator;
use super::{Server, ServerTable};

/// Averages over the warm servers of a kind, and the indices of the servers that are warming up.
#[derive(Clone, Debug, Default)]
pub struct WarmServers {
    /// The mean rate of the warm servers that are ready; `None` if there are none.
    pub mean_rate: Option<f64>,
    /// The mean weight of the warm servers that are ready; `None` if there are none.
    pub mean_weight: Option<f64>,
    /// Whether any of them was saturated lately.
    pub is_any_saturated: bool,
    /// The indices of the servers that are warming up.
    pub warming_up: Vec<usize>,
}

#[derive(Clone, Copy, Default)]
struct Means {
    rate: MeanAccumulator,
    weight: MeanAccumulator,
}

/// Groups all servers by kind in one pass. The last of the `kinds` entries is for servers without a kind.
pub fn warm_servers_by_kind(
    servers: &ServerTable,
    kinds: usize,
    is_warm: impl Fn(&Server) -> bool,
    rate: impl Fn(&Server) -> f64,
    is_saturated: impl Fn(&Server) -> bool,
) -> Vec<WarmServers> {
    let mut means = vec![Means::default(); kinds];
    let mut by_kind = vec![WarmServers::default(); kinds];
    for (index, server) in servers.iter().enumerate() {
        let Some(kind) = kind_index(server, kinds) else { continue };
        if !is_warm(server) {
            by_kind[kind].warming_up.push(index);
        } else if server.listing.is_ready() {
            means[kind].rate.add(rate(server));
            means[kind].weight.add(server.listing.weight);
            by_kind[kind].is_any_saturated |= is_saturated(server);
        }
    }
    for (warm, means) in by_kind.iter_mut().zip(means) {
        warm.mean_rate = means.rate.mean();
        warm.mean_weight = means.weight.mean();
    }
    by_kind
}

fn kind_index(server: &Server, kinds: usize) -> Option<usize> {
    match server.listing.kind {
        None => Some(kinds - 1),
        Some(kind) => Some(kind.0).filter(|kind| kind + 1 < kinds),
    }
}
