//! Selection of servers by a value, with ties broken by rendezvous hashing.

use super::Server;
use crate::api::{AffinityKey, ServerId};

/// The `count` items with the least values in ascending order; equal items keep their order.
pub fn least_by<T>(items: Vec<T>, count: usize, value: impl Fn(&T) -> f64) -> Vec<T> {
    if count == 1 {
        let valued = items.into_iter().map(|item| (value(&item), item));
        let least = valued.min_by(|a, b| a.0.total_cmp(&b.0));
        return least.into_iter().map(|(_, item)| item).collect();
    }
    let mut valued: Vec<(f64, T)> = items.into_iter().map(|item| (value(&item), item)).collect();
    valued.sort_by(|a, b| a.0.total_cmp(&b.0));
    valued.into_iter().take(count).map(|(_, item)| item).collect()
}

/// The server with the least value, and that value; ties are broken by the rendezvous rank under
/// `tie_breaker`.
pub fn least_with_tie_breaker<'s>(
    servers: impl Iterator<Item = (f64, &'s Server)>,
    tie_breaker: AffinityKey,
) -> Option<(f64, &'s Server)> {
    let rank = |server: &Server| tie_breaker.rendezvous_rank(server.id);
    servers.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| rank(a.1).cmp(&rank(b.1))))
}

/// The ids of the first `count` servers in the rendezvous order of a key: a pseudo-random sample.
pub fn sample_by_rank<'s>(
    servers: impl Iterator<Item = &'s Server>,
    count: usize,
    key: AffinityKey,
) -> Vec<ServerId> {
    let mut ids: Vec<ServerId> = servers.map(|server| server.id).collect();
    ids.sort_by_key(|id| key.rendezvous_rank(*id));
    ids.truncate(count);
    ids
}

/// The least power of four greater than `n`.
pub fn next_power_of_four(n: usize) -> usize {
    let power_of_two = (n + 1).next_power_of_two();
    power_of_two << (power_of_two.trailing_zeros() & 1)
}
