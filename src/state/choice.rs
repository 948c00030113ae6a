//! The least of some, and rounding.

use super::Server;
use crate::api::{AffinityKey, ServerId};

/// Those with the least values, least first; among equals the order stays.
pub fn least_by<T>(all: Vec<T>, most: usize, value: impl Fn(&T) -> f64) -> Vec<T> {
    if most == 1 {
        let least = all.into_iter().map(|t| (value(&t), t)).min_by(|a, b| a.0.total_cmp(&b.0));
        return least.into_iter().map(|(_, t)| t).collect();
    }
    let mut all: Vec<(f64, T)> = all.into_iter().map(|t| (value(&t), t)).collect();
    all.sort_by(|a, b| a.0.total_cmp(&b.0));
    all.into_iter().take(most).map(|(_, t)| t).collect()
}

/// The least value, and of equals the first by lot.
pub fn least_by_lot<'s>(
    all: impl Iterator<Item = (f64, &'s Server)>,
    lot: AffinityKey,
) -> Option<(f64, &'s Server)> {
    all.min_by(|a, b| {
        a.0.total_cmp(&b.0).then_with(|| lot.rendezvous_rank(a.1.id).cmp(&lot.rendezvous_rank(b.1.id)))
    })
}

/// So many of them, by lot.
pub fn first_by_lot<'s>(
    all: impl Iterator<Item = &'s Server>,
    most: usize,
    lot: AffinityKey,
) -> Vec<ServerId> {
    let mut ids: Vec<ServerId> = all.map(|s| s.id).collect();
    ids.sort_by_key(|id| lot.rendezvous_rank(*id));
    ids.truncate(most);
    ids
}

/// The least power of four above `n`.
pub fn power_of_four(n: usize) -> usize {
    let power = (n + 1).next_power_of_two();
    power << (power.trailing_zeros() & 1)
}
